//! The sockets of the stub discovery server.

use super::list::VersionedList;
use super::poll_log::PollLog;
use crate::request_head::RequestHead;
use std::io;
use std::net::{SocketAddr, TcpListener as StdListener};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Maximum wait of a long poll in the discovery protocol.
const MAX_POLL_WAIT: Duration = Duration::from_secs(60);
/// Delay before the retry of a failed accept, or of a failed bind of an address that was closed before.
const SOCKET_RETRY_DELAY: Duration = Duration::from_millis(2);
const INSTANCE_LIST_PATH: &str = "/api/targets";
const NOT_FOUND_RESPONSE: &[u8] = b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";

/// Availability of the server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Availability {
    /// The server responds at once.
    Up,
    /// Each response is delayed by this time.
    Slow(Duration),
    /// The server accepts polls, and responds to them only after the outage.
    Silent,
    /// The server closes its connections and refuses new ones.
    Refusing,
}

/// The part of the server's state on which a waiting poll depends.
#[derive(Clone, Copy, Debug)]
pub struct ServerStatus {
    /// Availability of the server.
    pub availability: Availability,
    /// The present version of the list.
    pub version: u64,
}

impl ServerStatus {
    fn is_silent(&self) -> bool {
        self.availability == Availability::Silent
    }

    fn is_refusing(&self) -> bool {
        self.availability == Availability::Refusing
    }
}

/// The instance list and the log of the polls.
pub struct ServerState {
    /// The instance list in its present version.
    pub list: VersionedList,
    /// The polls of all proxies.
    pub log: PollLog,
}

/// State that all connections share.
pub struct SharedState {
    state: Mutex<ServerState>,
    /// The present status; a change wakes the waiting polls.
    pub status: watch::Sender<ServerStatus>,
}

impl SharedState {
    /// Creates the state of a server that is up and serves this list.
    pub fn new(state: ServerState) -> Self {
        let status = ServerStatus { availability: Availability::Up, version: state.list.version() };
        Self { state: Mutex::new(state), status: watch::Sender::new(status) }
    }

    /// Locks the state.
    pub fn state(&self) -> MutexGuard<'_, ServerState> {
        // No method leaves invalid counts, so that the state is usable after a panic of another thread.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until the list differs from the version that the poll names, or until the poll's wait ends, and
    /// returns the response. A silent server does not respond, and a slow server delays the response.
    async fn wait_for_response(&self, poll: Poll) -> Result<Arc<[u8]>, serde_json::Error> {
        // Waiting on the status cannot fail, as the sender is in `self`.
        let mut status = self.status.subscribe();
        if let Some(since) = poll.since {
            let changed = status.wait_for(|status| !status.is_silent() && status.version != since);
            let _ = tokio::time::timeout(poll.wait, changed).await;
        }
        let _ = status.wait_for(|status| !status.is_silent()).await;
        let availability = status.borrow().availability;
        if let Availability::Slow(delay) = availability {
            tokio::time::sleep(delay).await;
        }
        self.state().list.response(poll.since)
    }
}

/// The parameters of a poll.
#[derive(Clone, Copy)]
struct Poll {
    /// The version that the proxy has.
    since: Option<u64>,
    /// Time for which the poll waits for another version.
    wait: Duration,
}

impl Poll {
    /// Parses path and query. Returns `None` if the path is not that of the instance list.
    fn parse(path: &str) -> Option<Self> {
        let query = match path.strip_prefix(INSTANCE_LIST_PATH)? {
            "" => return Some(Self { since: None, wait: Duration::ZERO }),
            rest => rest.strip_prefix('?')?,
        };
        let value = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find_map(|(key, value)| if key == name { value.parse::<u64>().ok() } else { None })
        };
        let wait = Duration::from_millis(value("timeout_ms").unwrap_or(0));
        Some(Self { since: value("since"), wait: wait.min(MAX_POLL_WAIT) })
    }
}

/// Serves one proxy at its own address. The address is not bound while the server refuses connections.
pub async fn serve_proxy(shared: Arc<SharedState>, proxy: usize, address: SocketAddr, first: StdListener) {
    let mut listener = TcpListener::from_std(first);
    loop {
        match listener {
            Ok(bound) => {
                accept_connections(&shared, proxy, bound).await;
                let mut status = shared.status.subscribe();
                let _ = status.wait_for(|status| !status.is_refusing()).await;
            }
            Err(error) => {
                tracing::warn!("discovery: cannot listen on {address}: {error}; retrying");
                tokio::time::sleep(SOCKET_RETRY_DELAY).await;
            }
        }
        listener = TcpListener::bind(address).await;
    }
}

/// Accepts connections of a proxy until the server refuses connections.
async fn accept_connections(shared: &Arc<SharedState>, proxy: usize, listener: TcpListener) {
    let mut status = shared.status.subscribe();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = status.wait_for(ServerStatus::is_refusing) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                tokio::spawn(serve_until_refusing(shared.clone(), proxy, stream));
            }
            Err(error) => {
                tracing::warn!("discovery: cannot accept a connection of proxy {proxy}: {error}; retrying");
                tokio::time::sleep(SOCKET_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_until_refusing(shared: Arc<SharedState>, proxy: usize, mut stream: TcpStream) {
    let _ = stream.set_nodelay(true); // on failure the connection is only slower
    let mut status = shared.status.subscribe();
    tokio::select! {
        ended = serve_connection(&shared, proxy, &mut stream) => if let Err(error) = ended {
            tracing::debug!("discovery: connection of proxy {proxy} failed: {error}");
        },
        _ = status.wait_for(ServerStatus::is_refusing) => {}
    }
}

/// Responds to the polls of one connection until the connection ends.
async fn serve_connection(shared: &SharedState, proxy: usize, stream: &mut TcpStream) -> io::Result<()> {
    let mut buffer = Vec::new();
    while let Some(head) = RequestHead::read(stream, &mut buffer).await? {
        let poll = Poll::parse(&head.path);
        shared.state().log.record_poll(proxy, poll.and_then(|poll| poll.since), head.head_bytes);
        let Some(poll) = poll else {
            stream.write_all(NOT_FOUND_RESPONSE).await?;
            continue;
        };
        let response = tokio::select! {
            response = shared.wait_for_response(poll) => response.map_err(io::Error::other)?,
            // A waiting proxy sends nothing, so a read ends only if the proxy has closed the connection.
            _ = stream.read_buf(&mut buffer) => return Ok(()),
        };
        write_and_count(shared, proxy, stream, &response).await?;
    }
    Ok(())
}

/// Writes a response to a proxy, and records its bytes in the log.
async fn write_and_count(
    shared: &SharedState,
    proxy: usize,
    stream: &mut TcpStream,
    response: &[u8],
) -> io::Result<()> {
    let mut rest = response;
    while !rest.is_empty() {
        let written = stream.write(rest).await?;
        shared.state().log.record_response(proxy, written);
        rest = &rest[written..];
    }
    Ok(())
}
