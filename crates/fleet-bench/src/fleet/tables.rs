//! The tables with the results of a run.

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

const SECONDS_PER_DAY: f64 = 86_400.0;

/// Returns all tables with results of the phases.
pub fn phase_tables(plan: &Plan, topology: &Topology, roles: &Roles, results: &[PhaseResult]) -> Vec<Table> {
    vec![
        simulated_services_table(topology, results),
        calls::table(results),
        endpoint_lists::propagation(results),
        endpoint_lists::coverage(plan, results),
        endpoint_lists::least_covered(plan, topology, results),
        slow_start::table(results),
        roles::table(plan, topology, roles, results),
    ]
}

fn simulated_services_table(topology: &Topology, results: &[PhaseResult]) -> Table {
    let columns =
        ["phase", "services simulated", "proxies simulated", "machines restarted", "machines crashed"];
    let mut table = Table::new("Simulated services and faults", &columns);
    for result in results {
        let callers = result.services.iter().map(|s| topology.services[s.service].callers.len());
        table.add_row([
            Value::from(result.phase.name()),
            Value::from(result.services.len()),
            Value::from(callers.sum::<usize>()),
            Value::from(result.outages.restarted),
            Value::from(result.outages.crashed),
        ]);
    }
    table
}

/// Returns notes that explain the tables.
pub fn notes(plan: &Plan) -> Vec<String> {
    vec![
        "Each proxy calls exactly one of the services that its own service calls, as the proxies of the \
         program have one endpoint list each."
            .to_string(),
        format!(
            "Phase ordinary: the restarts of a day in {} s, {:.0} times as dense. Phase region: an hour in {} s.",
            plan.window,
            SECONDS_PER_DAY / plan.window,
            plan.partition_duration
        ),
        "Phase region: discovery is outside of the partitioned region and goes on listing its backends; the \
         region gets no watch event until the partition is over."
            .to_string(),
        "Messages are those with endpoints, without empty responses to a watch. Discovery is modelled: its \
         processor time is not measured, and the delay of an update is drawn."
            .to_string(),
        "Budget of a backend in slow start: N + 2 sqrt(N) + 2, where N = overload_multiple x current capacity \
         x overload_window. Full capacity is the load before the outage, or the even fraction of the \
         service's calls if that is more."
            .to_string(),
        "Checked for each call: exactly one final response before the deadline, and no second attempt of an \
         unsafe call that may have run."
            .to_string(),
    ]
}
