//! One HTTP call to discovery at a time, on a connection that is reused while it works.

use crate::control::endpoint_list::RawEndpointList;
use crate::upstream::attempt_body::AttemptBody;
use crate::upstream::connection::{Connection, connect};
use http_body_util::{BodyExt, Limited};
use hyper::Request;
use hyper::client::conn::TrySendError;
use std::error::Error as StdError;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;

/// Largest response body that is accepted.
const MAX_LIST_BYTES: usize = 4 << 20;

/// Why a call has no usable response.
#[derive(Debug, Error)]
pub(super) enum CallError {
    #[error("no response in time")]
    Timeout,
    #[error("the connection ended")]
    ConnectionClosed,
    #[error("cannot connect: {0}")]
    Connect(#[source] io::Error),
    #[error("invalid request: {0}")]
    InvalidRequest(#[from] hyper::http::Error),
    #[error("{0}")]
    Http(#[from] hyper::Error),
    #[error("status {0}")]
    Status(u16),
    #[error("body: {0}")]
    Body(#[source] Box<dyn StdError + Send + Sync>),
    #[error("list: {0}")]
    InvalidList(#[from] serde_json::Error),
}

/// What is requested of discovery.
#[derive(Clone, Copy, Debug)]
pub(super) enum ListRequest {
    /// The full list, at once.
    Full,
    /// The changes since a generation; held back for up to `max_wait` while there are none.
    ChangesSince { generation: u64, max_wait: Duration },
}

impl ListRequest {
    fn path(self) -> String {
        match self {
            Self::Full => "/api/targets".to_string(),
            Self::ChangesSince { generation, max_wait } => {
                format!("/api/targets?since={generation}&timeout_ms={}", max_wait.as_millis())
            }
        }
    }

    /// How long discovery may hold the response back.
    fn max_wait(self) -> Duration {
        match self {
            Self::Full => Duration::ZERO,
            Self::ChangesSince { max_wait, .. } => max_wait,
        }
    }
}

/// Calls discovery at one address. Dropping it ends the call in progress and the connection.
pub(super) struct DiscoveryClient {
    address: SocketAddr,
    /// The connection of the last call, if that succeeded.
    idle_connection: Option<Connection>,
}

impl DiscoveryClient {
    pub(super) fn new(address: SocketAddr) -> Self {
        Self { address, idle_connection: None }
    }

    /// Makes one call. It fails if it takes longer than the wait that it requests and
    /// `response_timeout` together, with connecting.
    pub(super) async fn fetch(
        &mut self,
        request: ListRequest,
        response_timeout: Duration,
    ) -> Result<RawEndpointList, CallError> {
        let timeout = request.max_wait() + response_timeout;
        let exchange = self.exchange(request, timeout);
        tokio::time::timeout(timeout, exchange).await.unwrap_or(Err(CallError::Timeout))
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
        let body = Limited::new(response.into_body(), MAX_LIST_BYTES).collect();
        let body = connection.drive(body).await.ok_or(CallError::ConnectionClosed)?;
        let body = body.map_err(CallError::Body)?;
        if !status.is_success() {
            return Err(CallError::Status(status.as_u16()));
        }

        self.idle_connection = connection.into_reusable();
        Ok(serde_json::from_slice(&body.to_bytes())?)
    }

    /// The idle connection if it can still be used, or else a new one.
    async fn take_connection(&mut self, connect_timeout: Duration) -> Result<Connection, CallError> {
        let idle = self.idle_connection.take().and_then(Connection::into_reusable);
        match idle {
            Some(connection) => Ok(connection),
            None => connect(self.address, connect_timeout).await.map_err(CallError::Connect),
        }
    }
}
