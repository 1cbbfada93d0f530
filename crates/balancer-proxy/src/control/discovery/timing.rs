//! Timeouts and backoff of the calls to discovery.
//!
//! # The bound on the delay of a change
//!
//! The protocol counts a proxy as notified of a change 6 s after discovery had the change and could be
//! reached, whatever failed before. The worst case is a sequence of five steps: a call without a response,
//! made just before discovery can be reached again; a backoff; a call with half a response; another backoff;
//! and a call that succeeds.
//!
//! A call counts as failed, and is followed by another one, after at most its wait for a change plus its
//! response timeout with jitter, which include connecting:
//!
//! | call                               | longest time until it fails |
//! | ---------------------------------- | --------------------------- |
//! | after a success                    | 1 + 1.25 x 1 = 2.25 s       |
//! | after a failure                    | 0.1 + 1.25 x 1.5 = 1.98 s   |
//! | after a failure, if polled         | 0.1 + 2 = 2.1 s             |
//!
//! In the next table, "pushed" means that this module schedules the calls, and "polled" that the decision
//! module schedules the calls, with `POLL_BACKOFF_AFTER_FAILURE` and `POLL_BACKOFF_AFTER_START` of
//! `crates/balancer/src/decisions/endpoint_polls.rs`. "Generations restart" means that the successful
//! response shows that discovery has restarted its generation numbers, so that one more call fetches the
//! full list. A new address by SIGHUP has to be in effect within 4 s. The calls to a new address fetch the
//! full list, and discovery responds to them without waiting for a change. Such calls therefore fail after
//! 1.25 s and 1.88 s. All times are in seconds:
//!
//! | worst case                                   | first call + backoff + second call + backoff | sum  |
//! | -------------------------------------------- | -------------------------------------------- | ---- |
//! | pushed, after a success                      | 2.25 + 0.06 + 1.98 + 0.06                    | 4.35 |
//! | pushed, after failures                       | 1.98 + 0.06 + 1.98 + 0.06                    | 4.08 |
//! | pushed, after failures, generations restart  | 4.08 + 1.25                                  | 5.33 |
//! | polled, after a success                      | 2.25 + 0.38 + 2.1 + 0.38                     | 5.11 |
//! | polled, after failures                       | 2.1 + 0.38 + 2.1 + 0.38                      | 4.96 |
//! | polled, after a success, generations restart | 5.11 + 0.06                                  | 5.17 |
//! | new address by SIGHUP, pushed (of 4 s)       | 1.25 + 0.06 + 1.88 + 0.06                    | 3.25 |
//! | new address by SIGHUP, polled (of 4 s)       | 1.25 + 0.38 + 1.88 + 0.38                    | 3.89 |
//!
//! The bound does not hold for a polled discovery that rejects calls because more of them arrive than it can
//! serve. A call starts at most 4.5 s after one that was rejected (`MAX_BACKOFF_AFTER_REJECTION`).
//!
//! # Slow responses
//!
//! A sound discovery may take 2 s for a response after the wait that the call allows. The full list allows no
//! wait and may take 6 s, after which a change counts as notified in any case. Most timeouts above are
//! shorter, as a silent discovery has to be noticed early. A call therefore goes on after its timeout, for
//! up to [`MAX_FULL_LIST_TIME`] or [`MAX_CHANGES_TIME`], and its list is applied when the list arrives. The
//! calls that follow, and so the load on discovery, do not depend on that, except for the full list after a
//! restart of the generations.
//!
//! Slow responses meet the bounds after one call without a response, which is the first of the sum. The last
//! is the slow call itself, whose response tells a pending change without a wait:
//!
//! | worst case                                   | call + backoff + slow call | sum  |
//! | -------------------------------------------- | -------------------------- | ---- |
//! | pushed, after a success                      | 2.25 + 0.06 + 2            | 4.31 |
//! | pushed, after failures                       | 1.98 + 0.06 + 2            | 4.04 |
//! | polled, after a success                      | 2.25 + 0.38 + 2            | 4.63 |
//! | polled, after failures                       | 2.1 + 0.38 + 2             | 4.48 |
//! | new address by SIGHUP, pushed (of 4 s)       | 1.25 + 0.06 + 2            | 3.31 |
//! | new address by SIGHUP, polled (of 4 s)       | 1.25 + 0.38 + 2            | 3.63 |
//!
//! A slow response may show a restart of the generations, and a slow full list follows. The full list is
//! requested at once, also if the watch has made another call for changes in the meantime. Without a failed
//! call before, this takes at most 1 + 2 + 2 = 5 s; after a call that fails at once, 0.38 + 2.1 + 2 = 4.48 s.
//!
//! The bounds do not hold for a slow discovery if two calls in a row get no response, or if a call without a
//! response and a restart of the generations come together.
//!
//! # Load on discovery
//!
//! A discovery that rejects all calls gets one call a second from each proxy, or one every 3 s if it is
//! polled. A silent discovery gets a call every 1.6 s from each proxy, or every 2.35 s if it is polled. With
//! 5,500 proxies, the load is 5,500 or 1,830 calls a second in the first case, and some 3,400 or 2,340 in the
//! second. A silent discovery holds 1 or 2 of these calls of each proxy at the same time, and 3 at most just after
//! a success; from proxies that have no list from that discovery, up to 6.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cell::RefCell;
use std::time::Duration;
use tokio::time::Instant;

/// The longest durations of one call of the watch.
#[derive(Clone, Copy, Debug)]
pub(super) struct CallTiming {
    /// Longest wait of discovery for a change, before it responds without any.
    pub(super) max_change_wait: Duration,
    /// Longest time for the response in addition to `max_change_wait`, before jitter.
    pub(super) response_timeout: Duration,
}

/// Timing while calls succeed. The response timeout is short as the agent of discovery runs on the same
/// machine.
const TIMING_AFTER_SUCCESS: CallTiming =
    CallTiming { max_change_wait: Duration::from_secs(1), response_timeout: Duration::from_secs(1) };

/// Timing after a failure. The wait for a change is short, as the call shows whether discovery works
/// again, and as a call without a response must fail soon. The response timeout is longer than while
/// calls succeed, as the agent of discovery may be slow after a failure.
const TIMING_AFTER_FAILURE: CallTiming =
    CallTiming { max_change_wait: Duration::from_millis(100), response_timeout: Duration::from_millis(1500) };

/// Response timeout, without jitter, of a poll after a failure. A list that is polled comes from a discovery
/// that many proxies share. By the protocol a response may come 2 s after the end of the wait, and an
/// overloaded discovery may take that long to reject a call. A proxy that calls again before that adds to the
/// overload. The decision module spreads the polls of different proxies.
pub(super) const REPEATED_POLL_RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest time for the full list. A change counts as notified after this time, whether or not a response has
/// arrived.
pub(super) const MAX_FULL_LIST_TIME: Duration = Duration::from_secs(6);

/// Longest time for changes, in addition to the wait for a change: the 2 s of the protocol, and 0.2 s for the
/// network and for a process that is held up. A longer time would add connections to a silent discovery.
pub(super) const MAX_CHANGES_TIME: Duration = Duration::from_millis(2_200);

/// Response timeout, before jitter, of a call outside the watch.
pub(super) const SINGLE_CALL_TIMEOUT: Duration = TIMING_AFTER_FAILURE.response_timeout;

/// The outcome of the last call of the watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LastCall {
    /// The last call succeeded, or there was no call yet.
    Succeeded,
    /// The last call failed.
    Failed,
}

impl LastCall {
    /// Returns the timing of the next call.
    pub(super) fn next_timing(self) -> CallTiming {
        match self {
            Self::Succeeded => TIMING_AFTER_SUCCESS,
            Self::Failed => TIMING_AFTER_FAILURE,
        }
    }
}

/// Largest fraction by which timeouts and backoff are lengthened or shortened. Without jitter, all
/// proxies of a fleet would call at the same time after discovery had stopped responding to all of them.
const MAX_JITTER_FRACTION: f64 = 0.25;

/// Source of random factors for timeouts and backoff. Proxies with different seeds have different factors.
pub(super) struct Jitter {
    random: RefCell<SmallRng>,
}

impl Jitter {
    /// Creates a source whose factors depend on `seed` alone.
    pub(super) fn new(seed: u64) -> Self {
        Self { random: RefCell::new(SmallRng::seed_from_u64(seed)) }
    }

    /// Returns the duration multiplied by a random factor, which is uniformly distributed between
    /// `1 - MAX_JITTER_FRACTION` and `1 + MAX_JITTER_FRACTION`.
    pub(super) fn apply(&self, duration: Duration) -> Duration {
        let from_minus_one_to_one = 2.0 * self.random.borrow_mut().random::<f64>() - 1.0;
        duration.mul_f64(1.0 + MAX_JITTER_FRACTION * from_minus_one_to_one)
    }
}

/// Shortest time from the end of a failed call to the start of the next call, before jitter.
const MIN_BACKOFF: Duration = Duration::from_millis(50);
/// Longest interval from the start of a failed call to the start of the next call, before jitter. A call
/// that took longer than the interval is followed by the next one after [`MIN_BACKOFF`].
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// Exponential backoff between failed calls, unless the decision module schedules the calls.
///
/// An interval is measured from the start of the failed call, so that a call that took long to fail is
/// followed by the next one without a further delay. [`MIN_BACKOFF`] passes after each failure in any case.
pub(super) struct Backoff {
    /// Interval after the next failure, before jitter, from [`MIN_BACKOFF`] to [`MAX_BACKOFF`].
    interval: Duration,
}

impl Backoff {
    /// Creates a backoff with the shortest interval.
    pub(super) fn new() -> Self {
        Self { interval: MIN_BACKOFF }
    }

    /// Starts again from the shortest interval.
    pub(super) fn reset(&mut self) {
        self.interval = MIN_BACKOFF;
    }

    /// Returns the start time of the call after one that started at `call_start` and has failed just
    /// now. Doubles the interval for the next failure.
    pub(super) fn next_call_at(&mut self, call_start: Instant, jitter: &Jitter) -> Instant {
        let earliest = Instant::now() + jitter.apply(MIN_BACKOFF);
        let scheduled = call_start + jitter.apply(self.interval);
        self.interval = (2 * self.interval).min(MAX_BACKOFF);
        earliest.max(scheduled)
    }
}

#[cfg(test)]
mod tests;
