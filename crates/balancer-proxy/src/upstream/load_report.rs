//! Load reports that backends send with responses and health checks.

use balancer::LoadReport;
use serde_json::{Map, Value};

/// Accepted names of the field with the mean service time, in milliseconds.
const SERVICE_TIME_FIELDS: [&str; 2] = ["avg_ms", "latency_ms"];
/// Accepted names of the field with the request rate, in requests per second.
const REQUEST_RATE_FIELDS: [&str; 2] = ["rps", "qps"];
const MILLISECONDS_PER_SECOND: f64 = 1000.0;

/// Parses a load report. Skips fields that are unknown or not valid. Returns `None` if `json` is not a JSON
/// object.
pub(crate) fn parse(json: &[u8]) -> Option<LoadReport> {
    let fields: Map<String, Value> = serde_json::from_slice(json).ok()?;
    let service_time_ms = non_negative_field(&fields, SERVICE_TIME_FIELDS);
    Some(LoadReport {
        service_time: service_time_ms.map(|milliseconds| milliseconds / MILLISECONDS_PER_SECOND),
        requests_per_second: non_negative_field(&fields, REQUEST_RATE_FIELDS),
    })
}

/// Returns the number in the first of these fields that contains a number. Returns `None` if no field does
/// or the number is negative.
fn non_negative_field(fields: &Map<String, Value>, names: [&str; 2]) -> Option<f64> {
    let value = names.iter().find_map(|name| fields.get(*name)?.as_f64())?;
    (value >= 0.0).then_some(value)
}

#[cfg(test)]
mod tests;
