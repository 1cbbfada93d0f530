//! The endpoint list of a service at one caller.

use crate::fleet::faults::EndpointChange;
use balancer::{Endpoint, Status, Time};

/// The endpoint list after the changes that the caller has received.
#[derive(Debug)]
pub struct EndpointList {
    /// The index of the service's first machine, which is subtracted from a machine's index to get the
    /// index of its backend in the service.
    first_machine: usize,
    /// The endpoint of each backend, including removed backends.
    endpoints: Vec<Endpoint>,
    /// For each backend, the time at which the caller was notified that the backend is not in service, in
    /// seconds.
    out_of_service_since: Vec<Option<Time>>,
    /// The number of changes that have been applied.
    applied_count: usize,
}

impl EndpointList {
    /// Creates the list before the first change.
    pub fn new(first_machine: usize, endpoints: Vec<Endpoint>) -> Self {
        let out_of_service_since = vec![None; endpoints.len()];
        Self { first_machine, endpoints, out_of_service_since, applied_count: 0 }
    }

    /// Returns the number of changes that have been applied.
    pub fn applied_count(&self) -> usize {
        self.applied_count
    }

    /// Returns the number of backends, including removed backends.
    pub fn len(&self) -> usize {
        self.endpoints.len()
    }

    /// Returns the time at which the caller was notified that a backend is not in service, in seconds;
    /// `None` for a backend in service.
    pub fn out_of_service_since(&self, backend: usize) -> Option<Time> {
        self.out_of_service_since[backend]
    }

    /// Returns the endpoints that are not removed.
    pub fn listed(&self) -> Vec<Endpoint> {
        self.endpoints.iter().filter(|e| e.status != Status::Removed).cloned().collect()
    }

    /// Applies the changes before the index `end_of_changes` that have not been applied yet.
    pub fn apply(&mut self, changes: &[EndpointChange], end_of_changes: usize, now: Time) {
        for change in &changes[self.applied_count..end_of_changes] {
            let backend = change.machine - self.first_machine;
            self.endpoints[backend] = change.endpoint.clone();
            let out_of_service = change.endpoint.status != Status::InService;
            let since = self.out_of_service_since[backend].unwrap_or(now);
            self.out_of_service_since[backend] = out_of_service.then_some(since);
        }
        self.applied_count = self.applied_count.max(end_of_changes);
    }
}
