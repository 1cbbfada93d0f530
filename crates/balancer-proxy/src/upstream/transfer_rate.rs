//! Detection of stalled senders, whose bodies arrive below a minimum transfer rate.

use std::time::Duration;
use tokio::time::Instant;

/// Minimum average transfer rate of a body beyond its base timeout, in bytes per second.
const MIN_TRANSFER_BYTES_PER_SECOND: f64 = 40e3;

/// Compares the time spent waiting for a body with the time that the received bytes may take. Time in which
/// no chunk is awaited, because the receiving side is slower, does not count.
pub(super) struct TransferRateMonitor {
    /// The time that the body may take in addition to the time for its bytes.
    base_timeout: Duration,
    /// The time since which the next chunk is awaited; `None` if no chunk is awaited.
    waiting_since: Option<Instant>,
    /// The sum of the waits for the chunks received so far.
    waited: Duration,
    /// The number of bytes received so far.
    received_bytes: usize,
}

impl TransferRateMonitor {
    /// Creates the monitor of a body that may take `base_timeout` in addition to the time for its bytes.
    pub(super) fn new(base_timeout: Duration) -> Self {
        Self { base_timeout, waiting_since: None, waited: Duration::ZERO, received_bytes: 0 }
    }

    /// Returns the number of bytes received.
    pub(super) fn received_bytes(&self) -> usize {
        self.received_bytes
    }

    /// Records that a chunk is awaited from now on. Does nothing if a chunk is already awaited.
    pub(super) fn start_waiting(&mut self) {
        self.waiting_since.get_or_insert_with(Instant::now);
    }

    /// Records that a chunk of this length has been received.
    pub(super) fn record_chunk(&mut self, bytes: usize) {
        self.waited += self.current_wait();
        self.waiting_since = None;
        self.received_bytes += bytes;
    }

    /// Returns whether the body has been awaited for longer than the sum of its base timeout and the time
    /// for the received bytes.
    pub(super) fn is_too_slow(&self) -> bool {
        self.waited + self.current_wait() > self.base_timeout + time_allowed_for(self.received_bytes)
    }

    fn current_wait(&self) -> Duration {
        self.waiting_since.map_or(Duration::ZERO, |since| since.elapsed())
    }
}

/// Returns the time that a body of this length may take at [`MIN_TRANSFER_BYTES_PER_SECOND`]. The conversion
/// is exact, because bodies are far shorter than 2^53 bytes.
fn time_allowed_for(bytes: usize) -> Duration {
    Duration::from_secs_f64(bytes as f64 / MIN_TRANSFER_BYTES_PER_SECOND)
}

#[cfg(test)]
mod tests;
