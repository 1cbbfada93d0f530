//! Measures the memory of a balancer's state.

use super::plan::Plan;
use super::roles::Roles;
use super::settings::caller_settings;
use super::topology::Topology;
use crate::error::Error;
use crate::report::{Table, Value};
use balancer::{Balancer, EndpointUpdate, Event};

/// Number of balancers of each role that are created for the measurement.
const BALANCERS_PER_ROLE: usize = 200;

/// Measures the memory of a balancer of each role after the balancer has received its endpoint list: the
/// growth of the process by many balancers, divided by the number of balancers.
///
/// # Errors
///
/// Returns [`Error::Memory`] if the system does not report the memory of this process.
pub fn measure(plan: &Plan, topology: &Topology, roles: &Roles) -> Result<Table, Error> {
    let columns = ["role", "backends listed", "callers", "bytes per balancer"];
    let mut table = Table::new("Memory of one balancer with its endpoint list, before any call", &columns);
    // The balancers are kept until the end: if their memory were freed, the next role would reuse it and
    // show no growth.
    let mut balancers = Vec::new();
    for role in roles.iter() {
        let Some(service) = topology.services.get(role.service) else {
            continue;
        };
        let endpoints = topology.endpoints(role.service);
        let bytes_before = resident_bytes()?;
        for i in 0..BALANCERS_PER_ROLE {
            let settings = caller_settings(plan, topology, role.service, i % service.callers.len());
            let mut balancer = Balancer::new(0.0, i as u64, settings);
            balancer.handle(0.0, Event::Endpoints(EndpointUpdate::Full(&endpoints)), &mut Vec::new());
            balancers.push(balancer);
        }
        let growth = resident_bytes()?.saturating_sub(bytes_before);
        table.add_row([
            Value::from(role.name),
            Value::from(endpoints.len()),
            Value::from(service.callers.len()),
            Value::from(growth as f64 / BALANCERS_PER_ROLE as f64),
        ]);
    }
    Ok(table)
}

/// Returns the resident memory of this process, in bytes.
fn resident_bytes() -> Result<u64, Error> {
    let memory = procfs::process::Process::myself().and_then(|process| process.statm());
    let memory = memory.map_err(Error::Memory)?;
    Ok(memory.resident * procfs::page_size())
}
