//! A mean of positive samples that does not depend on their times.

/// An exponentially weighted moving average of positive samples, which starts at the first sample.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SmoothedMean {
    mean: Option<f64>,
}

impl SmoothedMean {
    /// Adds a positive sample with a weight from 0 to 1.
    pub fn update(&mut self, sample: f64, weight: f64) {
        let mean = self.mean.unwrap_or(sample);
        self.mean = Some(mean + weight * (sample - mean));
    }

    /// Returns the mean, or `None` before the first sample.
    pub fn get(&self) -> Option<f64> {
        self.mean
    }
}
