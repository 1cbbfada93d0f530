//! Events of the watch on the endpoint list, as discovery sends them to the engine.

use balancer::Endpoint;
use std::net::SocketAddr;

/// A list that the watch has received, or a call that has failed.
#[derive(Debug)]
pub enum WatchEvent {
    /// Endpoints that have changed; all other endpoints are as before.
    Changes(Vec<ListedEndpoint>),
    /// The full list: endpoints that the list does not have are gone.
    Full(Vec<ListedEndpoint>),
    /// The full list as the configuration file had it at startup.
    Cached(Vec<ListedEndpoint>),
    /// A call for the list has failed. Sent only if the decision module schedules the next call.
    Failed,
}

/// A backend in the list, and its address.
#[derive(Debug)]
pub struct ListedEndpoint {
    /// The endpoint as the decision module sees it.
    pub endpoint: Endpoint,
    /// Address at which the backend accepts connections.
    pub address: SocketAddr,
}
