//! The endpoint list: the backends as discovery knows them.

use super::ids::{BackendId, Time};

/// The lifecycle of a backend in the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Status {
    /// Takes requests.
    #[default]
    InService,
    /// Finishes what it has; nothing new may be sent to it.
    Draining,
    /// No longer there.
    Removed,
}

/// What the endpoint list says of one backend.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Which backend.
    pub id: BackendId,
    /// Its cell.
    pub cell: u32,
    /// Its zone.
    pub zone: u32,
    /// Its capacity relative to that of the others; not negative.
    pub weight: f64,
    /// Its lifecycle.
    pub status: Status,
    /// When it started, where that is not long past, in seconds of the balancer's clock.
    pub started_at: Option<Time>,
}

impl Default for Endpoint {
    fn default() -> Self {
        Self { id: BackendId(0), cell: 0, zone: 0, weight: 1.0, status: Status::InService, started_at: None }
    }
}

/// What is heard of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum EndpointUpdate<'a> {
    /// Endpoints that have changed.
    Changes(&'a [Endpoint]),
    /// The complete list: what is absent has been removed.
    Full(&'a [Endpoint]),
    /// The complete list as it was known before a restart.
    Cached(&'a [Endpoint]),
    /// A poll failed, or the watch broke.
    Failed,
}
