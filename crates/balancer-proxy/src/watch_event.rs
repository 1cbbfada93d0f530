//! Events of the watch on the endpoint list, as discovery sends them to the engine.

use balancer::Endpoint;
use std::net::SocketAddr;

/// A list that the watch has received, or the failure of a call.
#[derive(Debug)]
pub enum WatchEvent {
    /// The endpoints that have changed. All other endpoints are unchanged.
    Changes(Vec<ListedEndpoint>),
    /// The full list. Endpoints that are not in the list have been removed.
    Full(Vec<ListedEndpoint>),
    /// The full list that the configuration file contained at startup.
    Cached(Vec<ListedEndpoint>),
    /// The failure of a call for the list. Sent only if the decision module schedules the next call.
    Failed,
    /// The rejection of a call for the list, as discovery is overloaded. Sent only if the decision module
    /// schedules the next call.
    Rejected,
}

/// A backend in the endpoint list, and its address.
#[derive(Debug)]
pub struct ListedEndpoint {
    /// The endpoint as the decision module sees it.
    pub endpoint: Endpoint,
    /// Address at which the backend accepts connections.
    pub address: SocketAddr,
}
