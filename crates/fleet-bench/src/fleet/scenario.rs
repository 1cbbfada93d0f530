//! State that all callers of one service share in one phase.

use super::faults::{EndpointChange, Faults};
use super::plan::{Phase, Plan};
use super::topology::{Service, Topology};
use balancer::{Status, Time};
use std::time::Instant;

/// A phase of the run.
#[derive(Clone, Copy, Debug)]
pub struct PhaseContext<'a> {
    /// The phase.
    pub phase: Phase,
    /// The plan of the run.
    pub plan: &'a Plan,
    /// The fleet.
    pub topology: &'a Topology,
    /// The faults of the phase.
    pub faults: &'a Faults,
    /// Real time at which the run is aborted.
    pub abort_at: Instant,
}

/// The scenario of one phase for the callers of one service.
#[derive(Debug)]
pub struct Scenario<'a> {
    /// The phase.
    pub context: PhaseContext<'a>,
    /// The index of the called service.
    pub service_index: usize,
    /// The changes of the service's endpoint list, in the order of publication by discovery.
    pub changes: Vec<EndpointChange>,
    /// For each backend of the service, the time at which discovery first publishes that the backend is
    /// not in service, in seconds.
    pub out_of_service_since: Vec<Option<Time>>,
}

impl<'a> Scenario<'a> {
    /// Creates the scenario of one service.
    #[must_use]
    pub fn new(context: PhaseContext<'a>, service_index: usize) -> Self {
        let changes = context.faults.changes(service_index, context.topology);
        let first_published_at = |machine| {
            let is_out_of_service =
                |c: &&EndpointChange| c.machine == machine && c.endpoint.status != Status::InService;
            changes.iter().find(is_out_of_service).map(|change| change.published_at)
        };
        let machines = context.topology.services[service_index].machines.clone();
        let out_of_service_since = machines.map(first_published_at).collect();
        Self { context, service_index, changes, out_of_service_since }
    }

    /// Returns the called service.
    #[must_use]
    pub fn service(&self) -> &'a Service {
        &self.context.topology.services[self.service_index]
    }
}
