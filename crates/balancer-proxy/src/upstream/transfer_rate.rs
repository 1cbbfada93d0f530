//! Detection of stalled senders, whose bodies arrive below a minimum transfer rate, and of bodies that are
//! not received because the receiving side is stalled.

use super::sender_wait::SenderWait;
use std::collections::VecDeque;
use std::time::Duration;
use tokio::time::Instant;

/// Minimum average transfer rate of a body beyond its base timeout, in bytes per second.
const MIN_TRANSFER_BYTES_PER_SECOND: f64 = 40e3;

/// Largest number of bytes that a client may have written and the proxy not read, in the send buffer of the
/// client and the receive buffer of the proxy. These are the largest buffers that Linux grants by default, of
/// 4 MiB and 6 MiB.
const MAX_SOCKET_BUFFER_BYTES: usize = 10 << 20;

/// Least wait for a chunk after which the chunk counts as sent during the wait. After a shorter wait, the
/// chunk may have been in the send buffer of the client, which is transmitted once the proxy has read what
/// arrived before.
const MIN_WAIT_FOR_SENT_CHUNK: Duration = Duration::from_millis(50);
/// Least gap that is recorded, which bounds the number of recorded gaps.
const MIN_RECORDED_GAP: Duration = Duration::from_millis(50);

/// A time in which no chunk was received although none was awaited from the sender.
struct Gap {
    duration: Duration,
    /// The number of bytes received before the gap.
    received_bytes: usize,
}

impl Gap {
    /// Returns whether the last byte of the body may have been sent before the end of the gap, if
    /// `received_bytes` have been received up to now. More bytes than socket buffers hold were not all sent
    /// by then.
    fn may_follow_last_byte(&self, received_bytes: usize) -> bool {
        received_bytes - self.received_bytes <= MAX_SOCKET_BUFFER_BYTES
    }
}

/// Compares the time spent waiting for a body with the time that the received bytes may take. Time in which
/// no chunk is awaited, because the receiving side is slower, does not count.
pub(super) struct TransferRateMonitor {
    /// The time that the body may take in addition to the time for its bytes.
    base_timeout: Duration,
    /// Since when the next chunk is awaited.
    sender_wait: SenderWait,
    /// The time at which the last chunk was received; at first, the time of the creation.
    last_received_at: Instant,
    /// The gaps before the end of which the last byte may have been sent, in their order.
    gaps: VecDeque<Gap>,
    /// The sum of the waits for the chunks received so far.
    waited: Duration,
    /// The number of bytes received so far.
    received_bytes: usize,
}

impl TransferRateMonitor {
    /// Creates the monitor of a body that may take `base_timeout` in addition to the time for its bytes. The
    /// monitor records in `sender_wait` since when the next chunk is awaited.
    pub(super) fn new(base_timeout: Duration, sender_wait: SenderWait) -> Self {
        sender_wait.end();
        Self {
            base_timeout,
            sender_wait,
            last_received_at: Instant::now(),
            gaps: VecDeque::new(),
            waited: Duration::ZERO,
            received_bytes: 0,
        }
    }

    /// Returns the number of bytes received.
    pub(super) fn received_bytes(&self) -> usize {
        self.received_bytes
    }

    /// Records that a chunk is awaited from now on. Does nothing if a chunk is already awaited.
    pub(super) fn start_waiting(&mut self) {
        self.sender_wait.start();
    }

    /// Records that a chunk of this length, or the end of the body, has been received.
    pub(super) fn record_chunk(&mut self, bytes: usize) {
        self.record_gap();
        self.waited += self.sender_wait.duration();
        self.sender_wait.end();
        self.last_received_at = Instant::now();
        self.received_bytes += bytes;
        self.remove_outdated_gaps();
    }

    /// Returns whether the body has been awaited for longer than the sum of its base timeout and the time
    /// for the received bytes.
    pub(super) fn is_too_slow(&self) -> bool {
        self.waited + self.sender_wait.duration() > self.base_timeout + time_allowed_for(self.received_bytes)
    }

    /// Returns for how long the receiving side may have delayed the last byte after the sender had sent it:
    /// the sum of the gaps since the sender was last awaited, and of the time since the last chunk. Returns
    /// zero while the sender is awaited.
    pub(super) fn time_unreceived(&self) -> Duration {
        if self.is_sender_awaited() { Duration::ZERO } else { self.recorded_gaps() + self.current_gap() }
    }

    /// Returns the sum of the gaps before the end of which the last byte may have been sent.
    pub(super) fn recorded_gaps(&self) -> Duration {
        self.gaps.iter().map(|gap| gap.duration).sum()
    }

    /// Records the gap that ends with a chunk. The last byte of the body was not sent before a chunk that was
    /// sent just now.
    fn record_gap(&mut self) {
        if self.is_sender_awaited() {
            self.gaps.clear();
        }
        let duration = self.current_gap();
        if duration >= MIN_RECORDED_GAP {
            self.gaps.push_back(Gap { duration, received_bytes: self.received_bytes });
        }
    }

    /// Returns whether a chunk is awaited that the sender has not sent.
    fn is_sender_awaited(&self) -> bool {
        self.sender_wait.duration() >= MIN_WAIT_FOR_SENT_CHUNK
    }

    fn remove_outdated_gaps(&mut self) {
        while self.gaps.front().is_some_and(|gap| !gap.may_follow_last_byte(self.received_bytes)) {
            self.gaps.pop_front();
        }
    }

    /// Returns the time since the last chunk, or zero while a chunk is awaited.
    fn current_gap(&self) -> Duration {
        if self.sender_wait.is_waiting() { Duration::ZERO } else { self.last_received_at.elapsed() }
    }
}

/// Returns the time that a body of this length may take at [`MIN_TRANSFER_BYTES_PER_SECOND`]. The conversion
/// is exact, because bodies are far shorter than 2^53 bytes.
fn time_allowed_for(bytes: usize) -> Duration {
    Duration::from_secs_f64(bytes as f64 / MIN_TRANSFER_BYTES_PER_SECOND)
}

#[cfg(test)]
mod tests;
