//! Random streams and distributions of the simulation.

use rand::Rng;
use rand::rngs::SmallRng;

/// Derives the seed of a random stream from the numbers that identify the stream (`SplitMix64`). Different
/// numbers give independent streams.
#[must_use]
pub fn derive_stream_seed(stream: &[u64]) -> u64 {
    stream.iter().fold(0, |state, number| {
        let mut z = (state ^ number).wrapping_add(0x9e37_79b9_7f4a_7c15);
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    })
}

/// Draws from the standard normal distribution (Box-Muller transform).
pub fn draw_normal(rng: &mut SmallRng) -> f64 {
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    radius * (std::f64::consts::TAU * rng.random::<f64>()).cos()
}

/// Draws from the exponential distribution with mean 1.
pub fn draw_exponential(rng: &mut SmallRng) -> f64 {
    -(1.0 - rng.random::<f64>()).ln()
}
