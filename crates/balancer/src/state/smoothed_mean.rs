//! Exponentially smoothed means.

use crate::Time;

/// A mean over time that moves towards each sample with the time since the last one.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DecayingMean {
    mean: f64,
    /// When it was last updated, in seconds.
    at: Time,
}

impl DecayingMean {
    /// A mean of 0 at `now`.
    pub fn zero_at(now: Time) -> Self {
        Self { mean: 0.0, at: now }
    }

    /// Adds a sample taken at `now`, with `memory` seconds as the time constant, and returns the mean.
    pub fn update(&mut self, sample: f64, now: Time, memory: Time) -> f64 {
        let keep = (-(now - self.at) / memory).exp();
        self.mean = sample + (self.mean - sample) * keep;
        self.at = now;
        self.mean
    }
}

/// Moves the mean of positive samples towards one, by a weight from 0 to 1. A mean of 0 has had none yet.
pub(crate) fn move_towards(mean: &mut f64, sample: f64, weight: f64) {
    let known = if *mean > 0.0 { *mean } else { sample };
    *mean = known + weight * (sample - known);
}
