//! What discovery tells of the endpoint list, in the terms of the engine.

use crate::Endpoint;
use std::net::SocketAddr;

/// WatchEvent of the list, as the engine hands it to the module.
#[derive(Debug)]
pub enum WatchEvent {
    /// Entries that changed.
    Changes(Vec<ListedEndpoint>),
    /// All entries.
    Full(Vec<ListedEndpoint>),
    /// All entries, as last had before the start.
    Cached(Vec<ListedEndpoint>),
    /// A call failed.
    Failed,
}

/// A backend of a list, and where it listens.
#[derive(Debug)]
pub struct ListedEndpoint {
    /// The module's part.
    pub endpoint: Endpoint,
    /// Its address.
    pub address: SocketAddr,
}
