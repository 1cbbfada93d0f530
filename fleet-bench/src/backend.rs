//! Stand-in backends in this process: any request that names itself is answered at once.

use crate::error::Error;
use crate::process::{Use, addresses};
use crate::serve::{Background, read_head};
use std::io;
use std::net::{SocketAddr, TcpListener as StdListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// What each answer says.
const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 3\r\n\r\nok\n";
const UNNAMED: &[u8] = b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";
/// A failed accept is tried again after this.
const AGAIN: Duration = Duration::from_millis(10);

/// Answers what comes on one connection, until it ends.
async fn talk(stream: &mut TcpStream, answered: &AtomicU64) -> io::Result<()> {
    let mut buffer = Vec::new();
    while let Some(head) = read_head(stream, &mut buffer).await? {
        while buffer.len() < head.body {
            if stream.read_buf(&mut buffer).await? == 0 {
                return Ok(());
            }
        }
        buffer.drain(..head.body);
        // First: whoever has read an answer finds it counted.
        answered.fetch_add(1, Ordering::Relaxed);
        stream.write_all(if head.named { ANSWER } else { UNNAMED }).await?;
    }
    Ok(())
}

async fn listen(listener: StdListener, answered: Arc<AtomicU64>) {
    let listener = match TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(error) => return tracing::error!("backend: {error}"),
    };
    loop {
        let Ok((mut stream, _)) = listener.accept().await.inspect_err(|e| tracing::warn!("backend: {e}"))
        else {
            tokio::time::sleep(AGAIN).await;
            continue;
        };
        let _ = stream.set_nodelay(true); // it still works if not
        let answered = answered.clone();
        tokio::spawn(async move {
            if let Err(error) = talk(&mut stream, &answered).await {
                tracing::debug!("backend: {error}");
            }
        });
    }
}

/// Backends that run on a thread of their own, until they are dropped.
pub struct Backends {
    addresses: Vec<SocketAddr>,
    answered: Arc<AtomicU64>,
    _thread: Background,
}

impl Backends {
    /// So many addresses.
    pub fn start(count: usize) -> Result<Self, Error> {
        let addresses: Vec<_> = addresses(Use::Backend, count).collect();
        let mut listeners = Vec::new();
        for at in &addresses {
            let listener = StdListener::bind(at)?;
            listener.set_nonblocking(true)?;
            listeners.push(listener);
        }
        let answered = Arc::<AtomicU64>::default();
        let counted = answered.clone();
        let thread = Background::start("backends", move || {
            for listener in listeners {
                tokio::spawn(listen(listener, counted.clone()));
            }
        })?;
        Ok(Self { addresses, answered, _thread: thread })
    }

    /// Where they listen.
    pub fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    /// Requests that they have answered, all together.
    pub fn answered(&self) -> u64 {
        self.answered.load(Ordering::Relaxed)
    }
}
