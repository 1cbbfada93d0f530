//! Messages from discovery to a caller, and their size on the wire.

use balancer::{Endpoint, EndpointUpdate, Status};

/// A message from discovery.
#[derive(Clone, Debug)]
pub enum Message {
    /// Changed endpoints.
    Changes(Vec<Endpoint>),
    /// The full endpoint list.
    Full(Vec<Endpoint>),
}

impl Message {
    /// Returns the endpoints in the message.
    pub fn endpoints(&self) -> &[Endpoint] {
        match self {
            Self::Changes(endpoints) | Self::Full(endpoints) => endpoints,
        }
    }

    /// Returns the message as an update for the balancer.
    pub fn as_update(&self) -> EndpointUpdate<'_> {
        match self {
            Self::Changes(endpoints) => EndpointUpdate::Changes(endpoints),
            Self::Full(endpoints) => EndpointUpdate::Full(endpoints),
        }
    }

    /// Returns the size in bytes of the HTTP response in which discovery sends the message.
    pub fn bytes(&self) -> usize {
        let reset = matches!(self, Self::Full(_));
        let head = format!(
            "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: 1234\r\n\r\n\
             {{\"generation\":123456,\"reset\":{reset},\"instances\":[]}}"
        );
        head.len() + self.endpoints().iter().map(endpoint_bytes).sum::<usize>()
    }
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
        endpoint.id.0, endpoint.zone.0, endpoint.cell.0
    )
    .len()
}
