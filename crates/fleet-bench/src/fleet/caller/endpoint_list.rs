//! The endpoint list of a service as one caller has it.

use crate::fleet::faults::EndpointChange;
use balancer::{Endpoint, Status, Time};

/// The endpoint list after some of its changes.
#[derive(Debug)]
pub struct EndpointList {
    /// The first machine of the service; backends are counted from it.
    first_machine: usize,
    /// The endpoint of each backend, removed ones included.
    endpoints: Vec<Endpoint>,
    /// Since when the caller has been notified that a backend is not in service.
    out_of_service_since: Vec<Option<Time>>,
    /// The number of changes that have been applied.
    applied: usize,
}

impl EndpointList {
    /// The list before its first change.
    pub fn new(first_machine: usize, endpoints: Vec<Endpoint>) -> Self {
        let out_of_service_since = vec![None; endpoints.len()];
        Self { first_machine, endpoints, out_of_service_since, applied: 0 }
    }

    /// The number of changes that have been applied.
    pub fn applied(&self) -> usize {
        self.applied
    }

    /// The number of backends, removed ones included.
    pub fn len(&self) -> usize {
        self.endpoints.len()
    }

    /// Since when the caller has been notified that a backend is not in service.
    pub fn out_of_service_since(&self, backend: usize) -> Option<Time> {
        self.out_of_service_since[backend]
    }

    /// The endpoints that are not removed.
    pub fn listed(&self) -> Vec<Endpoint> {
        self.endpoints.iter().filter(|e| e.status != Status::Removed).cloned().collect()
    }

    /// Applies the changes before the index `end` that have not been applied.
    pub fn apply(&mut self, changes: &[EndpointChange], end: usize, now: Time) {
        for change in &changes[self.applied..end] {
            let backend = change.machine - self.first_machine;
            self.endpoints[backend] = change.endpoint.clone();
            let out_of_service = change.endpoint.status != Status::InService;
            let since = self.out_of_service_since[backend].unwrap_or(now);
            self.out_of_service_since[backend] = out_of_service.then_some(since);
        }
        self.applied = self.applied.max(end);
    }
}
