//! Timeouts and backoff of the calls to discovery.
//!
//! # The bound that they keep
//!
//! The protocol deems a proxy notified of a change 6 s after discovery had it and could be reached,
//! whatever failed before. The worst case up to then is this chain: a call that gets no response, made
//! just before discovery returns; a backoff; a call that gets half a response; another backoff; and a
//! call that succeeds.
//!
//! A call fails after at most its wait for a change plus its response timeout, the latter with
//! jitter; connecting is included:
//!
//! | call                       | longest time until it fails |
//! | -------------------------- | --------------------------- |
//! | after a success            | 1 + 1.25 x 1 = 2.25 s       |
//! | after a failure            | 0.1 + 1.25 x 1.5 = 1.98 s   |
//!
//! "Pushed" means that this module decides when to call again, "polled" that the decision module does
//! (by `POLL_BACKOFF_AFTER_FAILURE` and `POLL_BACKOFF_AFTER_START` in `src/decisions/endpoints.rs`).
//! "Generations restart" means that the successful response shows that discovery has restarted its
//! generation numbers, so that one more call fetches the full list. A
//! new address by SIGHUP is to be in effect within 4 s; the calls there fetch the full list, for which
//! discovery does not wait, so that they fail after 1.25 s and 1.88 s. All in seconds:
//!
//! | worst case                                   | first call + backoff + second call + backoff | sum  |
//! | -------------------------------------------- | -------------------------------------------- | ---- |
//! | pushed, after a success                      | 2.25 + 0.06 + 1.98 + 0.06                    | 4.35 |
//! | pushed, after failures                       | 1.98 + 0.06 + 1.98 + 0.06                    | 4.08 |
//! | pushed, after failures, generations restart  | 4.08 + 1.25                                  | 5.33 |
//! | polled, after a success                      | 2.25 + 0.38 + 1.98 + 0.38                    | 4.99 |
//! | polled, after failures                       | 1.98 + 0.38 + 1.98 + 0.38                    | 4.72 |
//! | polled, after a success, generations restart | 4.99 + 0.06                                  | 5.05 |
//! | new address by SIGHUP, pushed (of 4 s)       | 1.25 + 0.06 + 1.88 + 0.06                    | 3.25 |
//! | new address by SIGHUP, polled (of 4 s)       | 1.25 + 0.38 + 1.88 + 0.38                    | 3.89 |
//!
//! # Load on discovery
//!
//! A discovery that rejects all calls gets one call a second from each proxy. A silent one gets a call
//! every 1.6 s, or every 1.85 s if it is polled. From 5,500 proxies that is 5,500 calls a second, and
//! some 3,000 to 3,400.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cell::RefCell;
use std::time::Duration;
use tokio::time::Instant;

/// How long one call of the watch may take.
#[derive(Clone, Copy, Debug)]
pub(super) struct CallTiming {
    /// How long discovery may hold the call back until there is a change.
    pub(super) max_change_wait: Duration,
    /// How much longer the response may take, before jitter.
    pub(super) response_timeout: Duration,
}

/// Timing while calls succeed. Discovery's agent is on the same machine.
const TIMING_AFTER_SUCCESS: CallTiming =
    CallTiming { max_change_wait: Duration::from_secs(1), response_timeout: Duration::from_secs(1) };

/// Timing after a failure. The call returns soon even without a change, as it is to show whether
/// discovery is back, and a call that gets no response must fail soon. The agent may be slow then.
const TIMING_AFTER_FAILURE: CallTiming =
    CallTiming { max_change_wait: Duration::from_millis(100), response_timeout: Duration::from_millis(1500) };

/// Response timeout, before jitter, of a call outside the watch.
pub(super) const SINGLE_CALL_TIMEOUT: Duration = TIMING_AFTER_FAILURE.response_timeout;

/// How the last call of the watch ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LastCall {
    /// It succeeded, or there was none yet.
    Succeeded,
    Failed,
}

impl LastCall {
    /// The timing of the next call.
    pub(super) fn next_timing(self) -> CallTiming {
        match self {
            Self::Succeeded => TIMING_AFTER_SUCCESS,
            Self::Failed => TIMING_AFTER_FAILURE,
        }
    }
}

/// Timeouts and backoff vary by this fraction in both directions, so that a fleet of proxies does not
/// return at the same moment to a discovery that fell silent for all of them.
const JITTER: f64 = 0.25;

/// Source of jitter, different for each proxy by its seed.
pub(super) struct Jitter(RefCell<SmallRng>);

impl Jitter {
    pub(super) fn new(seed: u64) -> Self {
        Self(RefCell::new(SmallRng::seed_from_u64(seed)))
    }

    /// The duration, multiplied by an even random factor between `1 - JITTER` and `1 + JITTER`.
    pub(super) fn apply(&self, duration: Duration) -> Duration {
        let from_minus_one_to_one = 2.0 * self.0.borrow_mut().random::<f64>() - 1.0;
        duration.mul_f64(1.0 + JITTER * from_minus_one_to_one)
    }
}

/// Shortest time from the end of a failed call to the start of the next.
const MIN_BACKOFF: Duration = Duration::from_millis(50);
/// Longest time from the start of a failed call to the start of the next, if it did not take longer.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// Exponential backoff between failed calls, where the decision module does not schedule them.
///
/// It counts from the start of the failed call, so that a call that took long to fail is not followed
/// by a further delay; only [`MIN_BACKOFF`] passes after each failure.
pub(super) struct Backoff {
    interval: Duration,
}

impl Backoff {
    pub(super) fn new() -> Self {
        Self { interval: MIN_BACKOFF }
    }

    /// Starts again from the shortest interval.
    pub(super) fn reset(&mut self) {
        self.interval = MIN_BACKOFF;
    }

    /// When to make the call after one that started at `call_start` and has failed just now. Doubles
    /// the interval for the next failure.
    pub(super) fn next_call_at(&mut self, call_start: Instant, jitter: &Jitter) -> Instant {
        let earliest = Instant::now() + jitter.apply(MIN_BACKOFF);
        let scheduled = call_start + jitter.apply(self.interval);
        self.interval = (2 * self.interval).min(MAX_BACKOFF);
        earliest.max(scheduled)
    }
}
