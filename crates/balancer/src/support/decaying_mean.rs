//! A mean of samples that are taken at irregular times.

use crate::Time;

/// An exponentially weighted mean over time: the more time lies between two samples, the more the later one
/// counts.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DecayingMean {
    mean: f64,
    /// The time of the latest sample, in seconds.
    updated_at: Time,
}

impl DecayingMean {
    /// Returns a mean of 0 at `now`.
    pub fn zero_at(now: Time) -> Self {
        Self { mean: 0.0, updated_at: now }
    }

    /// Adds a sample taken at `now`, with a time constant in seconds, and returns the mean.
    pub fn update(&mut self, sample: f64, now: Time, time_constant: Time) -> f64 {
        let decay_factor = (-(now - self.updated_at) / time_constant).exp();
        self.mean = sample + (self.mean - sample) * decay_factor;
        self.updated_at = now;
        self.mean
    }
}
