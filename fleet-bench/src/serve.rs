//! What stand-in servers of our own have in common: a thread that runs them, and heads of HTTP/1.1.

use std::io;
use std::thread::JoinHandle;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::sync::oneshot;

/// Longest head of a request.
const MOST_HEAD: usize = 16 << 10;

/// A thread with a runtime of its own; what runs there ends when this is dropped.
pub struct Background {
    end: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Background {
    /// Starts one. `begin` is called there, and spawns its tasks.
    pub fn start(name: &str, begin: impl FnOnce() + Send + 'static) -> io::Result<Self> {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let (end, ended) = oneshot::channel();
        let run = move || {
            runtime.block_on(async {
                begin();
                let _ = ended.await; // the other end is dropped
            });
        };
        let thread = std::thread::Builder::new().name(name.to_string()).spawn(run)?;
        Ok(Self { end: Some(end), thread: Some(thread) })
    }
}

impl Drop for Background {
    fn drop(&mut self) {
        drop(self.end.take());
        self.thread.take().into_iter().for_each(|thread| drop(thread.join()));
    }
}

/// The head of a request, as far as stand-ins need it.
#[derive(Debug)]
pub struct Head {
    /// Path and query.
    pub path: String,
    /// It has the client's id for the request.
    pub named: bool,
    /// Bytes of the head itself.
    pub bytes: usize,
    /// Bytes of the body that follows.
    pub body: usize,
}

/// Takes the next head off `buffer`, and reads on until it is whole; None at the connection's end.
pub async fn read_head(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Option<Head>> {
    loop {
        let mut headers = [httparse::EMPTY_HEADER; 48];
        let mut request = httparse::Request::new(&mut headers);
        if let httparse::Status::Complete(bytes) = request.parse(buffer).map_err(io::Error::other)? {
            let path = request.path.unwrap_or_default().to_string();
            let find = |name: &str| request.headers.iter().find(|h| h.name.eq_ignore_ascii_case(name));
            let length = find("content-length").and_then(|h| std::str::from_utf8(h.value).ok());
            let body = length.and_then(|text| text.trim().parse().ok()).unwrap_or(0);
            let named = find("x-txn").is_some();
            buffer.drain(..bytes);
            return Ok(Some(Head { path, named, bytes, body }));
        }
        if buffer.len() > MOST_HEAD {
            return Err(io::Error::other("a head that does not end"));
        }
        if stream.read_buf(buffer).await? == 0 {
            return Ok(None);
        }
    }
}
