//! The results of a run as tables. Their names and columns stay as they are: readers of earlier reports
//! depend on them.

mod calls;
mod endpoint_lists;
mod roles;
mod slow_start;
mod topology;
mod values;

use super::plan::Plan;
use super::results::PhaseResult;
use super::roles::Roles;
use super::topology::Topology;
use crate::report::{Table, Value};

pub use topology::table as topology_table;

/// All tables of the phases.
pub fn phase_tables(plan: &Plan, topology: &Topology, roles: &Roles, results: &[PhaseResult]) -> Vec<Table> {
    vec![
        simulated(topology, results),
        calls::table(results),
        endpoint_lists::propagation(results),
        endpoint_lists::coverage(plan, results),
        endpoint_lists::least_covered(plan, topology, results),
        slow_start::table(results),
        roles::table(plan, topology, roles, results),
    ]
}

fn simulated(topology: &Topology, results: &[PhaseResult]) -> Table {
    let columns = ["phase", "services played", "proxies played", "machines restarted", "machines lost"];
    let mut table = Table::new("What was played", &columns);
    for result in results {
        let callers = result.services.iter().map(|s| topology.services[s.service].callers.len());
        table.row([
            Value::from(result.phase.name()),
            Value::from(result.services.len()),
            Value::from(callers.sum::<usize>()),
            Value::from(result.outages.restarted),
            Value::from(result.outages.crashed),
        ]);
    }
    table
}

/// What a reader has to know about the tables.
pub fn notes(plan: &Plan) -> Vec<String> {
    let day = 86_400.0;
    vec![
        "each proxy calls exactly one service, one of those that its own calls: the program's proxies \
         have one list each"
            .to_string(),
        format!(
            "ordinary: a day's restarts in {} s, {:.0} times as dense; region: an hour in {} s",
            plan.window,
            day / plan.window,
            plan.partition
        ),
        "region: discovery is outside, and goes on listing what is cut off; the cut region hears nothing of \
         it until it is back"
            .to_string(),
        "messages are those with entries; empty answers of the watch are not among them. Discovery is \
         modelled: its processor time is not measured, and the delay of news is drawn"
            .to_string(),
        "budget of a cold backend: N + 2 sqrt(N) + 2, N = fall_multiple x capacity of the moment x \
         tip_after; capacity: what it was sent a second while warm, or its even part if that is more"
            .to_string(),
        "checked throughout: one final answer for each call and in time, no unsafe call sent twice"
            .to_string(),
    ]
}
