//! Table of the state of the callers of each role, and of the messages with endpoints from discovery.

use crate::fleet::counts::UpdateCounts;
use crate::fleet::plan::Plan;
use crate::fleet::results::PhaseResult;
use crate::fleet::roles::{Role, Roles};
use crate::fleet::topology::Topology;
use crate::report::{Table, Value};

/// Returns the table of the peak state and the received messages of each role, and of the messages that
/// discovery sends.
pub fn table(plan: &Plan, topology: &Topology, roles: &Roles, results: &[PhaseResult]) -> Table {
    let columns = [
        "phase",
        "role",
        "backends listed",
        "proxies",
        "peak backends known",
        "peak subset size",
        "peak open requests",
        "messages/s",
        "endpoints/s",
        "bytes/s",
    ];
    let name = "Each role: peak state (mean over proxies), and messages of the endpoint list: received by a \
                proxy, sent by discovery";
    let mut table = Table::new(name, &columns);
    for result in results {
        for role in roles.iter() {
            if let Some(row) = role_row(plan, topology, role, result) {
                table.add_row(row);
            }
        }
        table.add_row(discovery_row(plan, topology, result));
    }
    table
}

/// Returns the row with the means over the callers of a role; `None` if the service of the role was not
/// simulated.
fn role_row(plan: &Plan, topology: &Topology, role: Role, result: &PhaseResult) -> Option<Vec<Value>> {
    let observed = result.service(role.service)?;
    let service = topology.services.get(role.service)?;
    let callers = service.callers.len();
    let mut row = vec![
        Value::from(result.phase.name()),
        Value::from(format!("proxy {}", role.name)),
        Value::from(service.machines.len()),
        Value::from(callers),
        Value::from(observed.mean_peak_state.backends),
        Value::from(observed.mean_peak_state.subset),
        Value::from(observed.mean_peak_state.open_requests),
    ];
    row.extend(rates(observed.counts.updates, callers as f64 * plan.window));
    Some(row)
}

/// Returns the row of the messages that discovery sends to all callers.
fn discovery_row(plan: &Plan, topology: &Topology, result: &PhaseResult) -> Vec<Value> {
    let services = || result.services.iter().map(|service| &topology.services[service.service]);
    let mut row = vec![
        Value::from(result.phase.name()),
        Value::from("discovery"),
        Value::from(services().map(|service| service.machines.len()).sum::<usize>()),
        Value::from(services().map(|service| service.callers.len()).sum::<usize>()),
        Value::Absent,
        Value::Absent,
        Value::Absent,
    ];
    row.extend(rates(result.total_counts().updates, plan.window));
    row
}

/// Returns the messages, endpoints and bytes per second.
fn rates(updates: UpdateCounts, seconds: f64) -> [Value; 3] {
    [updates.messages, updates.endpoints, updates.bytes].map(|count| Value::from(count as f64 / seconds))
}
