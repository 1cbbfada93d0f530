//! Retransmission control, after Hong, Huang and Yan, "Controlling Retransmission Rate For Mitigating SIP
//! Overload".
//!
//! A call that has failed or is unanswered when one of its doubling timers fires is retried with
//! probability p. That probability falls as the number of unanswered calls rises from one T1's worth of
//! the average send rate to [`THRESHOLD_RATIO`] times that (the paper: three). By Little's law the number
//! of unanswered calls over the send rate is the mean wait, so that p compares the mean wait with T1.

use crate::interface::Time;
use crate::support::LatencyEstimate;
use rand::Rng;
use rand::rngs::SmallRng;

/// The least probability of a retry, as in the paper: enough to recover from lost messages.
const MIN_RETRY_PROBABILITY: f64 = 0.1;
/// The ratio of the thresholds between which the probability falls. Less than the paper's 3, as a retry
/// costs a backend the work of a whole request.
const THRESHOLD_RATIO: f64 = 1.5;
/// The least lower threshold, in calls. At a quiet balancer, where rate times T1 is under one, a single
/// waiting call would otherwise lower its own probability.
const MIN_LOWER_THRESHOLD: f64 = 1.0;
/// The mean deviations by which T1 exceeds the mean latency, as in the retransmission timer of TCP.
const T1_DEVIATIONS: f64 = 4.0;
/// The greatest T1, as a fraction of the time left, which leaves time for the response to a retry.
pub(super) const MAX_T1_FRACTION: f64 = 0.4;
/// The fraction by which T1 is spread at random, so that the failed calls of many balancers are not
/// retried at the same time.
const T1_JITTER_FRACTION: f64 = 0.1;

/// The doubling timers of a call: the first fires T1 after the dispatch, the next ones 2 T1 and 4 T1
/// after the one before.
#[derive(Clone, Copy, Debug)]
pub(super) struct RetryTimer {
    /// The first interval, in seconds.
    t1: Time,
    /// The number of timers that have fired.
    fired: i32,
    is_set: bool,
}

impl RetryTimer {
    /// Returns the timers of a call with this T1, none of which is set.
    pub fn new(t1: Time) -> Self {
        Self { t1, fired: 0, is_set: false }
    }

    /// Returns T1 in seconds.
    pub fn t1(&self) -> Time {
        self.t1
    }

    /// Sets T1 in seconds.
    pub fn set_t1(&mut self, t1: Time) {
        self.t1 = t1;
    }

    /// Returns whether a further timer is set.
    pub fn is_set(&self) -> bool {
        self.is_set
    }

    /// Returns whether the first timer is the latest that has fired.
    pub fn has_fired_once(&self) -> bool {
        self.fired == 1
    }

    /// Records that a timer has fired.
    pub fn record_firing(&mut self) {
        self.fired += 1;
    }

    /// Returns the time of the next timer, in seconds, for a call that was dispatched at `dispatched_at`.
    /// One draw spreads the time.
    pub fn next_time(&self, dispatched_at: Time, random: &mut SmallRng) -> Time {
        let jitter = 1.0 + T1_JITTER_FRACTION * (2.0 * random.random::<f64>() - 1.0);
        dispatched_at + self.t1 * jitter * (2f64.powi(self.fired + 1) - 1.0)
    }

    /// Records whether a further timer is set.
    pub fn record_schedule(&mut self, is_set: bool) {
        self.is_set = is_set;
    }
}

/// Returns T1 in seconds for a call of a class with this latency estimate: above the expected latency,
/// and with time for a retry within `time_left` seconds. T1 is not shorter than `quantum`, the resolution
/// of timers.
pub(super) fn first_interval(latency: &LatencyEstimate, time_left: Time, quantum: Time) -> Time {
    let longest = MAX_T1_FRACTION * time_left;
    if latency.samples() <= 0.0 {
        return longest.max(quantum);
    }
    let observed = latency.mean() + T1_DEVIATIONS * latency.deviation();
    observed.min(longest).max(quantum)
}

/// Returns the probability of a retry: the paper's p from the unanswered calls and the average rate of
/// original sends, lowered by the overload level.
pub(super) fn retry_probability(
    t1: Time,
    unanswered: usize,
    sends_per_second: f64,
    overload_level: f64,
) -> f64 {
    let lower = (sends_per_second * t1).max(MIN_LOWER_THRESHOLD);
    let upper = THRESHOLD_RATIO * lower;
    let excess = ((unanswered as f64 - lower) / (upper - lower)).clamp(0.0, 1.0);
    let probability = 1.0 - (1.0 - MIN_RETRY_PROBABILITY) * excess;
    (probability * (1.0 - overload_level)).max(MIN_RETRY_PROBABILITY)
}
