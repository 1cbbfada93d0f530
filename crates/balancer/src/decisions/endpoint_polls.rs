//! The schedule of polls of the endpoint list, if the list is polled rather than pushed.

use crate::interface::{Settings, Time};
use rand::Rng;
use rand::rngs::SmallRng;

/// The mean delay from a failed poll to the next one, in seconds. The next poll starts at the later of this
/// time and the time given by [`POLL_BACKOFF_AFTER_START`].
const POLL_BACKOFF_AFTER_FAILURE: Time = 0.25;
/// The mean delay from the start of the previous retry to the start of the next one, in seconds. 6 s after
/// discovery is available again, every change counts as notified, even if the next two polls take 2 s each
/// to fail.
const POLL_BACKOFF_AFTER_START: Time = 1.0;
/// The least delay as a fraction of the mean. Each delay is the mean times a uniform random factor between
/// this fraction and this fraction plus one. The random factor spreads the polls, because discovery may be
/// busy.
const MIN_BACKOFF_FRACTION: f64 = 0.5;
/// The period over which the first polls of balancers are spread, as a fraction of the longest interval
/// between polls. Balancers often start together.
const FIRST_POLL_SPREAD_FRACTION: f64 = 0.5;

/// The schedule of polls of the endpoint list.
#[derive(Debug)]
pub(super) struct EndpointPolls {
    is_first_poll_scheduled: bool,
    /// The start time of the latest poll scheduled after a failure, in seconds.
    last_retry_at: Time,
}

impl Default for EndpointPolls {
    fn default() -> Self {
        Self { is_first_poll_scheduled: false, last_retry_at: Time::NEG_INFINITY }
    }
}

impl EndpointPolls {
    /// Returns the time of the first poll, in seconds, or `None` if the first poll is already scheduled or
    /// the endpoint list is pushed.
    pub fn schedule_first(&mut self, now: Time, settings: &Settings, random: &mut SmallRng) -> Option<Time> {
        if !settings.must_poll_endpoints || self.is_first_poll_scheduled {
            return None;
        }
        self.is_first_poll_scheduled = true;
        let wait = random.random::<f64>() * FIRST_POLL_SPREAD_FRACTION * settings.endpoint_poll_limit;
        Some(now + wait)
    }

    /// Returns the time of the poll that follows a failed poll, in seconds.
    pub fn schedule_retry(&mut self, now: Time, random: &mut SmallRng) -> Time {
        let jitter = MIN_BACKOFF_FRACTION + random.random::<f64>();
        let after_failure = now + POLL_BACKOFF_AFTER_FAILURE * jitter;
        let after_start = self.last_retry_at + POLL_BACKOFF_AFTER_START * jitter;
        self.last_retry_at = after_failure.max(after_start);
        self.last_retry_at
    }
}
