//! A mean of positive samples, each with the same weight.

/// An exponentially weighted mean of positive samples, which starts at the first one.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SmoothedMean {
    mean: Option<f64>,
}

impl SmoothedMean {
    /// Moves the mean towards a positive sample by a weight from 0 to 1.
    pub fn update(&mut self, sample: f64, weight: f64) {
        let mean = self.mean.unwrap_or(sample);
        self.mean = Some(mean + weight * (sample - mean));
    }

    /// Returns the mean, if there has been a sample.
    pub fn get(&self) -> Option<f64> {
        self.mean
    }
}
