//! The discovery of a play, which never sends a list.

use super::scenario::Discovery;
use crate::common::closed_address::ClosedAddress;
use crate::common::http::response;
use crate::common::stub_server::{Reply, StubServer, silent_discovery};
use std::net::SocketAddr;

/// A discovery, for as long as the value exists.
pub enum DiscoveryStub {
    /// A server that receives calls.
    Server(StubServer),
    /// An address on which nothing listens.
    Absent(ClosedAddress),
}

impl DiscoveryStub {
    /// Starts a discovery with this behaviour.
    pub fn start(behaviour: Discovery) -> Self {
        match behaviour {
            Discovery::Silent => Self::Server(silent_discovery()),
            Discovery::Refusing => Self::Absent(ClosedAddress::new()),
            Discovery::Closing => Self::Server(StubServer::new(|_, _| Reply::Close)),
            Discovery::Failing => Self::Server(StubServer::new(|_, _| {
                Reply::Respond(response("500 Internal Server Error", "no list"))
            })),
        }
    }

    /// Returns the address of the discovery.
    pub fn address(&self) -> SocketAddr {
        match self {
            Self::Server(server) => server.address,
            Self::Absent(closed) => closed.address,
        }
    }
}
