//! Table of the load on backends in slow start.

use super::values::quantile;
use crate::fleet::results::{PhaseResult, SlowStartPeak};
use crate::report::{Table, Value};

/// Returns the table of the peak load on backends in slow start, relative to their budget.
pub fn table(results: &[PhaseResult]) -> Table {
    let columns = [
        "phase",
        "slow starts",
        "load / budget, median",
        "load / budget, 99%",
        "load / budget, maximum",
        "attempts at the maximum",
        "over the budget",
        "without attempts",
    ];
    let name = "Peak load of all callers on a backend in slow start, against its budget";
    let mut table = Table::new(name, &columns);
    for result in results {
        let mut peaks: Vec<SlowStartPeak> =
            result.services.iter().flat_map(|service| &service.slow_starts).copied().collect();
        peaks.sort_by(|a, b| a.budget_ratio.total_cmp(&b.budget_ratio));
        let ratio = |fraction| {
            let peak = quantile(&peaks, fraction);
            Value::from(peak.map(|peak| peak.budget_ratio))
        };
        table.add_row([
            Value::from(result.phase.name()),
            Value::from(peaks.len()),
            ratio(0.5),
            ratio(0.99),
            ratio(1.0),
            Value::from(peaks.last().map_or(0, |peak| peak.attempts)),
            Value::from(peaks.iter().filter(|peak| peak.budget_ratio > 1.0).count()),
            Value::from(peaks.iter().filter(|peak| peak.attempts == 0).count()),
        ]);
    }
    table
}
