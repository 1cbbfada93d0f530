//! Counts of calls, attempts and endpoint messages in the window. `+=` adds the counts of another caller.

use std::ops::AddAssign;

/// Counts of one caller or of several callers together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counts {
    /// Counts of the calls.
    pub calls: CallCounts,
    /// Counts of the attempts.
    pub attempts: AttemptCounts,
    /// Counts of the messages from discovery.
    pub updates: UpdateCounts,
}

impl AddAssign for Counts {
    fn add_assign(&mut self, other: Self) {
        self.calls += other.calls;
        self.attempts += other.attempts;
        self.updates += other.updates;
    }
}

/// Numbers of calls by result.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CallCounts {
    /// Calls that were made.
    pub total: u64,
    /// Calls that got a response from a backend.
    pub succeeded: u64,
    /// Calls that were rejected: such a call has not run, and a retry is harmless.
    pub rejected: u64,
    /// Calls that failed.
    pub failed: u64,
    /// Calls that ended without any attempt, as no backend could be selected.
    pub without_attempt: u64,
    /// Calls that were rejected or failed while no backend in service was reachable.
    pub without_reachable_backend: u64,
    /// Calls that were open when the process of their own proxy stopped.
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

/// Numbers of attempts by the state of the backend.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AttemptCounts {
    /// Attempts that were sent.
    pub total: u64,
    /// Attempts to a backend that was down, or on the other side of a partition, when the attempt was
    /// sent.
    pub to_unavailable: u64,
    /// Attempts that were sent after the grace period, which begins when the proxy is notified that the
    /// backend is draining or removed.
    pub past_grace: u64,
    /// Attempts that were sent after the grace period, where a proxy counts as notified at the latest
    /// `deemed_notified` seconds after the publication.
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

/// Messages with endpoints that were received from discovery.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct UpdateCounts {
    /// Number of messages.
    pub messages: u64,
    /// Number of endpoints in the messages.
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
