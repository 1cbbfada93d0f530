//! Events of the watch on the endpoint list, as discovery sends them to the engine.

use balancer::Endpoint;
use std::net::SocketAddr;

/// What the watch has brought.
#[derive(Debug)]
pub enum WatchEvent {
    /// Endpoints that have changed; all others are as before.
    Changes(Vec<ListedEndpoint>),
    /// The full list: endpoints that are not in it are gone.
    Full(Vec<ListedEndpoint>),
    /// The full list as it was cached before startup.
    Cached(Vec<ListedEndpoint>),
    /// A call for the list has failed. Sent only if the decision module schedules the next one.
    Failed,
}

/// A backend in the list, and its address.
#[derive(Debug)]
pub struct ListedEndpoint {
    /// The part that the decision module reads.
    pub endpoint: Endpoint,
    /// Address of the backend.
    pub address: SocketAddr,
}
