//! Measures the cost of an up-to-date endpoint list for a proxy, in windows of constant change rates.

use super::group::{GROUP_COLUMNS, ProxyGroup, UsageSnapshot};
use super::list_changes::ListChangeRates;
use super::plan::{ACKNOWLEDGEMENT_TIMEOUT, Plan};
use crate::budget;
use crate::discovery::{PollCounts, PropagationLatency};
use crate::error::Error;
use crate::report::{Table, Value};
use crate::resource_usage::ProcessUsage;
use std::time::Duration;

/// Processor time of the discovery server, as a fraction of a core, above which the server itself may limit
/// the measured rates.
const SERVER_NEAR_LIMIT_CORES: f64 = 0.8;

const COST_COLUMNS: [&str; 16] = [
    "changes/s",
    "polls/s",
    "bytes/s",
    "bytes / budget",
    "core, %",
    "core / budget",
    "core max, %",
    "RSS, MB",
    "RSS peak, MB",
    "RSS peak / budget",
    "descriptors",
    "50%, ms",
    "99%, ms",
    "all, ms",
    "discovery core, %",
    "machine stalled, %",
];

/// Returns the table without rows to which [`measure_rates`] adds rows.
#[must_use]
pub fn table() -> Table {
    let mut table = Table::new(
        "Cost of an up-to-date list for each proxy, and time until a change is in force (seen at the next poll)",
        &GROUP_COLUMNS,
    );
    table.columns.push("rate".to_string());
    table.columns.extend(COST_COLUMNS.map(str::to_string));
    table
}

/// Measures the costs without changes, at the rate of the fleet and at the rates of the plan, and adds a row
/// for each.
///
/// # Errors
///
/// Returns an error if a proxy has ended, and [`Error::Interrupted`] once a signal has arrived.
pub fn measure_rates(
    group: &mut ProxyGroup<'_>,
    plan: &Plan,
    table: &mut Table,
    notes: &mut Vec<String>,
) -> Result<(), Error> {
    let fleet_rate = ListChangeRates::of(group.size.listed).changes_per_second();
    let idle = measure_window(group, 0.0, plan.window, notes)?;
    let at_fleet_rate = measure_window(group, fleet_rate, plan.window, notes)?;
    let fleet = idle.interpolate(&at_fleet_rate, fleet_rate);
    let mut rows = vec![("none".to_string(), idle), ("fleet".to_string(), fleet)];
    for &rate in &plan.rates {
        rows.push((rate.to_string(), measure_window(group, rate, plan.window, notes)?));
    }
    for (name, costs) in rows {
        table.add_row(group.group_cells().into_iter().chain([name.into()]).chain(costs.cells()));
    }
    Ok(())
}

/// Measures the costs while the list changes `rate` times per second for `seconds`.
fn measure_window(
    group: &mut ProxyGroup<'_>,
    rate: f64,
    seconds: f64,
    notes: &mut Vec<String>,
) -> Result<Costs, Error> {
    let times = group.changes.change_times(rate, seconds);
    drop(group.discovery.take_propagation()?);
    let before = group.snapshot()?;
    group.publish_at(&times)?;
    group.shutdown.sleep_until(before.at + Duration::from_secs_f64(seconds))?;
    let after = group.snapshot()?;
    group.wait_for_acknowledgements(ACKNOWLEDGEMENT_TIMEOUT)?;
    let pending = group.discovery.pending_acknowledgements();
    let costs = Costs::between(&before, &after, times.len(), &group.discovery.take_propagation()?);

    let row = format!("{} listed, {} proxies, {rate:.3} changes/s", group.size.listed, group.proxies.len());
    if pending > 0 {
        notes.push(format!(
            "{row}: 2 s after the window, {pending} acknowledgements of changes were missing."
        ));
    }
    if costs.server_cores > SERVER_NEAR_LIMIT_CORES {
        notes.push(format!("{row}: the discovery server was near its limit, which lengthens these times."));
    }
    Ok(costs)
}

/// Time until a change is in force, in milliseconds; NaN if no proxy has acknowledged a change.
#[derive(Clone, Copy)]
struct InForceLatencyMs {
    /// Median over all proxies and changes.
    median: f64,
    /// The 99th percentile over all proxies and changes.
    p99: f64,
    /// Time until the slowest change was in force at the last proxy.
    last: f64,
}

impl From<&PropagationLatency> for InForceLatencyMs {
    fn from(latency: &PropagationLatency) -> Self {
        let per_proxy = &latency.per_proxy;
        Self {
            median: per_proxy.quantile_ms(0.5),
            p99: per_proxy.quantile_ms(0.99),
            last: if per_proxy.is_empty() { f64::NAN } else { latency.last_proxy.max_ms() },
        }
    }
}

/// Costs of a proxy in one window; means over the proxies unless the field says otherwise.
#[derive(Clone, Copy)]
struct Costs {
    changes_per_second: f64,
    polls_per_second: f64,
    /// Size of polls and responses, in bytes per second.
    bytes_per_second: f64,
    /// Mean processor time, as a fraction of a core.
    mean_cores: f64,
    /// Processor time of the proxy with the highest, as a fraction of a core.
    max_cores: f64,
    /// Resident memory of the proxy with the most, in bytes.
    max_resident_bytes: f64,
    /// Peak resident memory of the proxy with the highest peak, in bytes.
    max_peak_resident_bytes: f64,
    /// File descriptors of the proxy with the most.
    max_open_files: f64,
    in_force_latency_ms: InForceLatencyMs,
    /// Processor time of the discovery server, as a fraction of a core.
    server_cores: f64,
    /// Fraction of the time in which a task of the machine waited for a processor.
    machine_stall_fraction: f64,
}

impl Costs {
    fn between(
        before: &UsageSnapshot,
        after: &UsageSnapshot,
        changes: usize,
        propagation: &PropagationLatency,
    ) -> Self {
        let proxies = after.usages.len() as f64;
        let seconds = after.at.duration_since(before.at).as_secs_f64();
        let rate_per_proxy = |count: fn(&PollCounts) -> u64| {
            let sum = |counts: &[PollCounts]| counts.iter().map(count).sum::<u64>();
            (sum(&after.counts) - sum(&before.counts)) as f64 / seconds / proxies
        };
        let usages = after.usages.iter().zip(&before.usages);
        let cores: Vec<f64> = usages.map(|(after, before)| after.cores_since(before)).collect();
        let max = |value: fn(&ProcessUsage) -> u64| after.usages.iter().map(value).max().unwrap_or(0) as f64;
        Self {
            changes_per_second: changes as f64 / seconds,
            polls_per_second: rate_per_proxy(|counts| counts.polls),
            bytes_per_second: rate_per_proxy(|counts| counts.poll_bytes + counts.response_bytes),
            mean_cores: cores.iter().sum::<f64>() / proxies,
            max_cores: cores.iter().copied().fold(0.0, f64::max),
            max_resident_bytes: max(|usage| usage.resident_bytes),
            max_peak_resident_bytes: max(|usage| usage.peak_resident_bytes),
            max_open_files: max(|usage| usage.open_files as u64),
            in_force_latency_ms: InForceLatencyMs::from(propagation),
            server_cores: after.server_usage.cores_since(&before.server_usage),
            machine_stall_fraction: after.machine.stall_fraction_since(&before.machine),
        }
    }

    /// Returns the costs at `rate` changes per second, by linear interpolation between `self`, which has the
    /// costs without changes, and `other`, which has the costs at a higher rate.
    fn interpolate(&self, other: &Self, rate: f64) -> Self {
        let fraction = (rate / other.changes_per_second).min(1.0);
        let between = |idle: f64, other: f64| idle + fraction * (other - idle);
        Self {
            changes_per_second: between(self.changes_per_second, other.changes_per_second),
            polls_per_second: between(self.polls_per_second, other.polls_per_second),
            bytes_per_second: between(self.bytes_per_second, other.bytes_per_second),
            mean_cores: between(self.mean_cores, other.mean_cores),
            max_cores: between(self.max_cores, other.max_cores),
            ..*other
        }
    }

    fn cells(self) -> [Value; COST_COLUMNS.len()] {
        [
            self.changes_per_second.into(),
            self.polls_per_second.into(),
            self.bytes_per_second.into(),
            (self.bytes_per_second / budget::CONTROL_PLANE_BYTES_PER_SECOND).into(),
            (100.0 * self.mean_cores).into(),
            (self.mean_cores / budget::CONTROL_PLANE_CORES).into(),
            (100.0 * self.max_cores).into(),
            (self.max_resident_bytes / 1e6).into(),
            (self.max_peak_resident_bytes / 1e6).into(),
            (self.max_peak_resident_bytes / budget::RESIDENT_MEMORY_BYTES).into(),
            self.max_open_files.into(),
            self.in_force_latency_ms.median.into(),
            self.in_force_latency_ms.p99.into(),
            self.in_force_latency_ms.last.into(),
            (100.0 * self.server_cores).into(),
            (100.0 * self.machine_stall_fraction).into(),
        ]
    }
}
