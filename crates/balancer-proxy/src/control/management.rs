//! The management address: answers the calls of operators, one a connection.
//!
//! Every caller gets a response or an end of its connection within two timeouts, and callers that send
//! nothing can't keep others from being answered.

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

/// Connections open at once. Their descriptors are reserved.
pub const MAX_MANAGEMENT_CONNECTIONS: usize = 16;
/// Bounds the time in which a call arrives, and again the time in which its response is read.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause after a failed `accept`, which may fail again at once.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// Serves the management address.
pub struct Management {
    server: Rc<Server>,
    maintenance: Rc<Maintenance>,
    /// Tasks of the open connections, the oldest first.
    connections: RefCell<VecDeque<AbortHandle>>,
}

impl Management {
    /// Answers calls for this server, and changes this maintenance.
    pub fn new(server: Rc<Server>, maintenance: Rc<Maintenance>) -> Rc<Self> {
        Rc::new(Self { server, maintenance, connections: RefCell::default() })
    }

    /// Answers calls for as long as the process runs.
    pub async fn run(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => self.clone().admit(stream).await,
                Err(error) => {
                    log!("management: {error}");
                    tokio::time::sleep(ACCEPT_RETRY_INTERVAL).await;
                }
            }
        }
    }

    /// Serves a new connection; at the limit, the oldest one is closed for it. Connections whose call
    /// has arrived are answered first, so that only callers that have sent nothing are closed. The
    /// loop ends when the closed one has released its descriptor, as no more than the limit are
    /// reserved.
    async fn admit(self: Rc<Self>, stream: TcpStream) {
        tokio::task::yield_now().await;
        while self.is_full() {
            self.abort_oldest();
            tokio::task::yield_now().await;
        }
        let this = self.clone();
        let connection = tokio::task::spawn_local(async move {
            // An error means that the caller has disconnected, so that nobody waits for a response.
            let _ = this.serve(stream).await;
        });
        self.connections.borrow_mut().push_back(connection.abort_handle());
    }

    fn is_full(&self) -> bool {
        let mut connections = self.connections.borrow_mut();
        connections.retain(|connection| !connection.is_finished());
        connections.len() >= MAX_MANAGEMENT_CONNECTIONS
    }

    fn abort_oldest(&self) {
        if let Some(oldest) = self.connections.borrow().front() {
            oldest.abort();
        }
    }

    async fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        let call = tokio::time::timeout(CALL_TIMEOUT, Call::read(&mut stream)).await;
        let answer = match call.unwrap_or(Err(CallError::Timeout)) {
            Ok(call) => self.answer(call).await,
            Err(error) => Err(error),
        };
        let line = match answer {
            Ok(text) => format!("{text}\n"),
            Err(error) => format!("ERR {error}\n"),
        };
        tokio::time::timeout(CALL_TIMEOUT, write_and_close(stream, &line)).await?
    }

    /// Metrics are sent without `OK`, as operators' programs expect; all other answers begin with it.
    async fn answer(&self, call: Call) -> Result<String, CallError> {
        match call {
            Call::Status if self.server.is_ready() => Ok("OK ready".to_string()),
            Call::Status => Err(CallError::NotReady),
            Call::SetMaintenance { backend, state } => {
                self.maintenance.set_state(&backend, state).await?;
                let word = match state {
                    MaintenanceState::InMaintenance => "out",
                    MaintenanceState::InService => "back",
                };
                Ok(format!("OK {backend} is {word}"))
            }
            Call::Stats => Ok(format!("{}\nEND", self.server.metrics_json()?)),
        }
    }
}

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
/// Fails if the address can't be bound.
pub async fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    TcpListener::bind(address).await
}
