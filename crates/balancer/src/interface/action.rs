//! The actions that a balancer requests from its caller.

use super::ids::{AttemptNumber, BackendId, RequestId, Time};

/// Identifies a timer. The caller returns the token as [`Event::Timer`](super::Event::Timer) when the timer
/// fires.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TimerToken(pub u64);

/// An action that a balancer requests from its caller.
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
        /// The time within which the attempt must have been written completely, in seconds from now. The
        /// caller must not complete the write of an attempt after that time.
        write_within: Time,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// The number of the attempt.
        attempt: AttemptNumber,
    },
    /// Abort an attempt unless its request has been written completely. An attempt whose request has been
    /// written completely continues.
    Withdraw {
        /// The request.
        id: RequestId,
        /// The number of the attempt.
        attempt: AttemptNumber,
    },
    /// Send the client a rejection as the final response. The client may retry safely: the request was not
    /// processed, or processing the request again has no effect.
    Reject {
        /// The request.
        id: RequestId,
        /// The time that the client should wait before a retry, in seconds; `None` if the response states no
        /// such time.
        retry_after: Option<Time>,
    },
    /// Send the client a failure as the final response. A backend may have processed the request.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Return `token` as [`Event::Timer`](super::Event::Timer) at the time `at` or soon after.
    SetTimer {
        /// The time, in seconds of the balancer's clock.
        at: Time,
        /// The token to return.
        token: TimerToken,
    },
    /// Check the health of a backend.
    HealthCheck(BackendId),
    /// Close the idle connections to a backend.
    CloseIdleConnections(BackendId),
    /// Poll the endpoint list for changes, and continue to watch the list.
    WatchEndpoints,
}
