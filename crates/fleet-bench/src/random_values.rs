//! Seeds and random arrival times that several commands share.

use rand::Rng;
use std::time::Duration;

/// Multiplier that separates the derived seeds of adjacent seeds of a run.
const SEED_MULTIPLIER: u64 = 0x9e37_79b9;

/// Derives the seed of a numbered component of a run from the seed of the run. The fleet simulation derives
/// the seeds of its random streams with `fleet::random::derive_stream_seed`.
#[must_use]
pub fn derive_component_seed(seed: u64, component_number: u64) -> u64 {
    seed.wrapping_mul(SEED_MULTIPLIER).wrapping_add(component_number)
}

/// Draws the arrival times of a Poisson process with a mean of `rate` arrivals per second over `seconds`. A
/// rate of 0 gives no arrivals.
pub fn poisson_arrivals(rng: &mut impl Rng, rate: f64, seconds: f64) -> Vec<Duration> {
    if rate <= 0.0 {
        return Vec::new();
    }
    let mut at = 0.0;
    let next = || {
        at -= (1.0 - rng.random::<f64>()).ln() / rate;
        (at < seconds).then(|| Duration::from_secs_f64(at))
    };
    std::iter::from_fn(next).collect()
}
