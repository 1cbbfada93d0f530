//! Random draws that more than one command makes.

use rand::Rng;
use std::time::Duration;

/// Times of a Poisson process: `rate` a second on average, for so many seconds. None at a rate of 0.
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
