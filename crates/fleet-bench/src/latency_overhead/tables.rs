//! The report tables of the latency measurement.

use super::analysis::{Analysis, RouteLatencies};
use super::plan::LoadPlan;
use crate::budget;
use crate::latency::LatencyHistogram;
use crate::report::{Table, Value};

/// The columns that identify a measurement.
const MEASUREMENT_COLUMNS: [&str; 3] = ["listed", "calls/s", "changes/s"];
const ADDED_LATENCY_COLUMNS: [&str; 13] = [
    "50%, ms",
    "90%, ms",
    "99%, ms",
    "99%, lowest fifth, ms",
    "99%, highest fifth, ms",
    "99.9%, ms",
    "99% / budget",
    "generator delay 99%, ms",
    "queued for a caller, %",
    "proxy processor time, us/call",
    "proxy run queue wait, us/call",
    "machine stalled, %",
    "verdict",
];
const CALL_COLUMNS: [&str; 7] = ["calls", "failed", "50%, ms", "90%, ms", "99%, ms", "99.9%, ms", "max, ms"];
/// Upper limits of the buckets of the latency histogram, in milliseconds.
const BUCKET_LIMITS_MS: [f64; 14] =
    [0.05, 0.1, 0.2, 0.3, 0.5, 0.72, 1.0, 1.5, 2.0, 3.0, 5.0, 10.0, 50.0, 5_000.0];

/// The report tables of the latency measurement.
pub struct Tables {
    /// Added latency, cost and verdict of each measurement.
    added: Table,
    /// Number and latency of the calls of each route.
    calls: Table,
    /// Histogram of the latencies of each route.
    buckets: Table,
}

impl Tables {
    /// Creates the tables without rows.
    #[must_use]
    pub fn new() -> Self {
        let by_measurement =
            |name: &str, columns: &[&str]| Table::new(name, &[&MEASUREMENT_COLUMNS[..], columns].concat());
        let added = by_measurement(
            "Latency that the proxy adds to a call: differences of percentiles, with 99% by fifths of the run",
            &ADDED_LATENCY_COLUMNS,
        );
        let mut calls = by_measurement("Calls: latency from the scheduled start", &["route"]);
        calls.columns.extend(CALL_COLUMNS.map(str::to_string));
        let mut buckets =
            by_measurement("Histogram: % of the calls, by the upper limit of the latency in ms", &["route"]);
        buckets.columns.extend(BUCKET_LIMITS_MS.map(|limit| limit.to_string()));
        Self { added, calls, buckets }
    }

    /// Adds the rows of one measurement.
    pub fn add(&mut self, listed: usize, load: LoadPlan, analysis: &Analysis) {
        let measurement = [listed.into(), load.rate.into(), load.changes.into()];
        self.added.add_row(measurement.iter().cloned().chain(added_cells(analysis)));
        for calls in [&analysis.direct, &analysis.proxied] {
            let measurement_and_route = || measurement.iter().cloned().chain([calls.route.name().into()]);
            self.calls.add_row(measurement_and_route().chain(call_cells(calls)));
            self.buckets.add_row(measurement_and_route().chain(bucket_cells(&calls.latencies)));
        }
    }

    /// Returns the tables in the order of the report.
    #[must_use]
    pub fn into_tables(self) -> [Table; 3] {
        [self.added, self.calls, self.buckets]
    }
}

fn added_cells(analysis: &Analysis) -> [Value; ADDED_LATENCY_COLUMNS.len()] {
    [
        analysis.added_ms(0.5).into(),
        analysis.added_ms(0.9).into(),
        analysis.added_ms(0.99).into(),
        analysis.segment_range.min_ms.into(),
        analysis.segment_range.max_ms.into(),
        analysis.added_ms(0.999).into(),
        (analysis.added_ms(0.99) / budget::ADDED_LATENCY_MS).into(),
        analysis.generator_delay_ms.into(),
        (100.0 * analysis.queued_fraction).into(),
        analysis.proxy_cost.processor_us.into(),
        analysis.proxy_cost.run_queue_wait_us.into(),
        (100.0 * analysis.machine_stall_fraction).into(),
        analysis.verdict().text().into(),
    ]
}

fn call_cells(calls: &RouteLatencies) -> [Value; CALL_COLUMNS.len()] {
    let latencies = &calls.latencies;
    [
        (latencies.len() as usize).into(),
        calls.failed.into(),
        latencies.quantile_ms(0.5).into(),
        latencies.quantile_ms(0.9).into(),
        latencies.quantile_ms(0.99).into(),
        latencies.quantile_ms(0.999).into(),
        latencies.max_ms().into(),
    ]
}

/// Returns the percentage of the calls in each bucket of the histogram.
fn bucket_cells(latencies: &LatencyHistogram) -> impl Iterator<Item = Value> {
    let counts = latencies.bucket_counts(&BUCKET_LIMITS_MS.map(|limit_ms| (1e3 * limit_ms) as u64));
    let total = latencies.len() as f64;
    counts.into_iter().map(move |count| (100.0 * count as f64 / total).into())
}
