//! Table of the fleet's topology.

use crate::fleet::topology::Topology;
use crate::report::{Table, Value};

/// Returns the table of the numbers of services, layers, backends, proxies and calls of the fleet.
pub fn table(topology: &Topology) -> Table {
    let services = &topology.services;
    let called = topology.called_services();
    let callers: Vec<usize> = called.iter().map(|s| services[*s].callers.len()).collect();
    let sizes: Vec<usize> = services.iter().map(|service| service.machines.len()).collect();
    let max = |counts: &[usize]| counts.iter().copied().max().unwrap_or(0);
    let calls_per_second: f64 = called.iter().map(|s| services[*s].call_rate).sum();
    let rows = [
        ("services", services.len()),
        ("services called by proxies (the others: by clients only)", called.len()),
        ("layers", services.iter().map(|service| service.layer).max().unwrap_or(0)),
        ("backends", topology.machines.len()),
        ("proxies that make calls (the others are in the lowest layer)", callers.iter().sum()),
        ("backends of the largest service", max(&sizes)),
        ("backends of the smallest service", sizes.iter().copied().min().unwrap_or(0)),
        ("callers of the most called service", max(&callers)),
        ("calls/s", calls_per_second.round() as usize),
    ];
    let mut table = Table::new("The fleet", &["figure", "count"]);
    for (name, count) in rows {
        table.add_row([Value::from(name), Value::from(count)]);
    }
    table
}
