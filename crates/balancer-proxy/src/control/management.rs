//! The management service: responds to the calls of operators, one call for each connection.
//!
//! A connection gets its response or is closed within twice the call timeout. Callers that send nothing
//! cannot block other callers, as the oldest connection is closed when the connection limit is reached.

use super::maintenance::Maintenance;
use super::maintenance_record::MaintenanceState;
use super::management_protocol::{Call, CallError, MAX_LINE_BYTES};
use crate::downstream::server::Server;
use crate::log;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::AbortHandle;

/// Largest number of management connections that are open at once. The same number of
/// file descriptors is reserved.
pub const MAX_MANAGEMENT_CONNECTIONS: usize = 16;
/// Longest time for reading a call, and again for sending the response and waiting for the caller to close
/// the connection.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause after a failed `accept`, as the next one may fail immediately, too.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(10);

/// Serves the management address.
pub struct Management {
    /// The server whose readiness and metrics are reported.
    server: Rc<Server>,
    /// The maintenance that calls change.
    maintenance: Rc<Maintenance>,
    /// Tasks of the open connections, the oldest first.
    connections: RefCell<VecDeque<AbortHandle>>,
}

impl Management {
    /// Creates a management service that reports on `server` and changes `maintenance`.
    pub fn new(server: Rc<Server>, maintenance: Rc<Maintenance>) -> Rc<Self> {
        Rc::new(Self { server, maintenance, connections: RefCell::default() })
    }

    /// Responds to the calls on `listener`. Never returns.
    pub async fn run(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => self.clone().admit(stream).await,
                Err(error) => {
                    log!("management: cannot accept a connection: {error}; retrying");
                    tokio::time::sleep(ACCEPT_BACKOFF).await;
                }
            }
        }
    }

    /// Serves a new connection. At the limit the oldest connection is closed first.
    ///
    /// The first yield lets connections whose call has arrived get their response, so that only connections
    /// without a call are closed. The loop waits until the closed connection has released its descriptor,
    /// as only [`MAX_MANAGEMENT_CONNECTIONS`] descriptors are reserved.
    async fn admit(self: Rc<Self>, stream: TcpStream) {
        tokio::task::yield_now().await;
        while self.is_full() {
            self.abort_oldest();
            tokio::task::yield_now().await;
        }
        let this = self.clone();
        let connection = tokio::task::spawn_local(async move {
            // An error means that the caller has disconnected or does not read the response.
            let _ = this.serve(stream).await;
        });
        self.connections.borrow_mut().push_back(connection.abort_handle());
    }

    /// Returns whether as many connections are open as the limit allows.
    fn is_full(&self) -> bool {
        self.remove_finished();
        self.connections.borrow().len() >= MAX_MANAGEMENT_CONNECTIONS
    }

    fn remove_finished(&self) {
        self.connections.borrow_mut().retain(|connection| !connection.is_finished());
    }

    fn abort_oldest(&self) {
        if let Some(oldest) = self.connections.borrow().front() {
            oldest.abort();
        }
    }

    /// Reads a call and writes its response, each within [`CALL_TIMEOUT`].
    async fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        let call = tokio::time::timeout(CALL_TIMEOUT, Call::read(&mut stream)).await;
        let response = match call.unwrap_or(Err(CallError::Timeout)) {
            Ok(call) => self.respond(call).await,
            Err(error) => Err(error),
        };
        let line = match response {
            Ok(text) => format!("{text}\n"),
            Err(error) => format!("ERR {error}\n"),
        };
        tokio::time::timeout(CALL_TIMEOUT, write_and_close(stream, &line)).await?
    }

    /// Carries out a call and returns its response. A response begins with `OK`, except for the metrics, as
    /// operators' programs expect metrics without `OK`.
    async fn respond(&self, call: Call) -> Result<String, CallError> {
        match call {
            Call::Status if self.server.is_ready() => Ok("OK ready".to_string()),
            Call::Status => Err(CallError::NotReady),
            Call::SetMaintenance { backend, state } => {
                self.maintenance.set_state(&backend, state).await?;
                let state_word = match state {
                    MaintenanceState::InMaintenance => "out",
                    MaintenanceState::InService => "back",
                };
                Ok(format!("OK {backend} is {state_word}"))
            }
            Call::Stats => Ok(format!("{}\nEND", self.server.metrics_json()?)),
        }
    }
}

/// Writes a line, and closes the connection once the caller has received the line.
async fn write_and_close(mut stream: TcpStream, line: &str) -> io::Result<()> {
    stream.write_all(line.as_bytes()).await?;
    stream.shutdown().await?;
    // Closing a socket with unread input resets the connection, and the response could be lost.
    tokio::io::copy(&mut stream.take(MAX_LINE_BYTES), &mut tokio::io::sink()).await?;
    Ok(())
}

/// Binds the management address.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub async fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    TcpListener::bind(address).await
}
