//! The pace of a body that is being received, by which a stalled sender is recognised.

use std::time::Duration;
use tokio::time::Instant;

/// Least average rate, in bytes per second, at which a body must arrive beyond its base timeout.
const MIN_TRANSFER_BYTES_PER_SECOND: f64 = 40e3;

/// The time spent waiting for a body, and the bytes received of the body. Time in which no chunk is
/// awaited, because the receiving side is slower, does not count.
pub(super) struct TransferRateMonitor {
    /// The time that the body is allowed in addition to that of its bytes.
    base_timeout: Duration,
    /// The time since which the next chunk is awaited, if one is awaited.
    waiting_since: Option<Instant>,
    /// The sum of the waits for the chunks received so far.
    waited: Duration,
    received_bytes: usize,
}

impl TransferRateMonitor {
    /// Creates the pace of a body that is allowed `base_timeout` in addition to the time of its bytes.
    pub(super) fn new(base_timeout: Duration) -> Self {
        Self { base_timeout, waiting_since: None, waited: Duration::ZERO, received_bytes: 0 }
    }

    /// Returns the number of bytes received.
    pub(super) fn received_bytes(&self) -> usize {
        self.received_bytes
    }

    /// Records that a chunk is awaited from now on, unless one was awaited already.
    pub(super) fn start_waiting(&mut self) {
        self.waiting_since.get_or_insert_with(Instant::now);
    }

    /// Records that a chunk of this length has been received.
    pub(super) fn record_chunk(&mut self, bytes: usize) {
        self.waited += self.current_wait();
        self.waiting_since = None;
        self.received_bytes += bytes;
    }

    /// Returns whether the body has been awaited for longer than its base timeout and the bytes received
    /// allow together.
    pub(super) fn is_too_slow(&self) -> bool {
        self.waited + self.current_wait() > self.base_timeout + time_allowed_for(self.received_bytes)
    }

    fn current_wait(&self) -> Duration {
        self.waiting_since.map_or(Duration::ZERO, |since| since.elapsed())
    }
}

/// Returns the time that a body of this length may take at [`MIN_TRANSFER_BYTES_PER_SECOND`]. The conversion is
/// exact, as bodies are far shorter than 2^53 bytes.
fn time_allowed_for(bytes: usize) -> Duration {
    Duration::from_secs_f64(bytes as f64 / MIN_TRANSFER_BYTES_PER_SECOND)
}

#[cfg(test)]
mod tests;
