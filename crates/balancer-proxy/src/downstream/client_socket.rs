//! The socket of a client connection, as the HTTP library uses it. The socket records received bytes and
//! blocked writes in the [`ClientConnection`]. Before the socket is closed, it reads and discards the bytes
//! that the client still sends, so that the last response reaches the client.

use super::client_connection::ClientConnection;
use crate::limits::Budget;
use send_queue::unacknowledged_bytes;
use socket2::SockRef;
use std::io;
use std::net::Shutdown;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep};

/// Interval at which a blocked write is checked for progress.
const PROGRESS_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Longest time in which bytes of the client are read and discarded after the sending side is shut down.
const LINGER_TIMEOUT: Duration = Duration::from_millis(300);
/// Number of discarded bytes after which the socket is closed before [`LINGER_TIMEOUT`] has elapsed.
const MAX_DISCARDED_BYTES: usize = 512 << 10;
/// Size in bytes of the buffer for discarded bytes.
const DISCARD_BUFFER_BYTES: usize = 4096;

/// The socket of a client connection.
pub(super) struct ClientSocket {
    stream: Rc<TcpStream>,
    connection: Rc<ClientConnection>,
    /// The budget for the memory of the requests of all clients.
    request_budget: Rc<Budget>,
    /// The timer of the next check for progress; set once a write has been blocked.
    progress_check: Option<Pin<Box<Sleep>>>,
    /// The timer that ends the discarding of bytes; set once the sending side is shut down.
    linger: Option<Pin<Box<Sleep>>>,
    /// The number of bytes discarded so far.
    discarded_bytes: usize,
}

impl ClientSocket {
    /// Creates the socket of `connection`. Long heads use memory of `request_budget`.
    pub(super) fn new(
        stream: Rc<TcpStream>,
        connection: Rc<ClientConnection>,
        request_budget: Rc<Budget>,
    ) -> Self {
        Self { stream, connection, request_budget, progress_check: None, linger: None, discarded_bytes: 0 }
    }

    /// Reads the bytes that have arrived, without recording them.
    fn poll_read_stream(&self, cx: &mut Context<'_>, buffer: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        loop {
            ready!(self.stream.poll_read_ready(cx))?;
            match self.stream.try_read_buf(buffer) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                read => return Poll::Ready(read.map(drop)),
            }
        }
    }

    /// Writes as much of `data` as the client accepts, without recording the write.
    fn poll_write_stream(&self, cx: &mut Context<'_>, data: &[u8]) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.stream.poll_write_ready(cx))?;
            match self.stream.try_write(data) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                written => return Poll::Ready(written),
            }
        }
    }

    /// Records that a write is blocked, and wakes the task for the next check.
    fn record_blocked_write(&mut self, cx: &mut Context<'_>) {
        let unacknowledged_bytes = unacknowledged_bytes(&*self.stream).ok();
        let now = Instant::now();
        self.connection.progress().writes().record_blocked_write(unacknowledged_bytes, now);
        let next_check = now + PROGRESS_CHECK_INTERVAL;
        let timer = self.progress_check.get_or_insert_with(|| Box::pin(tokio::time::sleep_until(next_check)));
        if timer.as_mut().poll(cx).is_ready() {
            timer.as_mut().reset(next_check);
            // Registers the task with the timer, which is not due yet.
            let _ = timer.as_mut().poll(cx);
        }
    }

    /// Shuts down the sending side, and starts the timer that ends the discarding of bytes.
    fn start_linger(&mut self) -> io::Result<()> {
        if self.linger.is_none() {
            SockRef::from(&*self.stream).shutdown(Shutdown::Write)?;
            self.linger = Some(Box::pin(tokio::time::sleep(LINGER_TIMEOUT)));
        }
        Ok(())
    }

    /// Returns `Ready` once [`LINGER_TIMEOUT`] has elapsed, or if its timer has not been started.
    fn poll_linger(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        self.linger.as_mut().map_or(Poll::Ready(()), |linger| linger.as_mut().poll(cx))
    }
}

impl AsyncRead for ClientSocket {
    /// Reads the bytes that have arrived. Reads nothing while a complete request awaits its response: the
    /// bytes of the next requests would use memory that no budget counts.
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        ready!(self.connection.progress().poll_may_read(cx));
        let filled_before = buffer.filled().len();
        let read = self.poll_read_stream(cx, buffer);
        let received = &buffer.filled()[filled_before..];
        if !received.is_empty() {
            self.connection.record_bytes(received);
            self.connection.acquire_unfinished_head(&self.request_budget)?;
        }
        read
    }
}

impl AsyncWrite for ClientSocket {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, data: &[u8]) -> Poll<io::Result<usize>> {
        let written = self.poll_write_stream(cx, data);
        if written.is_pending() {
            self.record_blocked_write(cx);
        } else {
            self.connection.progress().writes().record_write();
        }
        written
    }

    /// Records the flush. The HTTP library flushes the socket once it has written all bytes that it holds.
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.connection.flush_signal().record_flush();
        Poll::Ready(Ok(()))
    }

    /// Shuts down the sending side, then discards the bytes that the client still sends. Closing a socket
    /// with unread bytes would reset the connection, and the client's system could then drop the response
    /// before the client reads it.
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.start_linger()?;
        while !self.connection.is_closing() && self.discarded_bytes < MAX_DISCARDED_BYTES {
            let mut space = [0; DISCARD_BUFFER_BYTES];
            let mut buffer = ReadBuf::new(&mut space);
            match self.poll_read_stream(cx, &mut buffer) {
                Poll::Ready(Ok(())) if !buffer.filled().is_empty() => {
                    self.discarded_bytes += buffer.filled().len();
                }
                Poll::Ready(_) => return Poll::Ready(Ok(())),
                Poll::Pending => return self.poll_linger(cx).map(Ok),
            }
        }
        Poll::Ready(Ok(()))
    }
}
