//! The progress of the requests and responses of one client connection, and the timeouts that depend on the
//! progress. The table of connections reads the progress to decide which connections time out or are evicted.

use super::write_progress::WriteProgress;
use crate::upstream::sender_wait::SenderWait;
use std::cell::{Cell, RefCell};
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::time::Instant;

/// Longest time from the first byte of a request head to its end, and from the accept of a connection to the
/// end of its first head. Guards against clients that send nothing, stop half way, or never end the head.
const HEAD_TIMEOUT: Duration = Duration::from_millis(2400);
/// Least time that is allowed for a body. If its head left more time of [`HEAD_TIMEOUT`] unused, the body
/// is allowed that time instead.
const MIN_BODY_TIMEOUT: Duration = Duration::from_millis(400);
/// Time after which an idle connection is closed.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(75);
/// Time after which an idle connection may be evicted.
const MIN_IDLE_BEFORE_EVICTION: Duration = Duration::from_secs(2);
/// Time without bytes from the client after which a connection that has never completed a request may be
/// evicted.
const MIN_SILENCE_BEFORE_EVICTION: Duration = Duration::from_millis(500);

/// The phase of the current request of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestPhase {
    /// No byte of the next request has arrived.
    Idle,
    /// The head is arriving, or is expected because the connection has just been accepted.
    Head {
        /// The time at which the first byte arrived or the connection was accepted.
        started: Instant,
    },
    /// The body is arriving. The reader of the body enforces its timeout.
    Body,
    /// The request is complete, and the response is not finished.
    AwaitingResponse,
}

/// The record of the bytes that have arrived on a connection.
struct ReceivedBytes {
    /// Set once a byte has arrived.
    has_any: Cell<bool>,
    /// The time at which bytes last arrived; at first, the time at which the connection was accepted.
    last_received: Cell<Instant>,
    /// Set once bytes of the next request have arrived while the current one awaits its response.
    pipelined: Cell<bool>,
}

impl ReceivedBytes {
    fn new(now: Instant) -> Self {
        Self { has_any: Cell::new(false), last_received: Cell::new(now), pipelined: Cell::new(false) }
    }

    fn record(&self) {
        self.has_any.set(true);
        self.last_received.set(Instant::now());
    }

    fn silence(&self) -> Duration {
        self.last_received.get().elapsed()
    }
}

/// The progress of the requests and responses of one client connection.
pub(super) struct RequestProgress {
    phase: Cell<RequestPhase>,
    /// Set once a request has been received completely, or has got a response before its end was read.
    has_had_request: Cell<bool>,
    /// The time at which the last response finished; at first, the time at which the connection was
    /// accepted.
    idle_since: Cell<Instant>,
    received: ReceivedBytes,
    /// The record of since when the next bytes of the current body are awaited.
    sender_wait: SenderWait,
    /// The task that is to read the next request once the response to the current one is finished.
    next_reader: RefCell<Option<Waker>>,
    writes: WriteProgress,
}

/// Methods that record the events of requests and responses.
impl RequestProgress {
    /// Creates the progress of a connection that has just been accepted.
    pub(super) fn new() -> Self {
        let now = Instant::now();
        Self {
            phase: Cell::new(RequestPhase::Head { started: now }),
            has_had_request: Cell::new(false),
            idle_since: Cell::new(now),
            received: ReceivedBytes::new(now),
            sender_wait: SenderWait::default(),
            next_reader: RefCell::default(),
            writes: WriteProgress::default(),
        }
    }

    /// Records that bytes have arrived from the client.
    pub(super) fn record_bytes(&self) {
        self.received.record();
        match self.phase.get() {
            RequestPhase::Idle => self.phase.set(RequestPhase::Head { started: Instant::now() }),
            RequestPhase::AwaitingResponse => self.record_next_request(),
            RequestPhase::Head { .. } | RequestPhase::Body => {}
        }
    }

    /// Records that the head of a request is complete. Returns the time that the body may take, in addition
    /// to the time that its bytes take at the minimum rate.
    pub(super) fn complete_head(&self) -> Duration {
        let head_duration = match self.phase.replace(RequestPhase::Body) {
            RequestPhase::Head { started } => started.elapsed(),
            _ => Duration::ZERO,
        };
        HEAD_TIMEOUT.saturating_sub(head_duration).max(MIN_BODY_TIMEOUT)
    }

    /// Records that a request is complete.
    pub(super) fn complete_request(&self) {
        self.phase.set(RequestPhase::AwaitingResponse);
        self.has_had_request.set(true);
    }

    /// Records that bytes of the next request have arrived before the response to the current one is
    /// finished.
    pub(super) fn record_next_request(&self) {
        self.received.pipelined.set(true);
    }

    /// Records that the response to the current request is finished.
    pub(super) fn finish_response(&self) {
        let now = Instant::now();
        self.idle_since.set(now);
        self.has_had_request.set(true);
        let next_has_started = self.received.pipelined.take();
        let phase = if next_has_started { RequestPhase::Head { started: now } } else { RequestPhase::Idle };
        self.phase.set(phase);
        if let Some(reader) = self.next_reader.take() {
            reader.wake();
        }
    }

    /// Returns `Ready` if bytes may be read, which is not so while a complete request awaits its response.
    pub(super) fn poll_may_read(&self, cx: &Context<'_>) -> Poll<()> {
        if self.phase.get() != RequestPhase::AwaitingResponse {
            return Poll::Ready(());
        }
        self.next_reader.replace(Some(cx.waker().clone()));
        Poll::Pending
    }

    /// Returns the record of since when the next bytes of a body are awaited, for the receiver of the body.
    pub(super) fn sender_wait(&self) -> &SenderWait {
        &self.sender_wait
    }

    /// Returns the progress of the writes, to record it.
    pub(super) fn writes(&self) -> &WriteProgress {
        &self.writes
    }
}

/// Methods that return the conditions for closing or evicting a connection.
impl RequestProgress {
    /// Returns whether a request is complete, its response is not written to its end, and the write of the
    /// response has not timed out.
    fn is_busy(&self) -> bool {
        let has_response = self.phase.get() == RequestPhase::AwaitingResponse || self.writes.is_blocked();
        has_response && !self.writes.is_timed_out(Instant::now())
    }

    /// Returns whether the connection must stay open for its current request or response: a complete request,
    /// a body that is arriving or waits for its backend, a head that is arriving.
    pub(super) fn prevents_close(&self) -> bool {
        self.is_busy() || self.is_body_progressing() || self.is_head_progressing()
    }

    /// Returns whether a body is expected, and its client does not count as silent.
    fn is_body_progressing(&self) -> bool {
        self.phase.get() == RequestPhase::Body && !self.is_evictable_as_silent()
    }

    /// Returns whether the head of the current request is complete and its response is not finished.
    pub(super) fn is_response_due(&self) -> bool {
        matches!(self.phase.get(), RequestPhase::Body | RequestPhase::AwaitingResponse)
    }

    /// Returns whether a request has arrived, at least in part, and its response is not finished.
    pub(super) fn has_request_in_flight(&self) -> bool {
        self.is_receiving_head() || self.is_response_due()
    }

    /// Returns whether a request has arrived, at least in part, and its response is not written to its end.
    /// The HTTP library finishes a response once the library has all of its bytes, and writes the last ones
    /// when the client takes them.
    pub(super) fn is_in_use(&self) -> bool {
        self.has_request_in_flight() || self.writes.is_blocked()
    }

    /// Returns whether the next bytes of a body are awaited from the client.
    pub(super) fn is_body_awaited(&self) -> bool {
        self.phase.get() == RequestPhase::Body && self.sender_wait.is_waiting()
    }

    /// Returns whether the head of a request has arrived in part.
    pub(super) fn is_receiving_head(&self) -> bool {
        matches!(self.phase.get(), RequestPhase::Head { .. }) && self.received.has_any.get()
    }

    /// Returns whether a head is arriving, has received bytes recently, and has not timed out.
    fn is_head_progressing(&self) -> bool {
        let has_received_recently = self.received.silence() < MIN_SILENCE_BEFORE_EVICTION;
        self.is_receiving_head() && has_received_recently && !self.is_timed_out()
    }

    /// Returns whether the timeout of a blocked write has passed, or that of the current phase if no write is
    /// blocked.
    pub(super) fn is_timed_out(&self) -> bool {
        if self.writes.is_blocked() {
            return self.writes.is_timed_out(Instant::now());
        }
        match self.phase.get() {
            RequestPhase::Idle => self.idle_since.get().elapsed() > KEEP_ALIVE_TIMEOUT,
            RequestPhase::Head { started } => started.elapsed() > HEAD_TIMEOUT,
            RequestPhase::Body | RequestPhase::AwaitingResponse => false,
        }
    }

    /// Returns whether the connection has been idle for so long that it may be evicted.
    pub(super) fn is_evictable_as_idle(&self) -> bool {
        let is_idle = self.phase.get() == RequestPhase::Idle && !self.writes.is_blocked();
        is_idle && self.idle_since.get().elapsed() >= MIN_IDLE_BEFORE_EVICTION
    }

    /// Returns whether the connection has never had a request, and its client has sent no byte for so long
    /// that the connection may be evicted.
    pub(super) fn is_evictable_as_silent(&self) -> bool {
        !self.has_had_request.get() && self.client_silence() >= MIN_SILENCE_BEFORE_EVICTION
    }

    /// Returns for how long the client has sent no byte, as far as the proxy can tell. While no backend takes
    /// the next bytes of a body, the proxy reads nothing, and the client may have sent all of the request.
    fn client_silence(&self) -> Duration {
        match self.phase.get() {
            RequestPhase::Body => self.received.silence().min(self.sender_wait.duration()),
            RequestPhase::Idle | RequestPhase::Head { .. } | RequestPhase::AwaitingResponse => {
                self.received.silence()
            }
        }
    }

    /// Returns the time at which the last response finished; at first, the time at which the connection
    /// was accepted.
    pub(super) fn idle_since(&self) -> Instant {
        self.idle_since.get()
    }

    /// Returns the time at which bytes last arrived; at first, the time at which the connection was
    /// accepted.
    pub(super) fn last_received(&self) -> Instant {
        self.received.last_received.get()
    }
}

#[cfg(test)]
mod tests;
