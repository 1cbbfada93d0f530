//! The socket of a client connection as the HTTP library uses it. It records in the state of the
//! connection what arrives and whether writes are blocked, and it closes so that the last response
//! still reaches the client.

use super::client_connection::ClientConnection;
use socket2::SockRef;
use std::io;
use std::net::Shutdown;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Sleep;

/// How long to read and discard what the client still sends after the shutdown of our side.
const LINGER_TIMEOUT: Duration = Duration::from_millis(300);
/// How much of that is discarded, in bytes, before the socket is closed anyway.
const MAX_DISCARDED_BYTES: usize = 512 << 10;
/// Size of the buffer for what is discarded.
const DISCARD_BUFFER_BYTES: usize = 4096;

/// The socket of a client connection.
pub struct ClientSocket {
    stream: Rc<TcpStream>,
    connection: Rc<ClientConnection>,
    /// Set once our side is shut down.
    linger: Option<Pin<Box<Sleep>>>,
    discarded_bytes: usize,
}

impl ClientSocket {
    /// The socket of `connection`.
    pub fn new(stream: Rc<TcpStream>, connection: Rc<ClientConnection>) -> Self {
        Self { stream, connection, linger: None, discarded_bytes: 0 }
    }

    /// Reads what has arrived, without recording it.
    fn poll_read_stream(&self, cx: &mut Context<'_>, buffer: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        loop {
            ready!(self.stream.poll_read_ready(cx))?;
            match self.stream.try_read_buf(buffer) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                read => return Poll::Ready(read.map(drop)),
            }
        }
    }

    /// Writes as much of `data` as the client accepts, without recording it.
    fn poll_write_stream(&self, cx: &mut Context<'_>, data: &[u8]) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.stream.poll_write_ready(cx))?;
            match self.stream.try_write(data) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                written => return Poll::Ready(written),
            }
        }
    }

    /// Shuts down our side, and starts the time for which the other side is still read.
    fn start_linger(&mut self) -> io::Result<()> {
        if self.linger.is_none() {
            SockRef::from(&*self.stream).shutdown(Shutdown::Write)?;
            self.linger = Some(Box::pin(tokio::time::sleep(LINGER_TIMEOUT)));
        }
        Ok(())
    }

    /// Ready once the other side need not be read any longer.
    fn poll_linger(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        self.linger.as_mut().map_or(Poll::Ready(()), |linger| linger.as_mut().poll(cx))
    }
}

impl AsyncRead for ClientSocket {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buffer.filled().len();
        let read = self.poll_read_stream(cx, buffer);
        let received = &buffer.filled()[filled_before..];
        if !received.is_empty() {
            self.connection.bytes_received(received);
        }
        read
    }
}

impl AsyncWrite for ClientSocket {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, data: &[u8]) -> Poll<io::Result<usize>> {
        let written = self.poll_write_stream(cx, data);
        if written.is_pending() {
            self.connection.write_blocked();
        } else {
            self.connection.write_progressed();
        }
        written
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    /// Shuts down our side, then discards what the client still sends. To close a socket with unread
    /// data resets the connection, and the client's system may then drop the response unread.
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
