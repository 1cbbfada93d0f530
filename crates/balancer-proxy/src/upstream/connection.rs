//! An HTTP connection to a backend. It makes progress only while its owner polls it, so that
//! dropping it ends the exchange and closes the socket at once.

use super::exchange_progress::{RequestWriteState, ResponseActivity};
use super::request_body::AttemptBody;
use super::socket::BackendSocket;
use crate::limits::MAX_HEAD_BYTES;
use hyper::body::Incoming;
use hyper::client::conn::{TrySendError, http1};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::net::TcpStream;

/// Why a request got no response head. It contains the request if nothing of it has been sent.
pub type SendError = TrySendError<Request<AttemptBody>>;

/// Whether a connection has been used before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionOrigin {
    /// Just established.
    New,
    /// Used before: the peer may have closed it since, or may still write to it.
    Reused,
}

/// A connection that is driven by its owner: nothing is read or written except while the owner
/// waits for something on it.
pub struct Connection {
    sender: http1::SendRequest<AttemptBody>,
    driver: Driver,
    activity: ResponseActivity,
    progress: Rc<RequestWriteState>,
}

/// Connects to `address` within `timeout`.
///
/// # Errors
/// If the connection is refused or fails, or the timeout elapses.
pub async fn connect(address: SocketAddr, timeout: Duration) -> io::Result<Connection> {
    let stream = tokio::time::timeout(timeout, TcpStream::connect(address)).await??;
    stream.set_nodelay(true)?;
    let activity = ResponseActivity::default();
    let progress = Rc::<RequestWriteState>::default();
    let socket = BackendSocket::new(stream, activity.clone(), progress.clone());
    let mut builder = http1::Builder::new();
    // The head of a response must not grow without bound.
    builder.max_buf_size(MAX_HEAD_BYTES);
    let (sender, connection) = builder.handshake(TokioIo::new(socket)).await.map_err(io::Error::other)?;
    let driver = Driver { connection: Box::pin(connection), ended: false };
    Ok(Connection { sender, driver, activity, progress })
}

impl Connection {
    /// Waits for `future` while the connection is driven. None if the connection ends first.
    pub async fn drive<F: Future>(&mut self, future: F) -> Option<F::Output> {
        self.driver.drive(future).await
    }

    /// Sends a request and waits for the head of the response. None if the connection ends first.
    pub async fn send(
        &mut self,
        request: Request<AttemptBody>,
    ) -> Option<Result<Response<Incoming>, SendError>> {
        self.driver.drive(self.sender.try_send_request(request)).await
    }

    /// Drives the connection once, and returns whether it has ended.
    pub fn poll_ended(&mut self, cx: &mut Context<'_>) -> bool {
        self.driver.poll(cx);
        self.driver.ended
    }

    /// Returns the connection if it can carry another request and the peer has not closed it. Does
    /// not wait: a response that has arrived must not be delayed by its connection.
    #[must_use]
    pub fn into_reusable(mut self) -> Option<Self> {
        let ended = self.poll_ended(&mut Context::from_waker(Waker::noop()));
        (!ended && self.sender.is_ready()).then_some(self)
    }

    /// When data of the current response last arrived.
    pub(super) fn activity(&self) -> &ResponseActivity {
        &self.activity
    }

    /// How much of the current request has been written.
    pub(super) fn progress(&self) -> &Rc<RequestWriteState> {
        &self.progress
    }
}

/// Reads and writes for a connection.
struct Driver {
    connection: Pin<Box<http1::Connection<TokioIo<BackendSocket>, AttemptBody>>>,
    /// Recorded because the sender reports that it is ready even after the end: a connection that the
    /// backend closed right after its response would otherwise be cached and reused.
    ended: bool,
}

impl Driver {
    fn poll(&mut self, cx: &mut Context<'_>) {
        self.ended = self.ended || self.connection.as_mut().poll(cx).is_ready();
    }

    async fn drive<F: Future>(&mut self, future: F) -> Option<F::Output> {
        let mut future = pin!(future);
        std::future::poll_fn(|cx| {
            self.poll(cx);
            match future.as_mut().poll(cx) {
                Poll::Ready(output) => Poll::Ready(Some(output)),
                Poll::Pending if self.ended => Poll::Ready(None),
                Poll::Pending => Poll::Pending,
            }
        })
        .await
    }
}
