//! Histograms of latencies.

use crate::error::Error;
use hdrhistogram::Histogram;
use std::time::Duration;

/// Number of significant decimal digits of a recorded value.
const SIGNIFICANT_DIGITS: u8 = 3;

/// A histogram of latencies in microseconds. A latency above the maximum of the histogram is recorded as the
/// maximum.
#[derive(Debug)]
pub struct LatencyHistogram(Histogram<u64>);

impl LatencyHistogram {
    /// Creates an empty histogram that distinguishes latencies up to `max`.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Histogram`] if `max` is below 2 µs.
    pub fn with_max(max: Duration) -> Result<Self, Error> {
        Ok(Self(Histogram::new_with_bounds(1, max.as_micros() as u64, SIGNIFICANT_DIGITS)?))
    }

    /// Records one latency.
    pub fn record(&mut self, latency: Duration) {
        self.0.saturating_record(latency.as_micros() as u64);
    }

    /// Returns the number of recorded latencies.
    #[must_use]
    pub fn len(&self) -> u64 {
        self.0.len()
    }

    /// Returns whether no latency was recorded.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the latency at a quantile between 0 and 1, in milliseconds; NaN if the histogram is empty.
    #[must_use]
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        if self.is_empty() { f64::NAN } else { self.0.value_at_quantile(quantile) as f64 / 1e3 }
    }

    /// Returns the largest latency, in milliseconds; 0 if the histogram is empty.
    #[must_use]
    pub fn max_ms(&self) -> f64 {
        self.0.max() as f64 / 1e3
    }

    /// Returns the number of latencies in each bucket, given the ascending upper limits of the buckets in
    /// microseconds. A latency belongs to the first bucket whose limit it does not exceed; one that the
    /// histogram can't distinguish from a limit does not exceed it.
    #[must_use]
    pub fn bucket_counts(&self, limits_us: &[u64]) -> Vec<u64> {
        // The counts are differences, as the counts of adjoining ranges overlap: `count_between` includes all
        // latencies that the histogram can't distinguish from an end of its range.
        let mut counted = 0;
        limits_us
            .iter()
            .map(|&limit_us| {
                let up_to_limit = self.0.count_between(0, limit_us);
                let in_bucket = up_to_limit - counted;
                counted = up_to_limit;
                in_bucket
            })
            .collect()
    }
}

impl Extend<Duration> for LatencyHistogram {
    fn extend<I: IntoIterator<Item = Duration>>(&mut self, latencies: I) {
        for latency in latencies {
            self.record(latency);
        }
    }
}
