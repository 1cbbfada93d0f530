//! Overload detection: how far the calls in flight exceed the number that the send rate and the expected
//! latency explain.

use crate::interface::Time;
use crate::support::DecayingMean;

/// The deviations from the expected number of calls that count as chance at first.
const MAX_CHANCE_DEVIATIONS: f64 = 3.5;
/// The deviations that count as chance once the excess has lasted.
const MIN_CHANCE_DEVIATIONS: f64 = 0.5;
/// A deviation is the square root of the expected number of calls, or this fraction of the number if that
/// is more. At a busy balancer the square root is a small fraction of the number.
const MIN_DEVIATION_FRACTION: f64 = 0.35;
/// The deviations by which the bound of chance falls for each deviation of mean excess beyond
/// [`TOLERATED_MEAN_EXCESS`].
const CHANCE_REDUCTION: f64 = 4.0;
/// The mean excess, in deviations, up to which the bound of chance does not fall.
const TOLERATED_MEAN_EXCESS: f64 = 0.4;
/// The time constant of the mean excess, as a fraction of the time constant of the send rate.
const EXCESS_TIME_CONSTANT_FRACTION: f64 = 0.15;
/// The calls in flight at each backend up to which there is no overload, however far the number is beyond
/// the expected one.
///
/// Where few balancers face few backends, a backend that stops, invalid responses or a short burst soon
/// double an expected number of four. Load that is shed then comes back at once, as rejected clients
/// retry, and the excess lasts. An entry backend keeps a call in flight, mostly idle, while the tiers
/// below work on the call: four to seven at each backend were seen on days on which responses took no
/// longer than expected. With 14 in place of 9, overloads were not shed. Backends that cannot hold nine
/// calls are not protected.
const MIN_CALLS_PER_BACKEND_FOR_OVERLOAD: f64 = 9.0;

/// The load of a balancer at one moment.
#[derive(Clone, Copy, Debug)]
pub(super) struct LoadSample {
    /// Calls in flight, without those at outliers.
    pub calls_in_flight: f64,
    /// Calls in flight that the send rate and the expected latency explain.
    pub expected_calls: f64,
    /// Calls in flight at each healthy backend from all balancers, if all have as many as this one.
    pub calls_per_backend: f64,
}

/// The excess of calls in flight over time.
#[derive(Debug)]
pub(super) struct OverloadDetector {
    /// The mean excess, in deviations from the expected number.
    mean_excess: DecayingMean,
}

impl OverloadDetector {
    /// Returns a detector that has seen no excess.
    pub fn starting_at(now: Time) -> Self {
        Self { mean_excess: DecayingMean::zero_at(now) }
    }

    /// Adds a sample, and returns the overload level: 0 while the excess is within chance, rising to 1 at
    /// twice the bound of chance. An excess that is seen once may be chance, one that lasts is not: the
    /// bound falls as the mean excess rises.
    pub fn update(&mut self, sample: LoadSample, now: Time, rate_time_constant: Time) -> f64 {
        let expected = sample.expected_calls;
        let deviation = expected.max(1.0).sqrt().max(MIN_DEVIATION_FRACTION * expected);
        let excess = (sample.calls_in_flight - expected) / deviation;
        let time_constant = EXCESS_TIME_CONSTANT_FRACTION * rate_time_constant;
        let mean_excess = self.mean_excess.update(excess, now, time_constant);
        if sample.calls_per_backend <= MIN_CALLS_PER_BACKEND_FOR_OVERLOAD {
            return 0.0;
        }
        (excess / chance_bound(mean_excess) - 1.0).clamp(0.0, 1.0)
    }
}

/// Returns the deviations that count as chance.
fn chance_bound(mean_excess: f64) -> f64 {
    let bound = MAX_CHANCE_DEVIATIONS - CHANCE_REDUCTION * (mean_excess - TOLERATED_MEAN_EXCESS);
    bound.clamp(MIN_CHANCE_DEVIATIONS, MAX_CHANCE_DEVIATIONS)
}
