//! Load reports that backends send along with responses and health checks.

use crate::LoadReport;

/// Reads a load report; what the decisions can't use is skipped.
#[must_use]
pub fn parse(json: &[u8]) -> Option<LoadReport> {
    let fields: serde_json::Map<String, serde_json::Value> = serde_json::from_slice(json).ok()?;
    let figure = |names: [&str; 2]| {
        let value = names.iter().find_map(|name| fields.get(*name)?.as_f64());
        value.filter(|v| *v >= 0.0)
    };
    let service = figure(["avg_ms", "latency_ms"]).map(|ms| ms / 1000.0);
    Some(LoadReport { service_time: service, requests_per_second: figure(["rps", "qps"]) })
}
