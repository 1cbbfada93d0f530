//! The discovery of a scenario run, which never sends an endpoint list.

use super::scenario::Discovery;
use crate::common::closed_address::ClosedAddress;
use crate::common::http::response;
use crate::common::stub_server::{Reply, StubServer, silent_discovery};
use std::net::SocketAddr;

/// A discovery that exists until the value is dropped.
pub enum DiscoveryStub {
    /// A server that receives calls.
    Server(StubServer),
    /// An address on which nothing listens.
    Unreachable(ClosedAddress),
}

impl DiscoveryStub {
    /// Starts a discovery with this behaviour.
    pub fn start(behaviour: Discovery) -> Self {
        match behaviour {
            Discovery::Silent => Self::Server(silent_discovery()),
            Discovery::Refusing => Self::Unreachable(ClosedAddress::new()),
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
            Self::Unreachable(closed) => closed.address,
        }
    }
}
