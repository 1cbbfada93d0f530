//! The socket of a backend connection. The socket records when data arrives, and delays the last byte of
//! each request. Until the last byte is written, the request can still be aborted or sent on another
//! connection.

use super::exchange_state::{RequestWriteState, ResponseActivity};
use socket2::SockRef;
use std::future::Future;
use std::io::{self, Read};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use thiserror::Error;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep};

/// Delay of the last byte of a request. A backend starts to execute a request when the last byte arrives. If
/// the connection breaks before, the backend never executes the request, which may be sent on another
/// connection. The delay guards against connections that the backend has abandoned without notice, or resets
/// when it accepts them.
const LAST_BYTE_DELAY: Duration = Duration::from_millis(1);

/// Maximum lateness of the timer of the delay. After a later expiry, the last byte is delayed once more: the
/// process was suspended or busy, and may not have processed the events of that time yet, such as a
/// disconnect of the client.
const MAX_TIMER_LATENESS: Duration = Duration::from_millis(50);

/// The reason why the socket aborts an exchange.
#[derive(Debug, Error)]
enum AbortedExchange {
    #[error("the backend sent data before the request had been written completely")]
    StaleInput,
    #[error("the deadline for writing the request passed before its last byte was written")]
    WriteDeadlineExceeded,
}

impl From<AbortedExchange> for io::Error {
    fn from(error: AbortedExchange) -> Self {
        Self::other(error)
    }
}

/// A TCP socket to a backend that delays the last byte of each request.
pub(super) struct BackendSocket {
    stream: TcpStream,
    activity: ResponseActivity,
    write_state: Rc<RequestWriteState>,
    /// The last byte of a request that the HTTP library has written and the stream has not.
    delayed_byte: Option<u8>,
    delay: Pin<Box<Sleep>>,
    /// Set once the byte has been delayed a second time. The byte is never delayed a third time, so that a
    /// slow process makes progress too.
    is_delay_extended: bool,
}

impl BackendSocket {
    /// Wraps a connected stream. The socket records arrivals of data in `activity`, and the write progress
    /// in `write_state`.
    pub(super) fn new(
        stream: TcpStream,
        activity: ResponseActivity,
        write_state: Rc<RequestWriteState>,
    ) -> Self {
        let delay = Box::pin(tokio::time::sleep(Duration::ZERO));
        Self { stream, activity, write_state, delayed_byte: None, delay, is_delay_extended: false }
    }

    /// Stores the last byte of a request, which is written after the delay.
    fn delay_byte(&mut self, byte: u8) {
        self.delayed_byte = Some(byte);
        self.is_delay_extended = false;
        self.restart_delay();
    }

    fn restart_delay(&mut self) {
        self.delay.as_mut().reset(Instant::now() + LAST_BYTE_DELAY);
    }

    /// Waits for the end of the delay, and for the end of a second delay if the first expired too late.
    fn poll_delay(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        ready!(self.delay.as_mut().poll(cx));
        if !self.is_delay_extended && self.delay.deadline().elapsed() > MAX_TIMER_LATENESS {
            self.is_delay_extended = true;
            self.restart_delay();
            ready!(self.delay.as_mut().poll(cx));
        }
        Poll::Ready(())
    }

    /// Returns an error if the last byte must not be written.
    fn check_last_byte(&self) -> Result<(), AbortedExchange> {
        if self.write_state.is_input_unexpected() && self.has_pending_input() {
            return Err(AbortedExchange::StaleInput);
        }
        // A timer cannot replace this check: after the process was suspended, all of its timers are due at
        // once and expire in any order.
        if self.write_state.is_write_deadline_exceeded() {
            return Err(AbortedExchange::WriteDeadlineExceeded);
        }
        Ok(())
    }

    /// Returns whether data or the end of the stream has arrived, even if the runtime has not reported the
    /// arrival yet. The check consumes a byte of the data: the connection must not be used after a
    /// positive result.
    fn has_pending_input(&self) -> bool {
        let socket = SockRef::from(&self.stream);
        !matches!((&*socket).read(&mut [0]), Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Writes the delayed byte, if a byte is delayed.
    fn poll_write_delayed(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if let Some(byte) = self.delayed_byte {
            ready!(Pin::new(&mut self.stream).poll_write(cx, &[byte]))?;
            self.delayed_byte = None;
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncRead for BackendSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buffer);
        if buffer.filled().len() > filled_before {
            // The data counts as earlier than the last byte of the request: after this error, the last byte
            // is never written.
            if self.write_state.is_input_unexpected() {
                return Poll::Ready(Err(AbortedExchange::StaleInput.into()));
            }
            self.activity.record();
        }
        read
    }
}

impl AsyncWrite for BackendSocket {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, data: &[u8]) -> Poll<io::Result<usize>> {
        // More data follows: the delayed byte was not the last one.
        ready!(self.poll_write_delayed(cx))?;
        if !self.write_state.end_of_body().is_set() {
            return Pin::new(&mut self.stream).poll_write(cx, data);
        }
        let Some((last, rest)) = data.split_last() else {
            return Poll::Ready(Ok(0));
        };
        if !rest.is_empty() {
            let written = ready!(Pin::new(&mut self.stream).poll_write(cx, rest))?;
            if written < rest.len() {
                return Poll::Ready(Ok(written));
            }
        }
        self.delay_byte(*last);
        Poll::Ready(Ok(data.len()))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.delayed_byte.is_some() {
            ready!(self.poll_delay(cx));
            self.check_last_byte()?;
            ready!(self.poll_write_delayed(cx))?;
            self.write_state.finish_request();
        }
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
