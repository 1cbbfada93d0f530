//! Overload detection: compares the calls in flight with the number expected from the send rate and the
//! expected latency.

use crate::interface::Time;
use crate::support::DecayingMean;

/// The greatest excess threshold, in deviations. It applies while there is no lasting excess. An excess
/// below the threshold counts as random variation.
const MAX_EXCESS_THRESHOLD: f64 = 3.5;
/// The least excess threshold, in deviations. It applies under a large lasting excess.
const MIN_EXCESS_THRESHOLD: f64 = 0.5;
/// The least deviation, as a fraction of the expected number of calls. Otherwise a deviation is the square
/// root of the expected number, which is a small fraction of the number at a busy balancer.
const MIN_DEVIATION_FRACTION: f64 = 0.35;
/// The reduction of the excess threshold, in deviations, for each deviation of mean excess beyond
/// [`TOLERATED_MEAN_EXCESS`].
const EXCESS_THRESHOLD_REDUCTION: f64 = 4.0;
/// The mean excess up to which the excess threshold is not reduced, in deviations.
const TOLERATED_MEAN_EXCESS: f64 = 0.4;
/// The time constant of the mean excess, as a fraction of the time constant of the send rate.
const EXCESS_TIME_CONSTANT_FRACTION: f64 = 0.15;
/// The number of calls in flight at each backend up to which there is no overload, even if the number is
/// far above the expected one.
///
/// In a deployment with few balancers and few backends, an expected number of four calls soon doubles when a
/// backend stops, responses are invalid or a short burst arrives. If load is shed then, the excess lasts,
/// because rejected clients retry at once. A backend of the entry tier also has four to seven calls in
/// flight that mostly wait for the tiers below, although its responses are as fast as expected. With a limit
/// of 14, load is not shed in an overload. The limit of 9 does not protect backends that cannot hold nine
/// calls.
const MIN_CALLS_PER_BACKEND_FOR_OVERLOAD: f64 = 9.0;

/// The load of a balancer at one moment.
#[derive(Clone, Copy, Debug)]
pub(super) struct LoadSample {
    /// The number of calls in flight, without the calls at outliers.
    pub calls_in_flight: f64,
    /// The number of calls in flight that is expected from the send rate and the expected latency.
    pub expected_calls: f64,
    /// The estimated number of calls in flight at each healthy backend from all balancers, if every
    /// balancer has as many as this one.
    pub calls_per_backend: f64,
}

/// Detects overload from the excess of calls in flight over time.
#[derive(Debug)]
pub(super) struct OverloadDetector {
    /// The mean excess over the expected number of calls, in deviations.
    mean_excess: DecayingMean,
}

impl OverloadDetector {
    /// Returns a detector without recorded excess.
    pub fn starting_at(now: Time) -> Self {
        Self { mean_excess: DecayingMean::zero_at(now) }
    }

    /// Adds a sample and returns the overload level: 0 while the excess is below the excess threshold,
    /// rising to 1 at twice the threshold. A single excess may be random variation, but a lasting one is
    /// not, so the threshold falls as the mean excess rises.
    pub fn update(&mut self, sample: LoadSample, now: Time, rate_time_constant: Time) -> f64 {
        let expected = sample.expected_calls;
        let deviation = expected.max(1.0).sqrt().max(MIN_DEVIATION_FRACTION * expected);
        let excess = (sample.calls_in_flight - expected) / deviation;
        let time_constant = EXCESS_TIME_CONSTANT_FRACTION * rate_time_constant;
        let mean_excess = self.mean_excess.update(excess, now, time_constant);
        if sample.calls_per_backend <= MIN_CALLS_PER_BACKEND_FOR_OVERLOAD {
            return 0.0;
        }
        (excess / excess_threshold(mean_excess) - 1.0).clamp(0.0, 1.0)
    }
}

/// Returns the excess threshold in deviations. An excess up to the threshold counts as random variation.
fn excess_threshold(mean_excess: f64) -> f64 {
    let threshold = MAX_EXCESS_THRESHOLD - EXCESS_THRESHOLD_REDUCTION * (mean_excess - TOLERATED_MEAN_EXCESS);
    threshold.clamp(MIN_EXCESS_THRESHOLD, MAX_EXCESS_THRESHOLD)
}
