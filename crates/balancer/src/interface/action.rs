//! The actions that a balancer asks of its caller.

use super::ids::{AttemptNumber, BackendId, RequestId, Time};

/// Identifies a timer. The caller sets the timer, and hands the token back when the time has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TimerToken(pub u64);

/// An action that a balancer asks of its caller.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// Send the next attempt of a request.
    Send {
        /// The request.
        id: RequestId,
        /// The backend to send the attempt to.
        backend: BackendId,
        /// The time after which to stop waiting for a response, in seconds from now; infinite while the
        /// body of the request is being received.
        timeout: Time,
        /// The time within which the attempt must have been written completely, in seconds from now. An
        /// attempt that has not been written by then must never be.
        write_within: Time,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// The number of the attempt.
        attempt: AttemptNumber,
    },
    /// Make sure that an attempt which has not been written completely never is. An attempt that has been
    /// written stays as it is.
    Withdraw {
        /// The request.
        id: RequestId,
        /// The number of the attempt.
        attempt: AttemptNumber,
    },
    /// Give the final response to a request that was not processed, or whose repetition has no effect.
    Reject {
        /// The request.
        id: RequestId,
        /// The time that the client should wait before a retry, in seconds, if the response states one.
        retry_after: Option<Time>,
    },
    /// Give the final response to a request that failed, and that a backend may have processed.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Hand back `token` at a time or soon after, as [`Event::Timer`](super::Event::Timer).
    SetTimer {
        /// The time, in seconds of the balancer's clock.
        at: Time,
        /// The token to hand back.
        token: TimerToken,
    },
    /// Check the health of a backend.
    HealthCheck(BackendId),
    /// Close the idle connections to a backend.
    CloseIdleConnections(BackendId),
    /// Poll for changes of the endpoint list, and go on watching it.
    WatchEndpoints,
}
