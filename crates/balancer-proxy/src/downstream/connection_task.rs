//! The task that serves one client connection until the connection ends, is evicted, times out or is closed
//! by a shutdown.

use super::client_socket::ClientSocket;
use super::connection_table::{ConnectionSlot, ConnectionTable};
use super::lifecycle::Lifecycle;
use super::request_handler::{Admission, RequestHandler};
use super::response::ClientResponse;
use super::response_body::ResponseBody;
use crate::limits::MAX_HEAD_BYTES;
use hyper::Request;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::{HttpService, service_fn};
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;

/// Longest time that an evicted or timed-out connection may take to close while no request awaits a response.
const EVICTED_CLOSE_TIMEOUT: Duration = Duration::from_millis(200);

/// The reason why a connection is no longer served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ServiceEnd {
    /// The connection has ended, or its client has disconnected.
    ConnectionEnded,
    /// The connection is to be closed, as it was evicted or timed out.
    CloseRequested,
}

/// The result of the close of a connection that was evicted or timed out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Close {
    /// The connection is closed, or no request is on its way.
    Completed,
    /// A request has arrived, at least in part, and is served.
    Withdrawn,
}

/// Serves one client connection.
pub(super) struct ConnectionTask {
    /// The handler of the requests.
    pub(super) handler: Rc<RequestHandler>,
    /// The lifecycle of the server, which determines when a shutdown closes the connection.
    pub(super) lifecycle: Rc<Lifecycle>,
    /// The table of all connections.
    pub(super) connections: Rc<ConnectionTable>,
    /// Whether the requests of this connection are served or rejected.
    pub(super) admission: Admission,
    /// The socket of the connection.
    pub(super) stream: Rc<TcpStream>,
    /// The slot of the connection, which is released after the socket is closed.
    pub(super) slot: ConnectionSlot,
}

impl ConnectionTask {
    /// Serves the connection until it is closed.
    pub(super) async fn run(self) {
        let client = self.slot.connection();
        let service = service_fn(|request| self.respond(request));
        let socket =
            ClientSocket::new(self.stream.clone(), client.clone(), self.handler.request_budget().clone());
        let connection = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .serve_connection(TokioIo::new(socket), service);
        let mut connection = pin!(connection);
        let end_before_shutdown = tokio::select! {
            biased; // a request that has arrived is read before the connection is closed
            end = self.serve(connection.as_mut()) => Some(end),
            () = self.wait_for_shutdown() => None,
        };
        let mut end = if let Some(end) = end_before_shutdown {
            end
        } else {
            connection.as_mut().graceful_shutdown();
            self.serve(connection.as_mut()).await
        };
        while end == ServiceEnd::CloseRequested && self.close(connection.as_mut()).await == Close::Withdrawn {
            end = self.serve(connection.as_mut()).await;
        }
    }

    /// Serves the connection until it ends, or is to be closed because it was evicted or timed out.
    async fn serve<S>(&self, connection: Pin<&mut http1::Connection<TokioIo<ClientSocket>, S>>) -> ServiceEnd
    where
        S: HttpService<Incoming, ResBody = ResponseBody, Error = Infallible>,
    {
        let client = self.slot.connection();
        tokio::select! {
            biased; // a request that has arrived is read before the connection is closed
            () = client.serve_until_disconnect(connection, &self.stream) => ServiceEnd::ConnectionEnded,
            () = client.wait_for_close_request(&self.stream) => ServiceEnd::CloseRequested,
        }
    }

    /// Handles a request, and adds `Connection: close` to the response if the connection closes after it.
    async fn respond(&self, request: Request<Incoming>) -> Result<ClientResponse, Infallible> {
        let mut response = self.handler.handle(request, self.slot.connection(), self.admission).await;
        if response.body().is_streamed() {
            self.slot.connection().record_grown_buffers();
        }
        if self.closes_after(&response) {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        Ok(response)
    }

    /// Returns whether the connection is to close after this response. A client that sent a malformed request
    /// is not served again on the same connection: the bytes that follow may be invalid, and each attempt to
    /// parse them costs CPU time.
    fn closes_after(&self, response: &ClientResponse) -> bool {
        self.admission == Admission::Reject
            || response.status().is_client_error()
            || self.lifecycle.is_last_response()
            || self.connections.is_half_full()
            || (self.slot.connection().has_grown_buffers() && self.connections.is_quarter_full())
    }

    /// Returns once a shutdown closes the connection, and no head is arriving.
    async fn wait_for_shutdown(&self) {
        self.lifecycle.wait_until_closing().await;
        self.slot.connection().wait_until_between_requests(&self.stream).await;
    }

    /// Closes a connection that was evicted or timed out. The close is withdrawn if a request arrives
    /// meanwhile, completely or in part: the connection then closes after the response to this request.
    async fn close<S>(&self, mut connection: Pin<&mut http1::Connection<TokioIo<ClientSocket>, S>>) -> Close
    where
        S: HttpService<Incoming, ResBody = ResponseBody, Error = Infallible>,
    {
        connection.as_mut().graceful_shutdown();
        let client = self.slot.connection();
        let closed = client.serve_until_disconnect(connection, &self.stream);
        let has_timed_out = tokio::time::timeout(EVICTED_CLOSE_TIMEOUT, closed).await.is_err();
        if has_timed_out && client.progress().prevents_close() {
            client.withdraw_close();
            return Close::Withdrawn;
        }
        Close::Completed
    }
}

#[cfg(test)]
mod tests;
