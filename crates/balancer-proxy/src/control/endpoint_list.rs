//! The JSON format of the endpoint list from discovery, and the translation of the list for the decision
//! module, which uses ids in place of the names of backends and zones.

mod zone_names;

use self::zone_names::ZoneNames;
use crate::clock::Clock;
use crate::watch_event::ListedEndpoint;
use balancer::{BackendId, CellId, Endpoint, Status, ZoneId};
use serde::Deserialize;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

/// The initial value of the 32-bit FNV-1a hash (Fowler, Noll and Vo).
const FNV_OFFSET_BASIS: u32 = 0x811c_9dc5;
/// The multiplier of the 32-bit FNV-1a hash.
const FNV_PRIME: u32 = 0x0100_0193;

const MILLISECONDS_PER_SECOND: f64 = 1000.0;

/// Weight of an endpoint whose weight is absent, negative or not finite.
const DEFAULT_WEIGHT: f64 = 1.0;

/// The JSON of a list: all endpoints, or the endpoints that have changed.
#[derive(Debug, Default, Deserialize)]
pub struct RawEndpointList {
    /// Number of the list, which increases with each change.
    pub(super) generation: u64,
    /// Whether the list is complete, so that an endpoint that the list lacks is removed.
    pub(super) reset: bool,
    /// All endpoints if the list is complete, or else the endpoints that have changed.
    pub(super) instances: Vec<RawEndpoint>,
}

/// The JSON of an endpoint.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct RawEndpoint {
    /// Name of the backend.
    pub(super) instance_id: String,
    /// Address at which the backend accepts connections.
    host_port: SocketAddr,
    /// Name of the zone of the backend.
    #[serde(default)]
    zone: String,
    /// Number of the cell of the backend.
    #[serde(default)]
    cell: u32,
    /// Whether the backend accepts new requests.
    lifecycle: RawLifecycle,
    /// Relative share of the load that the backend receives; [`DEFAULT_WEIGHT`] if absent or invalid.
    weight: Option<f64>,
    /// Unix time of the start of the backend, in milliseconds; 0 if the backend started long ago.
    #[serde(default)]
    started_at_ms: f64,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
enum RawLifecycle {
    Serving,
    Draining,
    Deleted,
}

impl From<RawLifecycle> for Status {
    fn from(raw: RawLifecycle) -> Self {
        match raw {
            RawLifecycle::Serving => Self::InService,
            RawLifecycle::Draining => Self::Draining,
            RawLifecycle::Deleted => Self::Removed,
        }
    }
}

/// Maps the names of backends and zones to their ids in this process.
#[derive(Debug)]
pub(super) struct EndpointNames {
    /// The zones of the settings and of the backends in use.
    zones: ZoneNames,
    /// The id of each backend, by its name.
    backend_ids: HashMap<String, BackendId>,
    /// All values of `backend_ids`, for a fast check whether an id is free.
    assigned_backend_ids: HashSet<BackendId>,
    /// The zone of each listed backend.
    backend_zones: HashMap<BackendId, ZoneId>,
}

impl EndpointNames {
    /// Creates a table with the zones of the settings and without backends.
    pub(super) fn new(zones: &[String]) -> Self {
        Self {
            zones: ZoneNames::from_settings(zones),
            backend_ids: HashMap::new(),
            assigned_backend_ids: HashSet::new(),
            backend_zones: HashMap::new(),
        }
    }

    /// Returns the id of a zone, or `None` if neither settings nor a backend in use has named the zone.
    pub(super) fn find_zone(&self, name: &str) -> Option<ZoneId> {
        self.zones.find(name)
    }

    /// Returns the id of a zone in the settings in force. A new zone gets the next id. The zone keeps its id
    /// for as long as the process runs.
    pub(super) fn assign_settings_zone(&mut self, name: &str) -> ZoneId {
        self.zones.assign_for_settings(name)
    }

    /// Returns the id of a backend: the hash of its name, or the next free number if another backend has
    /// that id. Proxies thus use the same ids, which they need to divide the backends among themselves.
    pub(super) fn backend_id(&mut self, name: &str) -> BackendId {
        if let Some(&id) = self.backend_ids.get(name) {
            return id;
        }
        let mut id = BackendId(fnv1a(name));
        while self.assigned_backend_ids.contains(&id) {
            id = BackendId(id.0.wrapping_add(1));
        }
        self.assigned_backend_ids.insert(id);
        self.backend_ids.insert(name.to_string(), id);
        id
    }

    /// Releases the ids of all backends that are not in use, and of all zones without a backend in use,
    /// except for zones in settings. A backend that is listed again gets the same id, as the id depends on
    /// the name.
    pub(super) fn retain_backends(&mut self, is_in_use: impl Fn(BackendId) -> bool) {
        self.backend_ids.retain(|_, id| is_in_use(*id));
        self.assigned_backend_ids.retain(|id| is_in_use(*id));
        self.backend_zones.retain(|id, _| is_in_use(*id));
        let zones_in_use: HashSet<ZoneId> = self.backend_zones.values().copied().collect();
        self.zones.retain(|zone| zones_in_use.contains(&zone));
    }

    /// Translates endpoints, and converts their start times to times of `clock`.
    pub(super) fn translate(&mut self, raw: Vec<RawEndpoint>, clock: &Clock) -> Vec<ListedEndpoint> {
        raw.into_iter().map(|raw| self.translate_endpoint(&raw, clock)).collect()
    }

    fn translate_endpoint(&mut self, raw: &RawEndpoint, clock: &Clock) -> ListedEndpoint {
        let is_valid_weight = |weight: &f64| weight.is_finite() && *weight >= 0.0;
        let started_at_seconds = raw.started_at_ms / MILLISECONDS_PER_SECOND;
        let id = self.backend_id(&raw.instance_id);
        let zone = self.zones.find_or_assign(&raw.zone);
        self.backend_zones.insert(id, zone);
        let endpoint = Endpoint {
            id,
            cell: CellId(raw.cell),
            zone,
            weight: raw.weight.filter(is_valid_weight).unwrap_or(DEFAULT_WEIGHT),
            status: raw.lifecycle.into(),
            started_at: (raw.started_at_ms > 0.0).then(|| clock.from_unix_time(started_at_seconds)),
        };
        ListedEndpoint { endpoint, address: raw.host_port }
    }
}

/// Returns the 32-bit FNV-1a hash of a text.
fn fnv1a(text: &str) -> u32 {
    text.bytes().fold(FNV_OFFSET_BASIS, |hash, byte| (hash ^ u32::from(byte)).wrapping_mul(FNV_PRIME))
}

#[cfg(test)]
mod tests;
