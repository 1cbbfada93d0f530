//! Statistics of the calls of one measurement.

use super::load::{CallSample, Route, WARM_UP_SECONDS};
use super::plan::LoadPlan;
use super::test_bed::LoadResult;
use super::verdict::{LatencyObservation, Verdict};
use crate::error::Error;
use crate::latency::LatencyHistogram;
use std::time::Duration;

/// Maximum latency that a histogram distinguishes; a longer latency is recorded as this maximum.
const MAX_RECORDED_LATENCY: Duration = Duration::from_secs(60);
/// Number of equal segments of the measured time. The range of the added latency over the segments shows
/// how much the latency varied during the run.
const SEGMENT_COUNT: usize = 5;
/// The quantile to which the budget applies.
const BUDGET_QUANTILE: f64 = 0.99;

/// The measured calls of one route.
pub struct RouteLatencies {
    /// The route of the calls.
    pub route: Route,
    /// Latencies of the successful calls.
    pub latencies: LatencyHistogram,
    /// The number of failed calls.
    pub failed: usize,
}

/// Range of the added latency over the segments of the measured time, at the 99th percentile.
pub struct SegmentRange {
    /// Added latency of the segment with the lowest, in milliseconds.
    pub min_ms: f64,
    /// Added latency of the segment with the highest, in milliseconds.
    pub max_ms: f64,
}

/// Cost of a proxied call at the proxy.
pub struct ProxyCost {
    /// Processor time of the proxy per call, in microseconds.
    pub processor_us: f64,
    /// Time per call in which the proxy was runnable but waited for a processor, in microseconds.
    pub run_queue_wait_us: f64,
}

/// Statistics of the calls of one measurement.
pub struct Analysis {
    /// Statistics of the direct calls.
    pub direct: RouteLatencies,
    /// Statistics of the proxied calls.
    pub proxied: RouteLatencies,
    /// Range of the added latency over the segments of the measured time.
    pub segment_range: SegmentRange,
    /// Delay from the scheduled to the actual start of a call, in milliseconds at the 99th percentile.
    pub generator_delay_ms: f64,
    /// Fraction of the calls that waited for a free caller.
    pub queued_fraction: f64,
    /// Mean cost of a proxied call at the proxy.
    pub proxy_cost: ProxyCost,
    /// Fraction of the time in which a task of the machine waited for a processor.
    pub machine_stall_fraction: f64,
}

impl Analysis {
    /// Analyses the calls that were scheduled after the warm-up.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Histogram`] if a histogram cannot be created.
    pub fn of(result: LoadResult, load: LoadPlan) -> Result<Self, Error> {
        let proxy_cost = ProxyCost::of(&result);
        let mut samples = result.samples;
        samples.retain(|sample| sample.call.at.as_secs_f64() >= WARM_UP_SECONDS);
        let queued = samples.iter().filter(|sample| sample.generator_delay.is_none()).count();
        let generator_delays = histogram(samples.iter().filter_map(|sample| sample.generator_delay))?;
        Ok(Self {
            direct: RouteLatencies::of(&samples, Route::Direct)?,
            proxied: RouteLatencies::of(&samples, Route::Proxied)?,
            segment_range: SegmentRange::of(&samples, load.seconds)?,
            generator_delay_ms: generator_delays.quantile_ms(BUDGET_QUANTILE),
            queued_fraction: queued as f64 / samples.len() as f64,
            proxy_cost,
            machine_stall_fraction: result.machine_stall_fraction,
        })
    }

    /// Returns the added latency at a quantile, in milliseconds: the quantile of the proxied calls minus that
    /// of the direct calls.
    #[must_use]
    pub fn added_ms(&self, quantile: f64) -> f64 {
        self.proxied.latencies.quantile_ms(quantile) - self.direct.latencies.quantile_ms(quantile)
    }

    /// Compares the added latency with its budget.
    #[must_use]
    pub fn verdict(&self) -> Verdict {
        let observation = LatencyObservation {
            generator_delay_ms: self.generator_delay_ms,
            queued_fraction: self.queued_fraction,
            direct_ms: self.direct.latencies.quantile_ms(BUDGET_QUANTILE),
            added_ms: self.added_ms(BUDGET_QUANTILE),
        };
        observation.verdict()
    }
}

impl RouteLatencies {
    fn of(samples: &[CallSample], route: Route) -> Result<Self, Error> {
        let failed = samples_of_route(samples, route).filter(|sample| sample.latency.is_none()).count();
        let latencies = histogram(samples_of_route(samples, route).filter_map(|sample| sample.latency))?;
        Ok(Self { route, latencies, failed })
    }
}

impl SegmentRange {
    fn of(samples: &[CallSample], seconds: f64) -> Result<Self, Error> {
        let mut added_ms = Vec::new();
        for segment in 0..SEGMENT_COUNT {
            let quantile_ms = |route: Route| -> Result<f64, Error> {
                let of_segment = samples_of_route(samples, route)
                    .filter(|sample| segment_index(sample, seconds) == segment);
                Ok(histogram(of_segment.filter_map(|sample| sample.latency))?.quantile_ms(BUDGET_QUANTILE))
            };
            added_ms.push(quantile_ms(Route::Proxied)? - quantile_ms(Route::Direct)?);
        }
        added_ms.sort_by(f64::total_cmp);
        Ok(Self { min_ms: added_ms[0], max_ms: added_ms[SEGMENT_COUNT - 1] })
    }
}

impl ProxyCost {
    fn of(result: &LoadResult) -> Self {
        let before = &result.usage_before;
        let after = &result.usage_after;
        let calls = samples_of_route(&result.samples, Route::Proxied).count() as f64;
        let us_per_call =
            |after: Duration, before: Duration| after.saturating_sub(before).as_secs_f64() * 1e6 / calls;
        Self {
            processor_us: us_per_call(after.processor_time, before.processor_time),
            run_queue_wait_us: us_per_call(after.run_queue_wait, before.run_queue_wait),
        }
    }
}

fn samples_of_route(samples: &[CallSample], route: Route) -> impl Iterator<Item = &CallSample> {
    samples.iter().filter(move |sample| sample.call.route == route)
}

/// Returns the index of the segment of the measured time in which a call was scheduled.
fn segment_index(sample: &CallSample, seconds: f64) -> usize {
    let fraction = (sample.call.at.as_secs_f64() - WARM_UP_SECONDS) / seconds;
    ((fraction * SEGMENT_COUNT as f64) as usize).min(SEGMENT_COUNT - 1)
}

fn histogram(latencies: impl Iterator<Item = Duration>) -> Result<LatencyHistogram, Error> {
    let mut histogram = LatencyHistogram::with_max(MAX_RECORDED_LATENCY)?;
    histogram.extend(latencies);
    Ok(histogram)
}
