//! The endpoint list: the backends that service discovery reports.

use super::ids::{BackendId, CellId, Time, ZoneId};

/// The lifecycle of a backend in the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Status {
    /// The backend accepts requests.
    #[default]
    InService,
    /// The backend completes its open requests, and must not be sent new ones.
    Draining,
    /// The backend no longer exists.
    Removed,
}

/// The entry of one backend in the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// The backend.
    pub id: BackendId,
    /// The cell of the backend.
    pub cell: CellId,
    /// The zone of the backend.
    pub zone: ZoneId,
    /// The capacity of the backend relative to the capacities of the other backends; not negative.
    pub weight: f64,
    /// The lifecycle of the backend.
    pub status: Status,
    /// The time at which the backend started, in seconds of the balancer's clock; `None` if the backend
    /// started long ago.
    pub started_at: Option<Time>,
}

impl Default for Endpoint {
    fn default() -> Self {
        Self {
            id: BackendId(0),
            cell: CellId::default(),
            zone: ZoneId::default(),
            weight: 1.0,
            status: Status::InService,
            started_at: None,
        }
    }
}

/// An update of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum EndpointUpdate<'a> {
    /// The endpoints that have changed.
    Changes(&'a [Endpoint]),
    /// The complete list. A backend that is absent has been removed.
    Full(&'a [Endpoint]),
    /// The complete list that was stored before a restart of the balancer.
    Cached(&'a [Endpoint]),
    /// A poll failed, or the watch was interrupted.
    Failed,
    /// Discovery rejected a poll, because more calls arrive than discovery can serve.
    Rejected,
}
