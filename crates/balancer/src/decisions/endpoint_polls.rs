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
/// The mean delay from the start of a rejected poll to the start of the next one, in seconds, after the first
/// rejection. Each further rejection doubles the delay, up to [`MAX_BACKOFF_AFTER_REJECTION`], until a list
/// arrives.
const MIN_BACKOFF_AFTER_REJECTION: Time = POLL_BACKOFF_AFTER_START;
/// The greatest mean delay from the start of a rejected poll to the start of the next one, in seconds. If all
/// balancers of a fleet poll again soon, an overloaded discovery spends its time on polls that it rejects.
/// With the random factor, a poll starts within the 6 s after which a change counts as notified.
const MAX_BACKOFF_AFTER_REJECTION: Time = 3.0;
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
    /// The mean delay after the latest rejection, in seconds; zero if no poll has been rejected since the
    /// latest list.
    rejection_backoff: Time,
}

impl Default for EndpointPolls {
    fn default() -> Self {
        Self { is_first_poll_scheduled: false, last_retry_at: Time::NEG_INFINITY, rejection_backoff: 0.0 }
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

    /// Records that a list has arrived.
    pub fn record_list(&mut self) {
        self.rejection_backoff = 0.0;
    }

    /// Returns the time of the poll that follows a failed poll, in seconds.
    pub fn schedule_retry(&mut self, now: Time, random: &mut SmallRng) -> Time {
        self.schedule_retry_with_backoff(POLL_BACKOFF_AFTER_START, now, random)
    }

    /// Returns the time of the poll that follows a rejected poll, in seconds.
    pub fn schedule_retry_after_rejection(&mut self, now: Time, random: &mut SmallRng) -> Time {
        let doubled = 2.0 * self.rejection_backoff;
        self.rejection_backoff = doubled.clamp(MIN_BACKOFF_AFTER_REJECTION, MAX_BACKOFF_AFTER_REJECTION);
        self.schedule_retry_with_backoff(self.rejection_backoff, now, random)
    }

    /// Returns the time of the next poll, in seconds. `backoff_after_start` is the mean delay from the start
    /// of the previous retry, in seconds.
    fn schedule_retry_with_backoff(
        &mut self,
        backoff_after_start: Time,
        now: Time,
        random: &mut SmallRng,
    ) -> Time {
        let jitter = MIN_BACKOFF_FRACTION + random.random::<f64>();
        let after_failure = now + POLL_BACKOFF_AFTER_FAILURE * jitter;
        let after_start = self.last_retry_at + backoff_after_start * jitter;
        self.last_retry_at = after_failure.max(after_start);
        self.last_retry_at
    }
}
