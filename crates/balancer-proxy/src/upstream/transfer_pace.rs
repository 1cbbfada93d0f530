//! Whether a body arrives fast enough.

use std::time::Duration;
use tokio::time::Instant;

/// A body must arrive at this rate on average, in bytes per second, beyond the time that each
/// request is allowed in any case.
const MIN_BYTES_PER_SECOND: f64 = 40e3;

/// The time spent waiting for a body, and the bytes received of it. Time in which no chunk is awaited,
/// because the receiving side is slower, does not count.
pub struct TransferPace {
    /// The time that the body is allowed in addition to that of its bytes.
    base_timeout: Duration,
    /// Since when the next chunk is awaited, if it is.
    waiting_since: Option<Instant>,
    waited: Duration,
    received_bytes: usize,
}

impl TransferPace {
    /// The pace of a body that is allowed `base_timeout` in addition to the time of its bytes.
    #[must_use]
    pub fn new(base_timeout: Duration) -> Self {
        Self { base_timeout, waiting_since: None, waited: Duration::ZERO, received_bytes: 0 }
    }

    /// The bytes received.
    #[must_use]
    pub fn received_bytes(&self) -> usize {
        self.received_bytes
    }

    /// A chunk is awaited from now on, unless one already was.
    pub fn start_waiting(&mut self) {
        self.waiting_since.get_or_insert_with(Instant::now);
    }

    /// A chunk has been received.
    pub fn record_chunk(&mut self, bytes: usize) {
        self.waited += self.current_wait();
        self.waiting_since = None;
        self.received_bytes += bytes;
    }

    /// The body has been awaited for longer than what was received of it allows.
    #[must_use]
    pub fn is_too_slow(&self) -> bool {
        let allowed_for_bytes = Duration::from_secs_f64(self.received_bytes as f64 / MIN_BYTES_PER_SECOND);
        self.waited + self.current_wait() > self.base_timeout + allowed_for_bytes
    }

    fn current_wait(&self) -> Duration {
        self.waiting_since.map_or(Duration::ZERO, |since| since.elapsed())
    }
}
