//! An HTTP connection to a backend. The connection makes progress only while its owner polls it, so that
//! dropping the connection ends the exchange and closes the socket at once.

use super::attempt_body::AttemptBody;
use super::exchange_state::{RequestWriteState, ResponseActivity};
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

/// The reason why a request got no response head. The error contains the request if no byte of the request
/// has been sent.
pub(crate) type SendError = TrySendError<Request<AttemptBody>>;

/// Whether a connection has been used before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionOrigin {
    /// The connection has just been established.
    New,
    /// The connection has been used before. The backend may have closed the connection since, or may still
    /// write data of an earlier exchange to it.
    Reused,
}

/// A connection that is driven by its owner: bytes are read and written only while the owner waits for
/// a future on the connection.
pub(crate) struct Connection {
    sender: http1::SendRequest<AttemptBody>,
    driver: ConnectionDriver,
    activity: ResponseActivity,
    write_state: Rc<RequestWriteState>,
}

/// Connects to `address` within `timeout`.
///
/// # Errors
///
/// Returns an error if the connection is refused or fails, or if the timeout elapses.
pub(crate) async fn connect_within(address: SocketAddr, timeout: Duration) -> io::Result<Connection> {
    tokio::time::timeout(timeout, connect(address)).await?
}

/// Connects to `address`, for as long as the caller waits.
///
/// # Errors
///
/// Returns an error if the connection is refused or fails.
pub(super) async fn connect(address: SocketAddr) -> io::Result<Connection> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let activity = ResponseActivity::default();
    let write_state = Rc::<RequestWriteState>::default();
    let socket = BackendSocket::new(stream, activity.clone(), write_state.clone());
    let mut builder = http1::Builder::new();
    // The head of a response must not grow without bound.
    builder.max_buf_size(MAX_HEAD_BYTES);
    let (sender, connection) = builder.handshake(TokioIo::new(socket)).await.map_err(io::Error::other)?;
    let driver = ConnectionDriver { connection: Box::pin(connection), ended: false };
    Ok(Connection { sender, driver, activity, write_state })
}

impl Connection {
    /// Drives the connection until `future` is ready. Returns `None` if the connection ends first.
    pub(crate) async fn drive<F: Future>(&mut self, future: F) -> Option<F::Output> {
        self.driver.drive(future).await
    }

    /// Sends a request and waits for the head of the response. Returns `None` if the connection ends
    /// first.
    pub(crate) async fn send(
        &mut self,
        request: Request<AttemptBody>,
    ) -> Option<Result<Response<Incoming>, SendError>> {
        self.driver.drive(self.sender.try_send_request(request)).await
    }

    /// Drives the connection once, and returns whether it has ended.
    pub(super) fn poll_ended(&mut self, cx: &mut Context<'_>) -> bool {
        self.driver.poll(cx);
        self.driver.ended
    }

    /// Returns the connection if it can carry another request and the peer has not closed it. Does not
    /// wait, because a wait would delay a response that has arrived.
    pub(crate) fn into_reusable(mut self) -> Option<Self> {
        let ended = self.poll_ended(&mut Context::from_waker(Waker::noop()));
        (!ended && self.sender.is_ready()).then_some(self)
    }

    /// Returns the record of the last arrival of data of the current response.
    pub(super) fn activity(&self) -> &ResponseActivity {
        &self.activity
    }

    /// Returns the write progress of the current request.
    pub(super) fn write_state(&self) -> &Rc<RequestWriteState> {
        &self.write_state
    }
}

/// Drives the reads and writes of a connection.
struct ConnectionDriver {
    connection: Pin<Box<http1::Connection<TokioIo<BackendSocket>, AttemptBody>>>,
    /// Set once the connection has ended. The sender reports that it is ready even after the end; without
    /// this flag, a connection that the backend closed right after its response would be reused.
    ended: bool,
}

impl ConnectionDriver {
    /// Drives the connection once.
    fn poll(&mut self, cx: &mut Context<'_>) {
        self.ended = self.ended || self.connection.as_mut().poll(cx).is_ready();
    }

    /// Drives the connection until `future` is ready. Returns `None` if the connection ends first.
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
