//! The times of a graceful shutdown: the duration of service after SIGTERM, and the deadline of all
//! responses.

use balancer::Time;
use std::time::Duration;
use tokio::time::Instant;

/// Upper bound on the longest deadline of a request, from which the time to SIGKILL is derived.
const MAX_DEADLINE_BEFORE_SIGKILL: Duration = Duration::from_secs(3);
/// Time from the longest deadline of a request to SIGKILL.
const SIGKILL_MARGIN: Duration = Duration::from_millis(700);
/// Time from the deadline of all responses to SIGKILL.
const RESPONSE_MARGIN: Duration = Duration::from_millis(200);
/// Fraction of the time from SIGTERM to SIGKILL in which clients are served as before, on open and on new
/// connections: long enough for clients to find the proxies that were restarted before.
const FULL_SERVICE_FRACTION: f64 = 0.65;
/// Longest time of service where another process accepts the new connections. The open connections are
/// then still served, and each of them carries one more request at most. A close could cross a request,
/// so that the connections stay open for use, but not for so long that the last request has no time
/// left.
const MAX_SERVICE_BESIDE_SUCCESSOR: Duration = Duration::from_secs(1);

/// The times of a graceful shutdown.
#[derive(Clone, Copy, Debug)]
pub(super) struct ShutdownSchedule {
    /// The time by which all responses must have been sent.
    pub(super) response_deadline: Instant,
    /// The time from SIGTERM to SIGKILL.
    kill_delay: Duration,
}

impl ShutdownSchedule {
    /// Creates the schedule of a shutdown that starts now, with this longest deadline of a request in
    /// seconds.
    pub(super) fn new(longest_deadline: Time) -> Self {
        let longest_deadline = Duration::try_from_secs_f64(longest_deadline)
            .unwrap_or(MAX_DEADLINE_BEFORE_SIGKILL)
            .min(MAX_DEADLINE_BEFORE_SIGKILL);
        let kill_delay = longest_deadline + SIGKILL_MARGIN;
        Self { response_deadline: Instant::now() + kill_delay - RESPONSE_MARGIN, kill_delay }
    }

    /// Returns the time for which open and new connections are served as before.
    pub(super) fn full_service(self) -> Duration {
        self.kill_delay.mul_f64(FULL_SERVICE_FRACTION)
    }

    /// Returns the time for which open connections are served where another process accepts the new ones.
    pub(super) fn service_beside_successor(self) -> Duration {
        MAX_SERVICE_BESIDE_SUCCESSOR.min(self.full_service())
    }

    /// Returns the time in seconds that is left until the deadline of all responses.
    pub(super) fn time_left(self) -> Time {
        self.response_deadline.saturating_duration_since(Instant::now()).as_secs_f64()
    }
}

#[cfg(test)]
mod tests;
