//! The schedule of a graceful shutdown: how long clients are served after SIGTERM, and the deadline of all
//! responses.

use balancer::Time;
use std::time::Duration;
use tokio::time::Instant;

/// Largest deadline of a request that the time to SIGKILL is derived from. A longer deadline counts as this
/// value.
const MAX_DEADLINE_BEFORE_SIGKILL: Duration = Duration::from_secs(3);
/// Time from the longest deadline of a request to SIGKILL.
const SIGKILL_MARGIN: Duration = Duration::from_millis(700);
/// Time from the deadline of all responses to SIGKILL.
const RESPONSE_MARGIN: Duration = Duration::from_millis(200);
/// Fraction of the time from SIGTERM to SIGKILL in which clients are served as before SIGTERM, on open and on
/// new connections. This time is long enough for clients to find proxies that were restarted earlier.
const FULL_SERVICE_FRACTION: f64 = 0.65;
/// Longest time for which open connections are served while another process accepts the new connections. In
/// this time, each open connection carries at most one more request. An immediate close could lose a request
/// that the client is just sending. A longer time would leave too little time for the last request.
const MAX_SERVICE_WITH_SUCCESSOR: Duration = Duration::from_secs(1);

/// The schedule of a graceful shutdown.
#[derive(Clone, Copy, Debug)]
pub(super) struct ShutdownSchedule {
    /// The time by which all responses must have been sent.
    pub(super) response_deadline: Instant,
    /// The time from SIGTERM to SIGKILL.
    kill_delay: Duration,
}

impl ShutdownSchedule {
    /// Creates the schedule of a shutdown that starts now. `longest_deadline` is the longest deadline of a
    /// request, in seconds.
    pub(super) fn new(longest_deadline: Time) -> Self {
        let longest_deadline = Duration::try_from_secs_f64(longest_deadline)
            .unwrap_or(MAX_DEADLINE_BEFORE_SIGKILL)
            .min(MAX_DEADLINE_BEFORE_SIGKILL);
        let kill_delay = longest_deadline + SIGKILL_MARGIN;
        Self { response_deadline: Instant::now() + kill_delay - RESPONSE_MARGIN, kill_delay }
    }

    /// Returns how long open and new connections are served as before SIGTERM.
    pub(super) fn full_service_duration(self) -> Duration {
        self.kill_delay.mul_f64(FULL_SERVICE_FRACTION)
    }

    /// Returns how long open connections are served while another process accepts the new connections.
    pub(super) fn service_duration_with_successor(self) -> Duration {
        MAX_SERVICE_WITH_SUCCESSOR.min(self.full_service_duration())
    }

    /// Returns the time in seconds that is left until the deadline of all responses.
    pub(super) fn time_left(self) -> Time {
        self.response_deadline.saturating_duration_since(Instant::now()).as_secs_f64()
    }
}

#[cfg(test)]
mod tests;
