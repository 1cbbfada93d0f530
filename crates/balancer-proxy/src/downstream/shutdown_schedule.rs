//! The times of a graceful shutdown: how long the proxy serves after SIGTERM, and when all responses
//! must be out.

use balancer::Time;
use std::time::Duration;
use tokio::time::Instant;

/// Upper bound on the longest deadline of a request, from which the time until SIGKILL is derived.
const MAX_DEADLINE_BEFORE_SIGKILL: Duration = Duration::from_secs(3);
/// Time from that deadline until SIGKILL.
const SIGKILL_MARGIN: Duration = Duration::from_millis(700);
/// Requests that arrive after SIGTERM get their responses this long before SIGKILL.
const RESPONSE_MARGIN: Duration = Duration::from_millis(200);
/// The part of the time from SIGTERM to SIGKILL in which clients are served as before, on open and on
/// new connections. Guards against a time without any proxy: in a rolling restart with 3.7 s to
/// SIGKILL, the front used the proxy restarted before only 2.2 s after the signal to the next one, and
/// until then the open connections are all that serves the clients. It may do harm where the time to
/// SIGKILL is much shorter than the operators state, as requests that arrive late are then lost.
const FULL_SERVICE_FRACTION: f64 = 0.65;
/// The longest time of full service where another process takes the new connections. Only the open
/// connections are left then, and each carries one more request at most. As a close could cross a
/// request, they stay open for use, but not for so long that the last request has no time left, nor
/// for longer than without the other process.
const MAX_SERVICE_BESIDE_SUCCESSOR: Duration = Duration::from_secs(1);

/// The times of a graceful shutdown.
#[derive(Clone, Copy, Debug)]
pub struct ShutdownSchedule {
    /// When all responses must be out.
    pub response_deadline: Instant,
    /// The time from SIGTERM to SIGKILL.
    kill_delay: Duration,
}

impl ShutdownSchedule {
    /// The schedule of a shutdown that begins now, with this longest deadline of a request in seconds.
    pub fn new(longest_deadline: Time) -> Self {
        let longest_deadline = Duration::try_from_secs_f64(longest_deadline)
            .unwrap_or(MAX_DEADLINE_BEFORE_SIGKILL)
            .min(MAX_DEADLINE_BEFORE_SIGKILL);
        let kill_delay = longest_deadline + SIGKILL_MARGIN;
        Self { response_deadline: Instant::now() + kill_delay - RESPONSE_MARGIN, kill_delay }
    }

    /// How long open and new connections are served as before.
    pub fn full_service(self) -> Duration {
        self.kill_delay.mul_f64(FULL_SERVICE_FRACTION)
    }

    /// How long open connections are served where another process takes the new ones.
    pub fn service_beside_successor(self) -> Duration {
        MAX_SERVICE_BESIDE_SUCCESSOR.min(self.full_service())
    }

    /// The time in seconds that is left until all responses must be out.
    pub fn time_left(self) -> Time {
        self.response_deadline.saturating_duration_since(Instant::now()).as_secs_f64()
    }
}
