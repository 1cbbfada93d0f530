//! An estimate of the mean and the deviation of a latency.

use crate::Time;

/// The mean and the mean deviation of a latency, as exponentially weighted moving averages.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LatencyEstimate {
    samples: f64,
    mean: Time,
    deviation: Time,
}

impl LatencyEstimate {
    /// Records a latency, in seconds, with a weight from 0 to 1.
    pub fn record(&mut self, latency: Time, weight: f64) {
        self.samples += 1.0;
        self.deviation += weight * ((latency - self.mean).abs() - self.deviation);
        self.mean += weight * (latency - self.mean);
    }

    /// Returns the number of samples recorded.
    pub fn samples(&self) -> f64 {
        self.samples
    }

    /// Returns the mean in seconds, or 0 before the first sample.
    pub fn mean(&self) -> Time {
        self.mean
    }

    /// Returns the mean deviation from the mean, in seconds.
    pub fn deviation(&self) -> Time {
        self.deviation
    }
}
