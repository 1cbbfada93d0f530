//! Random draws that several commands share.

use rand::Rng;
use std::time::Duration;

/// Arrival times of a Poisson process with `rate` arrivals per second on average, during `seconds`.
/// There are none at a rate of 0.
pub fn arrivals(rng: &mut impl Rng, rate: f64, seconds: f64) -> Vec<Duration> {
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
