//! The times at which the endpoint list is polled, where it has to be.

use crate::interface::{Settings, Time};
use rand::Rng;
use rand::rngs::SmallRng;

/// The mean wait from a failed poll to the next one, in seconds. The later of this time and that of
/// [`POLL_BACKOFF_AFTER_START`] holds.
const POLL_BACKOFF_AFTER_FAILURE: Time = 0.25;
/// The mean wait from the start of the previous retry to the next one, in seconds. 6 s after discovery
/// returns, every change counts as notified, also where two polls take 2 s each to fail after the return.
const POLL_BACKOFF_AFTER_START: Time = 1.0;
/// The least wait as a fraction of the mean. Waits are spread evenly from this fraction to this fraction
/// plus one, as discovery may be busy.
const MIN_BACKOFF_FRACTION: f64 = 0.5;
/// The time over which the first polls of balancers are spread, as a fraction of the longest interval
/// between polls. Balancers often start together.
const FIRST_POLL_SPREAD_FRACTION: f64 = 0.5;

/// The schedule of polls.
#[derive(Debug)]
pub(super) struct EndpointPolls {
    is_first_scheduled: bool,
    /// The time at which the latest poll that follows a failure starts, in seconds.
    last_retry_at: Time,
}

impl Default for EndpointPolls {
    fn default() -> Self {
        Self { is_first_scheduled: false, last_retry_at: Time::NEG_INFINITY }
    }
}

impl EndpointPolls {
    /// Returns the time of the first poll, in seconds, unless the poll has been scheduled already or the
    /// list is pushed.
    pub fn schedule_first(&mut self, now: Time, settings: &Settings, random: &mut SmallRng) -> Option<Time> {
        if !settings.must_poll_endpoints || self.is_first_scheduled {
            return None;
        }
        self.is_first_scheduled = true;
        let wait = random.random::<f64>() * FIRST_POLL_SPREAD_FRACTION * settings.endpoint_poll_limit;
        Some(now + wait)
    }

    /// Returns the time of the poll that follows a failed one, in seconds.
    pub fn schedule_retry(&mut self, now: Time, random: &mut SmallRng) -> Time {
        let spread = MIN_BACKOFF_FRACTION + random.random::<f64>();
        let after_failure = now + POLL_BACKOFF_AFTER_FAILURE * spread;
        let after_start = self.last_retry_at + POLL_BACKOFF_AFTER_START * spread;
        self.last_retry_at = after_failure.max(after_start);
        self.last_retry_at
    }
}
