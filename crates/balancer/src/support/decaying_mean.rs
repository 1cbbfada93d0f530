//! A mean of samples that are taken at irregular times.

use crate::Time;

/// An exponentially weighted moving average over time. The weight of a sample grows with the time since the
/// sample before.
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

    /// Adds a sample taken at `now` and returns the new mean. The time constant is in seconds.
    pub fn update(&mut self, sample: f64, now: Time, time_constant: Time) -> f64 {
        let decay_factor = (-(now - self.updated_at) / time_constant).exp();
        self.mean = sample + (self.mean - sample) * decay_factor;
        self.updated_at = now;
        self.mean
    }
}
