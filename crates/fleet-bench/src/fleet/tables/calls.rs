//! Table of the calls and attempts in the window.

use super::values::percent;
use crate::fleet::results::PhaseResult;
use crate::report::{Table, Value};

/// Returns the table of the calls and attempts of each phase.
pub fn table(results: &[PhaseResult]) -> Table {
    let columns = [
        "phase",
        "calls",
        "succeeded, %",
        "rejected",
        "failed",
        "without attempt",
        "no backend reachable",
        "lost in own outage",
        "attempts per call",
        "attempts to unavailable",
        "attempts to unavailable, %",
        "past grace, notified",
        "past grace, deemed notified",
    ];
    let mut table = Table::new("Calls in the window", &columns);
    for result in results {
        let counts = result.total_counts();
        let calls = counts.calls;
        let attempts = counts.attempts;
        table.add_row([
            Value::from(result.phase.name()),
            count(calls.total),
            percent(calls.succeeded as f64, calls.total as f64),
            count(calls.rejected),
            count(calls.failed),
            count(calls.without_attempt),
            count(calls.without_reachable_backend),
            count(calls.lost),
            Value::from(attempts.total as f64 / calls.total as f64),
            count(attempts.to_unavailable),
            percent(attempts.to_unavailable as f64, attempts.total as f64),
            count(attempts.past_grace),
            count(attempts.past_deemed_grace),
        ]);
    }
    table
}

fn count(count: u64) -> Value {
    Value::from(count as f64)
}
