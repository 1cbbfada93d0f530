//! The progress of a client in taking the bytes that are written to it. A blocked write alone does not show
//! that the client has stopped reading: the system accepts no more bytes until a large fraction of its send
//! buffer is free, which a slow client may need longer for than it may stop reading. The bytes that the
//! client's system acknowledges meanwhile are progress.

use std::cell::Cell;
use std::time::Duration;
use tokio::time::Instant;

/// Time without progress after which the client is assumed not to read the rest of its response.
pub(super) const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// A write that waits until the system accepts more bytes.
#[derive(Clone, Copy)]
struct BlockedWrite {
    /// The number of bytes written before and not acknowledged, when last asked; `None` if the system has not
    /// reported the number.
    unacknowledged_bytes: Option<usize>,
    /// The time at which the write became blocked, or at which the number of bytes was last seen to change.
    last_progress: Instant,
}

/// The progress of a client in taking the bytes that are written to it.
#[derive(Default)]
pub(super) struct WriteProgress {
    /// The current write, if it is blocked.
    blocked: Cell<Option<BlockedWrite>>,
}

impl WriteProgress {
    /// Records that a write was not blocked.
    pub(super) fn record_write(&self) {
        self.blocked.set(None);
    }

    /// Records that a write is blocked while this number of bytes is unacknowledged at time `now`. Nothing is
    /// written until the write is no longer blocked, so that another number than before shows that the client
    /// takes bytes.
    pub(super) fn record_blocked_write(&self, unacknowledged_bytes: Option<usize>, now: Instant) {
        let unchanged =
            self.blocked.get().filter(|blocked| blocked.unacknowledged_bytes == unacknowledged_bytes);
        let last_progress = unchanged.map_or(now, |blocked| blocked.last_progress);
        self.blocked.set(Some(BlockedWrite { unacknowledged_bytes, last_progress }));
    }

    /// Returns whether a write is blocked, so that the last bytes of a response may wait to be written.
    pub(super) fn is_blocked(&self) -> bool {
        self.blocked.get().is_some()
    }

    /// Returns whether a write is blocked at time `now`, and has made no progress for so long that the client
    /// is assumed not to read the rest of its response.
    pub(super) fn is_timed_out(&self, now: Instant) -> bool {
        self.blocked.get().is_some_and(|blocked| now - blocked.last_progress > WRITE_TIMEOUT)
    }
}

#[cfg(test)]
mod tests;
