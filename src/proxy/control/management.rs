//! The second address, for those who run the proxy: one call a connection, a line each way.

use super::maintenance::{Maintenance, NeverListed};
use crate::log;
use crate::proxy::downstream::server::Server;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::str::FromStr;
use std::time::Duration;
use thiserror::Error;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::AbortHandle;

/// Connections held at once. They have descriptors of their own.
pub const MAX_MANAGEMENT_CONNECTIONS: usize = 16;
/// Longest line.
const MOST_LINE: u64 = 256;
/// A call must have come within this, and its answer have been taken within the same again.
const WITHIN: Duration = Duration::from_secs(2);

/// What can be asked.
#[derive(Debug, PartialEq, Eq)]
enum Call {
    Status,
    Stats,
    /// Takes the named backend out, or lets it serve again.
    Maintain {
        name: String,
        out: bool,
    },
}

/// Why there is no answer but `ERR`.
#[derive(Debug, Error)]
enum CallError {
    #[error("no call: status, stats, maint-on ID, maint-off ID")]
    Unknown,
    #[error("the call did not come whole")]
    Incomplete,
    #[error("the call did not come in time")]
    Late,
    #[error("{0}")]
    NeverListed(#[from] NeverListed),
    #[error("not ready")]
    NotReady,
    #[error("no figures: {0}")]
    Metrics(#[from] serde_json::Error),
    #[error("{0}")]
    Io(#[from] io::Error),
}

impl FromStr for Call {
    type Err = CallError;

    fn from_str(line: &str) -> Result<Self, CallError> {
        let mut words = line.split_ascii_whitespace();
        match (words.next(), words.next(), words.next()) {
            (Some("status"), None, None) => Ok(Call::Status),
            (Some("stats"), None, None) => Ok(Call::Stats),
            (Some("maint-on"), Some(name), None) => Ok(Call::Maintain { name: name.to_string(), out: true }),
            (Some("maint-off"), Some(name), None) => {
                Ok(Call::Maintain { name: name.to_string(), out: false })
            }
            _ => Err(CallError::Unknown),
        }
    }
}

/// Answers calls.
pub struct Management {
    server: Rc<Server>,
    maintenance: Rc<Maintenance>,
    /// The connections, the oldest first.
    callers: RefCell<VecDeque<AbortHandle>>,
}

impl Management {
    /// One that speaks for this server, and to this maintenance.
    pub fn new(server: Rc<Server>, maintenance: Rc<Maintenance>) -> Rc<Self> {
        Rc::new(Self { server, maintenance, callers: RefCell::default() })
    }

    /// Answers calls for as long as the process runs.
    pub async fn run(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => self.clone().admit(stream).await,
                Err(error) => {
                    log!("management: {error}");
                    tokio::time::sleep(Duration::from_millis(10)).await;
                }
            }
        }
    }

    /// Takes in a caller. Those that have sent their calls are answered first, so that those that
    /// are still there say nothing, and the oldest of them may go for want of room. It has its
    /// descriptor until it has gone, and no more than these are set aside.
    async fn admit(self: Rc<Self>, stream: TcpStream) {
        tokio::task::yield_now().await;
        while self.crowded() {
            self.callers.borrow().front().into_iter().for_each(|oldest| oldest.abort());
            tokio::task::yield_now().await;
        }
        let this = self.clone();
        let caller = tokio::task::spawn_local(async move {
            // A caller that is gone needs no answer.
            let _ = this.serve(stream).await;
        });
        self.callers.borrow_mut().push_back(caller.abort_handle());
    }

    fn crowded(&self) -> bool {
        let mut callers = self.callers.borrow_mut();
        callers.retain(|caller| !caller.is_finished());
        callers.len() >= MAX_MANAGEMENT_CONNECTIONS
    }

    async fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        let call = tokio::time::timeout(WITHIN, read(&mut stream)).await;
        let answer = async { self.answer(call.unwrap_or(Err(CallError::Late))?).await };
        let answer = match answer.await {
            Ok(text) => format!("{text}\n"),
            Err(error) => format!("ERR {error}\n"),
        };
        let written = async {
            stream.write_all(answer.as_bytes()).await?;
            stream.shutdown().await?;
            // What is left unread would reset the connection, and the answer might be lost.
            tokio::io::copy(&mut stream.take(MOST_LINE), &mut tokio::io::sink()).await
        };
        tokio::time::timeout(WITHIN, written).await??;
        Ok(())
    }

    /// The metrics come bare, as operators' programs read them; all else begins with `OK`.
    async fn answer(&self, call: Call) -> Result<String, CallError> {
        match call {
            Call::Status if self.server.is_ready() => Ok("OK ready".to_string()),
            Call::Status => Err(CallError::NotReady),
            Call::Maintain { name, out } => {
                self.maintenance.set_maintenance(&name, out).await?;
                Ok(format!("OK {name} is {}", if out { "out" } else { "back" }))
            }
            Call::Stats => Ok(format!("{}\nEND", self.server.metrics_json()?)),
        }
    }
}

async fn read(stream: &mut TcpStream) -> Result<Call, CallError> {
    let mut line = Vec::new();
    BufReader::new(stream.take(MOST_LINE)).read_until(b'\n', &mut line).await?;
    let line = line.strip_suffix(b"\n").ok_or(CallError::Incomplete)?;
    std::str::from_utf8(line).map_err(|_| CallError::Unknown)?.parse()
}

/// Binds the second address.
pub async fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    TcpListener::bind(address).await
}
