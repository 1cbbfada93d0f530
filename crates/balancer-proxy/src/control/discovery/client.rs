//! The HTTP client of discovery: makes one call at a time, on a connection that is reused until it fails.

use super::timing::{MAX_CHANGES_TIME, MAX_FULL_LIST_TIME};
use crate::control::endpoint_list::RawEndpointList;
use crate::limits::{Budget, Permit};
use crate::upstream::attempt_body::AttemptBody;
use crate::upstream::body_buffer::BodyBuffer;
use crate::upstream::connection::{Connection, connect_within};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use hyper::{Request, StatusCode};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;

/// Largest number of bytes of response bodies that the calls in progress hold together. A single body may use
/// all of them.
pub(super) const MAX_LIST_BYTES: usize = 4 << 20;

/// The error of a call to discovery.
#[derive(Debug, Error)]
pub(super) enum CallError {
    /// The response was not complete before the timeout.
    #[error("no response before the timeout")]
    Timeout,
    /// Discovery closed the connection before the response was complete.
    #[error("connection closed before the response was complete")]
    ConnectionClosed,
    /// The connection could not be established.
    #[error("cannot connect: {0}")]
    Connect(#[source] io::Error),
    /// The request could not be built.
    #[error("invalid request: {0}")]
    InvalidRequest(#[from] hyper::http::Error),
    /// The response violates HTTP.
    #[error("{0}")]
    Http(#[from] hyper::Error),
    /// The response has this status, which is not a success.
    #[error("unexpected response status {0}")]
    Status(u16),
    /// The response body is incomplete.
    #[error("cannot read the response body: {0}")]
    Body(#[source] hyper::Error),
    /// The response bodies of all calls in progress exceed [`MAX_LIST_BYTES`].
    #[error("the response bodies of all calls are longer than {MAX_LIST_BYTES} bytes")]
    BodyTooLong,
    /// The response body is not an endpoint list.
    #[error("invalid endpoint list: {0}")]
    InvalidList(#[from] serde_json::Error),
}

impl CallError {
    /// Returns whether discovery has rejected the call, as a server does that gets more calls than it can
    /// serve.
    pub(super) fn is_rejection(&self) -> bool {
        let rejections = [StatusCode::TOO_MANY_REQUESTS, StatusCode::SERVICE_UNAVAILABLE];
        matches!(self, Self::Status(status) if rejections.map(|status| status.as_u16()).contains(status))
    }
}

/// A request for the endpoint list.
#[derive(Clone, Copy, Debug)]
pub(super) enum ListRequest {
    /// Requests the full list. Discovery responds without waiting for a change.
    Full,
    /// Requests the changes since a list. Discovery responds when there is a change, or without any
    /// change after a wait.
    ChangesSince {
        /// Generation of the list that the changes apply to.
        generation: u64,
        /// Longest wait for a change.
        max_wait: Duration,
    },
}

impl ListRequest {
    /// Returns the path and the query of the request.
    fn path(self) -> String {
        match self {
            Self::Full => "/api/targets".to_string(),
            Self::ChangesSince { generation, max_wait } => {
                format!("/api/targets?since={generation}&timeout_ms={}", max_wait.as_millis())
            }
        }
    }

    /// Returns how long discovery may wait for a change before it responds.
    pub(super) fn max_wait(self) -> Duration {
        match self {
            Self::Full => Duration::ZERO,
            Self::ChangesSince { max_wait, .. } => max_wait,
        }
    }

    /// Returns the longest time from the start of the call to the complete response.
    fn max_duration(self) -> Duration {
        match self {
            Self::Full => MAX_FULL_LIST_TIME,
            Self::ChangesSince { max_wait, .. } => max_wait + MAX_CHANGES_TIME,
        }
    }
}

/// Calls discovery at one address. Dropping the client ends the call in progress and the connection.
pub(super) struct DiscoveryClient {
    /// The address of discovery.
    address: SocketAddr,
    /// The budget for the bytes of response bodies, which all clients share.
    list_budget: Rc<Budget>,
    /// The connection of the last call, if that call succeeded.
    idle_connection: Option<Connection>,
}

/// A response body, and the permit for its bytes.
struct BudgetedBody {
    bytes: Bytes,
    _permit: Permit,
}

impl DiscoveryClient {
    /// Creates a client without a connection.
    pub(super) fn new(address: SocketAddr, list_budget: Rc<Budget>) -> Self {
        Self { address, list_budget, idle_connection: None }
    }

    /// Makes one call, on the idle connection or else on a new connection. Returns the client with its
    /// connection, and the list.
    ///
    /// # Errors
    ///
    /// Returns a [`CallError`] if no valid list arrives within the longest duration of the call, which includes
    /// connecting.
    pub(super) async fn fetch(mut self, request: ListRequest) -> Result<(Self, RawEndpointList), CallError> {
        let timeout = request.max_duration();
        let exchange = self.exchange(request, timeout);
        let list = tokio::time::timeout(timeout, exchange).await.unwrap_or(Err(CallError::Timeout))?;
        Ok((self, list))
    }

    async fn exchange(
        &mut self,
        request: ListRequest,
        connect_timeout: Duration,
    ) -> Result<RawEndpointList, CallError> {
        let request = Request::get(request.path())
            .header("host", self.address.to_string())
            .body(AttemptBody::empty())?;
        let mut connection = self.take_connection(connect_timeout).await?;

        let response = connection.send(request).await.ok_or(CallError::ConnectionClosed)?;
        let response = response.map_err(TrySendError::into_error)?;
        let status = response.status();
        let body = self.read_body(&mut connection, response.into_body()).await?;
        if !status.is_success() {
            return Err(CallError::Status(status.as_u16()));
        }

        self.idle_connection = connection.into_reusable();
        Ok(serde_json::from_slice(&body.bytes)?)
    }

    /// Takes the idle connection if it can still be used, or else establishes a new connection.
    async fn take_connection(&mut self, connect_timeout: Duration) -> Result<Connection, CallError> {
        let idle = self.idle_connection.take().and_then(Connection::into_reusable);
        match idle {
            Some(connection) => Ok(connection),
            None => connect_within(self.address, connect_timeout).await.map_err(CallError::Connect),
        }
    }

    /// Reads the complete body of a response.
    async fn read_body(
        &self,
        connection: &mut Connection,
        mut incoming: Incoming,
    ) -> Result<BudgetedBody, CallError> {
        let mut permit = self.list_budget.try_acquire(0).ok_or(CallError::BodyTooLong)?;
        let mut buffer = BodyBuffer::new(MAX_LIST_BYTES);
        while let Some(frame) = connection.drive(incoming.frame()).await.ok_or(CallError::ConnectionClosed)? {
            let chunk = frame.map_err(CallError::Body)?.into_data().unwrap_or_default();
            if !permit.try_extend(chunk.len()) {
                return Err(CallError::BodyTooLong);
            }
            buffer.append(chunk).map_err(|_| CallError::BodyTooLong)?;
        }
        Ok(BudgetedBody { bytes: buffer.into_bytes(), _permit: permit })
    }
}
