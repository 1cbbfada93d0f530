//! Stub backends in this process, which respond at once. The response is 200 if the request has a request
//! id, and 404 otherwise.

use crate::address::{self, AddressRole};
use crate::background_runtime::{self, BackgroundRuntime};
use crate::error::Error;
use crate::request_head::RequestHead;
use std::io;
use std::net::{SocketAddr, TcpListener as StdListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const OK_RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 3\r\n\r\nok\n";
/// The response to a request without a request id.
const NOT_FOUND_RESPONSE: &[u8] = b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";
/// Delay before the retry of a failed accept.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(10);

/// Stub backends that run on their own thread until the value is dropped.
pub struct Backends {
    addresses: Vec<SocketAddr>,
    responses: Arc<AtomicU64>,
    _runtime: BackgroundRuntime,
}

impl Backends {
    /// Starts this many backends.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Io`] if an address cannot be bound or the thread cannot be started.
    pub fn start(count: usize) -> Result<Self, Error> {
        let addresses: Vec<_> = address::allocate(AddressRole::Backend, count).collect();
        let listeners = addresses
            .iter()
            .map(|at| background_runtime::bind_nonblocking(*at))
            .collect::<io::Result<Vec<_>>>()?;
        let responses = Arc::<AtomicU64>::default();
        let counter = responses.clone();
        let runtime = BackgroundRuntime::start("backends", move || {
            for listener in listeners {
                tokio::spawn(accept_connections(listener, counter.clone()));
            }
        })?;
        Ok(Self { addresses, responses, _runtime: runtime })
    }

    /// Returns the addresses on which the backends listen.
    #[must_use]
    pub fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    /// Returns the number of responses of all backends together.
    #[must_use]
    pub fn responses(&self) -> u64 {
        self.responses.load(Ordering::Relaxed)
    }
}

async fn accept_connections(listener: StdListener, responses: Arc<AtomicU64>) {
    let listener = match TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(error) => return tracing::error!("stub backend: cannot listen: {error}"),
    };
    loop {
        let mut stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                tracing::warn!("stub backend: cannot accept a connection: {error}; retrying");
                tokio::time::sleep(ACCEPT_BACKOFF).await;
                continue;
            }
        };
        let _ = stream.set_nodelay(true); // on failure the connection is only slower
        let responses = responses.clone();
        tokio::spawn(async move {
            if let Err(error) = serve_connection(&mut stream, &responses).await {
                tracing::debug!("stub backend: connection failed: {error}");
            }
        });
    }
}

/// Responds to the requests of one connection until the connection ends.
async fn serve_connection(stream: &mut TcpStream, responses: &AtomicU64) -> io::Result<()> {
    let mut buffer = Vec::new();
    while let Some(head) = RequestHead::read(stream, &mut buffer).await? {
        while buffer.len() < head.body_bytes {
            if stream.read_buf(&mut buffer).await? == 0 {
                return Ok(());
            }
        }
        buffer.drain(..head.body_bytes);
        // The response is counted before the write, so that every response that a client has read is counted.
        responses.fetch_add(1, Ordering::Relaxed);
        stream.write_all(if head.has_request_id { OK_RESPONSE } else { NOT_FOUND_RESPONSE }).await?;
    }
    Ok(())
}
