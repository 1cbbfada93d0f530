//! Counts of the callers from the start of the window on. `+=` adds the counts of several callers.

use std::ops::AddAssign;

/// Counts of one or of several callers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counts {
    /// Calls.
    pub calls: CallCounts,
    /// Attempts.
    pub attempts: AttemptCounts,
    /// Messages of the endpoint list.
    pub updates: UpdateCounts,
}

impl AddAssign for Counts {
    fn add_assign(&mut self, other: Self) {
        self.calls += other.calls;
        self.attempts += other.attempts;
        self.updates += other.updates;
    }
}

/// Calls by their result.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CallCounts {
    /// Calls made.
    pub total: u64,
    /// Calls with a response of a backend.
    pub succeeded: u64,
    /// Calls that were rejected: not run, harmless to retry.
    pub rejected: u64,
    /// Calls that failed.
    pub failed: u64,
    /// Calls that ended without any attempt, for lack of a backend to select.
    pub without_attempt: u64,
    /// Calls that were rejected or failed while no backend in service was reachable.
    pub without_reachable_backend: u64,
    /// Calls without a final response when the machine of their own proxy went down.
    pub lost: u64,
}

impl AddAssign for CallCounts {
    fn add_assign(&mut self, other: Self) {
        self.total += other.total;
        self.succeeded += other.succeeded;
        self.rejected += other.rejected;
        self.failed += other.failed;
        self.without_attempt += other.without_attempt;
        self.without_reachable_backend += other.without_reachable_backend;
        self.lost += other.lost;
    }
}

/// Attempts by the state of their backend.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AttemptCounts {
    /// Attempts sent.
    pub total: u64,
    /// Attempts to a backend that was down by then, or on the other side of a partition.
    pub to_unavailable: u64,
    /// Attempts later than the grace period after the proxy was notified that the backend is draining or
    /// removed.
    pub past_grace: u64,
    /// Attempts later than the grace period, where a proxy also counts as notified after
    /// `deemed_notified`.
    pub past_deemed_grace: u64,
}

impl AddAssign for AttemptCounts {
    fn add_assign(&mut self, other: Self) {
        self.total += other.total;
        self.to_unavailable += other.to_unavailable;
        self.past_grace += other.past_grace;
        self.past_deemed_grace += other.past_deemed_grace;
    }
}

/// Messages of the endpoint list that were received.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct UpdateCounts {
    /// Messages.
    pub messages: u64,
    /// Endpoints in the messages.
    pub endpoints: u64,
    /// Size of the messages, in bytes.
    pub bytes: u64,
}

impl AddAssign for UpdateCounts {
    fn add_assign(&mut self, other: Self) {
        self.messages += other.messages;
        self.endpoints += other.endpoints;
        self.bytes += other.bytes;
    }
}
