//! A running estimate of a latency.

use crate::Time;

/// Mean and mean deviation of a latency, as exponentially weighted averages.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LatencyEstimate {
    /// Samples recorded so far.
    pub samples: f64,
    /// Mean, in seconds; 0 before the first sample.
    pub mean: Time,
    /// Mean deviation from the mean, in seconds.
    pub deviation: Time,
}

impl LatencyEstimate {
    /// Records a sample with a weight from 0 to 1.
    pub fn record(&mut self, latency: Time, weight: f64) {
        self.samples += 1.0;
        self.deviation += weight * ((latency - self.mean).abs() - self.deviation);
        self.mean += weight * (latency - self.mean);
    }
}
