//! The endpoint list of a service as one caller has it, and the size of its messages.

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

/// The size in bytes of a message of the endpoint list, as discovery writes it.
pub fn message_bytes(endpoints: &[Endpoint], reset: bool) -> usize {
    let head = format!(
        "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: 1234\r\n\r\n\
         {{\"generation\":123456,\"reset\":{reset},\"instances\":[]}}"
    );
    head.len() + endpoints.iter().map(endpoint_bytes).sum::<usize>()
}

fn endpoint_bytes(endpoint: &Endpoint) -> usize {
    let lifecycle = match endpoint.status {
        Status::InService => "SERVING",
        Status::Draining => "DRAINING",
        Status::Removed => "DELETED",
    };
    let started = if endpoint.started_at.is_some() { "1790000000000" } else { "0" };
    format!(
        "{{\"instanceId\":\"s-{:08x}\",\"hostPort\":\"10.100.100.100:7070\",\"zone\":\"{}\",\
         \"machineType\":\"m2\",\"cell\":{},\"lifecycle\":\"{lifecycle}\",\"weight\":1.0,\
         \"startedAtMs\":{started}}},",
        endpoint.id.0, endpoint.zone, endpoint.cell
    )
    .len()
}
