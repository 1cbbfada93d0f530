//! The state of one client connection: which phase its current request is in, when bytes last arrived,
//! and whether it is to be closed. [`super::client_socket`] records what arrives and what is written,
//! the server records requests and responses; the table of all connections reads the state to decide
//! which connections time out or are evicted.

use super::close_request::CloseRequest;
use super::framing::RequestFraming;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Instant;

/// A request head must be complete this long after its first byte, and the first head of a connection
/// this long after the connection was accepted. Guards against clients that send nothing, stop half
/// way, or never end the head.
const HEADER_TIMEOUT: Duration = Duration::from_millis(2400);
/// The body may take what its head left of [`HEADER_TIMEOUT`], but at least this long.
const MIN_BODY_TIMEOUT: Duration = Duration::from_millis(400);
/// A client that reads nothing of its response for this long is not expected to read the rest.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// An idle connection is closed after this long.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(75);
/// An idle connection may be evicted after this long.
const MIN_IDLE_BEFORE_EVICTION: Duration = Duration::from_secs(2);
/// A connection that has never completed a request may be evicted after receiving nothing for this
/// long.
const MIN_SILENCE_BEFORE_EVICTION: Duration = Duration::from_millis(500);
/// How often [`ClientConnection::between_requests`] checks whether the head is complete.
const HEAD_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The phase of the current request of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestPhase {
    /// Nothing of a request has arrived.
    Idle,
    /// The head is arriving, or, at the start of the connection, is expected.
    Head {
        /// When its first byte arrived, or when the connection was accepted.
        started: Instant,
    },
    /// The body is arriving. Its reader enforces the timeout.
    Body,
    /// The request is complete, and the response is not finished.
    AwaitingResponse,
}

/// What the connection knows about a received head beyond the head itself.
#[derive(Clone, Copy, Debug)]
pub struct ReceivedHead {
    /// The head states the length of the body in two ways.
    pub length_is_ambiguous: bool,
    /// How long the body may take at any rate of transfer.
    pub body_timeout: Duration,
}

/// What has arrived on a connection, and when.
struct ReceivedBytes {
    any: Cell<bool>,
    /// When bytes last arrived; at first, when the connection was accepted.
    last: Cell<Instant>,
    /// Bytes of the next request arrived while the current one awaited its response.
    pipelined: Cell<bool>,
}

impl ReceivedBytes {
    fn new(now: Instant) -> Self {
        Self { any: Cell::new(false), last: Cell::new(now), pipelined: Cell::new(false) }
    }

    fn record(&self) {
        self.any.set(true);
        self.last.set(Instant::now());
    }

    fn silence(&self) -> Duration {
        self.last.get().elapsed()
    }
}

/// The state of one client connection.
pub struct ClientConnection {
    phase: Cell<RequestPhase>,
    /// At least one request was complete.
    has_completed_request: Cell<bool>,
    /// When the last response finished; at first, when the connection was accepted.
    idle_since: Cell<Instant>,
    received: ReceivedBytes,
    framing: RefCell<RequestFraming>,
    /// Wakes [`Self::client_disconnected`] when a head is complete.
    head_complete: Notify,
    /// Since when the client has read nothing of what is being written.
    write_blocked_since: Cell<Option<Instant>>,
    close_request: CloseRequest,
}

impl ClientConnection {
    /// The state of a connection that has just been accepted.
    pub fn new() -> Rc<Self> {
        let now = Instant::now();
        Rc::new(Self {
            phase: Cell::new(RequestPhase::Head { started: now }),
            has_completed_request: Cell::new(false),
            idle_since: Cell::new(now),
            received: ReceivedBytes::new(now),
            framing: RefCell::default(),
            head_complete: Notify::new(),
            write_blocked_since: Cell::new(None),
            close_request: CloseRequest::default(),
        })
    }
}

/// The progress of requests and responses, as the socket and the server report it.
impl ClientConnection {
    /// Records bytes that arrived from the client.
    pub fn bytes_received(&self, data: &[u8]) {
        self.framing.borrow_mut().feed(data);
        self.received.record();
        match self.phase.get() {
            RequestPhase::Idle => self.phase.set(RequestPhase::Head { started: Instant::now() }),
            RequestPhase::AwaitingResponse => self.received.pipelined.set(true),
            RequestPhase::Head { .. } | RequestPhase::Body => {}
        }
    }

    /// Records that the head of a request is complete.
    pub fn head_received(&self) -> ReceivedHead {
        let head_duration = match self.phase.replace(RequestPhase::Body) {
            RequestPhase::Head { started } => started.elapsed(),
            _ => Duration::ZERO,
        };
        self.head_complete.notify_one();
        ReceivedHead {
            length_is_ambiguous: self.framing.borrow_mut().next_is_ambiguous(),
            body_timeout: HEADER_TIMEOUT.saturating_sub(head_duration).max(MIN_BODY_TIMEOUT),
        }
    }

    /// Records that a request is complete.
    pub fn request_received(&self) {
        self.phase.set(RequestPhase::AwaitingResponse);
        self.has_completed_request.set(true);
    }

    /// Records that the response to the current request is finished.
    pub fn response_finished(&self) {
        let now = Instant::now();
        self.idle_since.set(now);
        let next_has_begun = self.received.pipelined.take();
        let phase = if next_has_begun { RequestPhase::Head { started: now } } else { RequestPhase::Idle };
        self.phase.set(phase);
    }

    /// Records that the client does not read: a write has to wait.
    pub fn write_blocked(&self) {
        let since = self.write_blocked_since.get().unwrap_or_else(Instant::now);
        self.write_blocked_since.set(Some(since));
    }

    /// Records that a write did not have to wait.
    pub fn write_progressed(&self) {
        self.write_blocked_since.set(None);
    }
}

/// The conditions by which the table closes and evicts connections.
impl ClientConnection {
    /// Whether it has a complete request without a finished response, and the client reads what is
    /// written.
    pub fn is_busy(&self) -> bool {
        self.awaits_response() && !self.is_write_timed_out()
    }

    /// Whether part of a request has arrived whose response is not finished.
    pub fn has_request_in_flight(&self) -> bool {
        self.is_receiving_head()
            || matches!(self.phase.get(), RequestPhase::Body | RequestPhase::AwaitingResponse)
    }

    /// Whether the timeout of the current phase has passed.
    pub fn is_timed_out(&self) -> bool {
        match self.phase.get() {
            RequestPhase::Idle => self.idle_since.get().elapsed() > KEEP_ALIVE_TIMEOUT,
            RequestPhase::Head { started } => started.elapsed() > HEADER_TIMEOUT,
            RequestPhase::Body | RequestPhase::AwaitingResponse => self.is_write_timed_out(),
        }
    }

    /// Whether it has been idle for long enough to be evicted.
    pub fn is_evictable_as_idle(&self) -> bool {
        self.phase.get() == RequestPhase::Idle && self.idle_since.get().elapsed() >= MIN_IDLE_BEFORE_EVICTION
    }

    /// Whether it has never completed a request, and received nothing for long enough to be evicted.
    pub fn is_evictable_as_silent(&self) -> bool {
        !self.has_completed_request.get() && self.received.silence() >= MIN_SILENCE_BEFORE_EVICTION
    }

    /// When the last response finished; at first, when the connection was accepted.
    pub fn idle_since(&self) -> Instant {
        self.idle_since.get()
    }

    /// When bytes last arrived; at first, when the connection was accepted.
    pub fn last_received(&self) -> Instant {
        self.received.last.get()
    }

    fn awaits_response(&self) -> bool {
        self.phase.get() == RequestPhase::AwaitingResponse
    }

    /// Whether part of a head has arrived.
    fn is_receiving_head(&self) -> bool {
        matches!(self.phase.get(), RequestPhase::Head { .. }) && self.received.any.get()
    }

    fn is_write_timed_out(&self) -> bool {
        self.write_blocked_since.get().is_some_and(|since| since.elapsed() > WRITE_TIMEOUT)
    }
}

/// Closing: requested by the table, carried out by the task that serves the connection.
impl ClientConnection {
    /// Requests that the connection is closed.
    pub fn request_close(&self) {
        self.close_request.request();
    }

    /// Whether the connection is to be closed because it was evicted or timed out.
    pub fn is_closing(&self) -> bool {
        self.close_request.is_requested()
    }

    /// Returns once the connection is to be closed. The close request is withdrawn if, since it was
    /// made, a request has arrived or its head is arriving.
    pub async fn close_requested(&self) {
        loop {
            self.close_request.requested().await;
            tokio::task::yield_now().await; // lets the connection read what has arrived
            if !self.is_busy() && !self.is_head_progressing() {
                return;
            }
            self.close_request.withdraw();
        }
    }

    /// Whether a head is arriving, its latest bytes recently, and has not timed out.
    fn is_head_progressing(&self) -> bool {
        let recently_received = self.received.silence() < MIN_SILENCE_BEFORE_EVICTION;
        self.is_receiving_head() && recently_received && !self.is_timed_out()
    }

    /// Returns once no head is arriving, as a close would cut it off.
    pub async fn between_requests(&self) {
        loop {
            tokio::task::yield_now().await; // lets the connection read what has arrived
            if !self.is_receiving_head() {
                return;
            }
            tokio::time::sleep(HEAD_POLL_INTERVAL).await;
        }
    }

    /// Drives `connection` until it ends, or until the client disconnects from a request.
    pub async fn serve_until_disconnect<T>(&self, connection: impl Future<Output = T>, stream: &TcpStream) {
        tokio::select! {
            biased;
            _ = connection => {} // how it ended does not matter: clients come and go
            () = self.client_disconnected(stream) => {}
        }
    }

    /// Returns once the client has disconnected while a response is owed to it. A client that shuts
    /// down its sending side counts as disconnected: whether it still reads can't be known. The HTTP
    /// library detects this too, but only after it has read everything that was sent before, and while
    /// a request awaits its response it reads neither pipelined requests nor the rest of the body.
    async fn client_disconnected(&self, stream: &TcpStream) {
        // Priority readiness signals only the end of the client's side, whatever is unread before it.
        let _ = stream.ready(Interest::PRIORITY).await;
        while !matches!(self.phase.get(), RequestPhase::Body | RequestPhase::AwaitingResponse) {
            self.head_complete.notified().await;
        }
    }
}
