//! Retransmission control, after Hong, Huang and Yan, "Controlling Retransmission Rate For Mitigating SIP
//! Overload".
//!
//! Each call has retry timers with doubling intervals. When a timer fires and the call has failed or is
//! unanswered, the call is retried with probability p. Between two thresholds on the number of unanswered
//! calls, p falls from 1 to [`MIN_RETRY_PROBABILITY`]. The lower threshold is the number of calls sent in
//! one T1 at the average send rate; the upper one is [`THRESHOLD_RATIO`] times that (three times in the
//! paper). By Little's law, the number of unanswered calls divided by the send rate is the mean wait, so p
//! depends on the ratio of the mean wait to T1.

use crate::interface::Time;
use crate::support::LatencyEstimate;
use rand::Rng;
use rand::rngs::SmallRng;

/// The least probability of a retry, as in the paper. It is enough to recover from lost messages.
const MIN_RETRY_PROBABILITY: f64 = 0.1;
/// The ratio of the upper threshold to the lower one. It is less than the 3 of the paper, as a retry costs
/// a backend the work of a whole request.
const THRESHOLD_RATIO: f64 = 1.5;
/// The least value of the lower threshold, in calls. At a quiet balancer, where the send rate times T1 is
/// less than one call, a single waiting call would otherwise lower its own retry probability.
const MIN_LOWER_THRESHOLD: f64 = 1.0;
/// The difference between T1 and the mean latency, in mean deviations, as in the retransmission timer of
/// TCP.
const T1_MEAN_DEVIATIONS: f64 = 4.0;
/// The greatest T1, as a fraction of the time left, so that time remains for the response to a retry.
pub(super) const MAX_T1_FRACTION: f64 = 0.4;
/// The random jitter of T1 in either direction, as a fraction of T1. It keeps many balancers from retrying
/// failed calls at the same time.
const T1_JITTER_FRACTION: f64 = 0.1;

/// The retry timers of a call. The first one fires T1 after the dispatch, and each interval after that is
/// twice the previous one.
#[derive(Clone, Copy, Debug)]
pub(super) struct RetryTimer {
    /// The interval from the dispatch to the first timer, in seconds.
    t1: Time,
    /// The number of timers that have fired.
    fired_count: i32,
    /// Whether a further timer is set.
    is_set: bool,
}

impl RetryTimer {
    /// Returns the retry timers of a call with this T1 in seconds; none is set yet.
    pub fn new(t1: Time) -> Self {
        Self { t1, fired_count: 0, is_set: false }
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

    /// Returns whether exactly one timer has fired.
    pub fn has_fired_once(&self) -> bool {
        self.fired_count == 1
    }

    /// Records that a timer has fired.
    pub fn record_firing(&mut self) {
        self.fired_count += 1;
    }

    /// Returns the time of the next timer, in seconds and with jitter, for a call dispatched at
    /// `dispatched_at`.
    pub fn next_time(&self, dispatched_at: Time, random: &mut SmallRng) -> Time {
        let jitter = 1.0 + T1_JITTER_FRACTION * (2.0 * random.random::<f64>() - 1.0);
        dispatched_at + self.t1 * jitter * (2f64.powi(self.fired_count + 1) - 1.0)
    }

    /// Records whether a further timer is set.
    pub fn record_schedule(&mut self, is_set: bool) {
        self.is_set = is_set;
    }
}

/// Returns T1 in seconds for a call with this latency estimate and `time_left` seconds until its deadline.
/// T1 exceeds the expected latency, but leaves time for a retry, and is at least `clock_resolution`
/// seconds.
pub(super) fn first_interval(latency: &LatencyEstimate, time_left: Time, clock_resolution: Time) -> Time {
    let max_t1 = MAX_T1_FRACTION * time_left;
    if latency.samples() <= 0.0 {
        return max_t1.max(clock_resolution);
    }
    let t1_from_latency = latency.mean() + T1_MEAN_DEVIATIONS * latency.deviation();
    t1_from_latency.min(max_t1).max(clock_resolution)
}

/// Returns the probability of a retry: the probability p of the paper, from the unanswered calls and the
/// average rate of original sends, reduced in proportion to the overload level. The result is never below
/// [`MIN_RETRY_PROBABILITY`].
pub(super) fn retry_probability(
    t1: Time,
    unanswered: usize,
    sends_per_second: f64,
    overload_level: f64,
) -> f64 {
    let lower_threshold = (sends_per_second * t1).max(MIN_LOWER_THRESHOLD);
    let upper_threshold = THRESHOLD_RATIO * lower_threshold;
    let excess =
        ((unanswered as f64 - lower_threshold) / (upper_threshold - lower_threshold)).clamp(0.0, 1.0);
    let probability = 1.0 - (1.0 - MIN_RETRY_PROBABILITY) * excess;
    (probability * (1.0 - overload_level)).max(MIN_RETRY_PROBABILITY)
}
