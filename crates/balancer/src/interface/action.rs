//! What a balancer wants done.

use super::ids::{BackendId, RequestId, Time};

/// Identifies a timer: the caller sets it, and hands the token back when it is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TimerToken(pub u64);

/// What a balancer wants done.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// Send the next attempt of a request.
    Send {
        /// The request.
        id: RequestId,
        /// Where to.
        backend: BackendId,
        /// When to stop waiting, in seconds from now.
        timeout: Time,
        /// Until when it may still be written completely, in seconds from now; after that it must never be.
        write_within: Time,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// The attempt, by its number.
        attempt: usize,
    },
    /// See that an attempt which has not been written completely never is; leave one that has.
    Withdraw {
        /// The request.
        id: RequestId,
        /// The attempt, by its number.
        attempt: usize,
    },
    /// Final response: not processed, and harmless to try again.
    Reject {
        /// The request.
        id: RequestId,
        /// For how long the client should wait before it does, in seconds, if that is said.
        retry_after: Option<Time>,
    },
    /// Final response: failed; it may have run.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Hand back `token` at a time or soon after.
    SetTimer {
        /// When, in seconds of the balancer's clock.
        at: Time,
        /// What to hand back.
        token: TimerToken,
    },
    /// Check the health of a backend.
    HealthCheck(BackendId),
    /// Close the idle connections to a backend.
    CloseIdleConnections(BackendId),
    /// Poll for changes of the endpoint list, and go on watching it.
    WatchEndpoints,
}
