//! Load reports that backends send along with responses and health checks.

use balancer::LoadReport;
use serde_json::{Map, Value};

/// Accepted names of the mean service time, in milliseconds.
const SERVICE_TIME_FIELDS: [&str; 2] = ["avg_ms", "latency_ms"];
/// Accepted names of the rate of requests, per second.
const REQUEST_RATE_FIELDS: [&str; 2] = ["rps", "qps"];

/// Parses a load report. Fields that are unknown or not valid are skipped; None if `json` is not a
/// JSON object.
#[must_use]
pub fn parse(json: &[u8]) -> Option<LoadReport> {
    let fields: Map<String, Value> = serde_json::from_slice(json).ok()?;
    Some(LoadReport {
        service_time: non_negative(&fields, SERVICE_TIME_FIELDS).map(|ms| ms / 1000.0),
        requests_per_second: non_negative(&fields, REQUEST_RATE_FIELDS),
    })
}

/// The first number with one of these names, unless it is negative.
fn non_negative(fields: &Map<String, Value>, names: [&str; 2]) -> Option<f64> {
    let value = names.iter().find_map(|name| fields.get(*name)?.as_f64())?;
    (value >= 0.0).then_some(value)
}
