//! Table of the fleet.

use crate::fleet::topology::Topology;
use crate::report::{Table, Value};

/// The sizes of the fleet.
pub fn table(topology: &Topology) -> Table {
    let services = &topology.services;
    let called = topology.called();
    let callers: Vec<usize> = called.iter().map(|s| services[*s].callers.len()).collect();
    let sizes: Vec<usize> = services.iter().map(|service| service.machines.len()).collect();
    let max = |counts: &[usize]| counts.iter().copied().max().unwrap_or(0);
    let calls_per_second: f64 = called.iter().map(|s| services[*s].rate).sum();
    let rows = [
        ("services", services.len()),
        ("services that proxies call (the others: by clients alone)", called.len()),
        ("layers", services.iter().map(|service| service.layer).max().unwrap_or(0)),
        ("backends", topology.machines.len()),
        ("proxies that call (the others stand in the lowest layer)", callers.iter().sum()),
        ("backends of the largest service", max(&sizes)),
        ("backends of the smallest", sizes.iter().copied().min().unwrap_or(0)),
        ("callers of the most called service", max(&callers)),
        ("calls a second", calls_per_second.round() as usize),
    ];
    let mut table = Table::new("The fleet", &["what", "count"]);
    for (name, count) in rows {
        table.row([Value::from(name), Value::from(count)]);
    }
    table
}
