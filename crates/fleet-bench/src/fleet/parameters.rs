//! Composite parameters of a [`super::plan::Plan`]. Experiment files and reports write each parameter as
//! an array of numbers; the `From` implementations convert from and to this array.

use serde::{Deserialize, Serialize};

/// Round-trip times between two machines, in seconds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "[f64; 3]", into = "[f64; 3]")]
pub struct RoundTrips {
    /// Round-trip time within a zone.
    pub same_zone: f64,
    /// Round-trip time between two zones of a region.
    pub same_region: f64,
    /// Round-trip time between regions.
    pub cross_region: f64,
}

impl From<[f64; 3]> for RoundTrips {
    fn from([same_zone, same_region, cross_region]: [f64; 3]) -> Self {
        Self { same_zone, same_region, cross_region }
    }
}

impl From<RoundTrips> for [f64; 3] {
    fn from(times: RoundTrips) -> Self {
        [times.same_zone, times.same_region, times.cross_region]
    }
}

/// Fractions of the calls by the effect of a repetition, from 0 to 1. The remaining calls are unsafe.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "[f64; 2]", into = "[f64; 2]")]
pub struct EffectFractions {
    /// Fraction of the calls that are safe to repeat.
    pub safe: f64,
    /// Fraction of the calls whose repetition is dropped within a time window.
    pub idempotent: f64,
}

impl From<[f64; 2]> for EffectFractions {
    fn from([safe, idempotent]: [f64; 2]) -> Self {
        Self { safe, idempotent }
    }
}

impl From<EffectFractions> for [f64; 2] {
    fn from(fractions: EffectFractions) -> Self {
        [fractions.safe, fractions.idempotent]
    }
}

/// Bounds of a uniformly distributed time, in seconds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "[f64; 2]", into = "[f64; 2]")]
pub struct TimeRange {
    /// Lower bound.
    pub min: f64,
    /// Upper bound.
    pub max: f64,
}

impl From<[f64; 2]> for TimeRange {
    fn from([min, max]: [f64; 2]) -> Self {
        Self { min, max }
    }
}

impl From<TimeRange> for [f64; 2] {
    fn from(range: TimeRange) -> Self {
        [range.min, range.max]
    }
}

/// A lognormally distributed time.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "[f64; 2]", into = "[f64; 2]")]
pub struct LognormalTime {
    /// Median, in seconds.
    pub median: f64,
    /// Standard deviation of the logarithm.
    pub sigma: f64,
}

impl From<[f64; 2]> for LognormalTime {
    fn from([median, sigma]: [f64; 2]) -> Self {
        Self { median, sigma }
    }
}

impl From<LognormalTime> for [f64; 2] {
    fn from(time: LognormalTime) -> Self {
        [time.median, time.sigma]
    }
}
