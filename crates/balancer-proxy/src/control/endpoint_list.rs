//! The endpoint list as discovery writes it, and its translation into the terms of the decision
//! module: ids in place of names, indices in place of zones.

use crate::clock::Clock;
use crate::watch_event::ListedEndpoint;
use balancer::{BackendId, Endpoint, Status};
use serde::Deserialize;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

/// Parameters of the 32-bit FNV-1a hash (Fowler, Noll and Vo).
const FNV_OFFSET_BASIS: u32 = 0x811c_9dc5;
const FNV_PRIME: u32 = 0x0100_0193;

const MILLISECONDS_PER_SECOND: f64 = 1000.0;

/// Weight of an endpoint that has none, or one that is negative or not finite.
const DEFAULT_WEIGHT: f64 = 1.0;

/// A list as discovery writes it: all endpoints, or those that have changed.
#[derive(Debug, Default, Deserialize)]
pub struct RawEndpointList {
    /// Increases with each change of the list.
    pub(super) generation: u64,
    /// The list is complete: endpoints that are not in it are gone.
    pub(super) reset: bool,
    pub(super) instances: Vec<RawEndpoint>,
}

/// An endpoint as discovery writes it.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct RawEndpoint {
    pub(super) instance_id: String,
    host_port: SocketAddr,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    cell: u32,
    lifecycle: RawLifecycle,
    weight: Option<f64>,
    /// Unix time in milliseconds; 0 if the endpoint has been running for long.
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

/// Index of a zone in `zones`, where it is appended if it is new.
pub(super) fn zone_index(zones: &mut Vec<String>, name: &str) -> u32 {
    let index = zones.iter().position(|zone| zone == name).unwrap_or_else(|| {
        zones.push(name.to_string());
        zones.len() - 1
    });
    index as u32
}

/// The ids and indices that discovery's names have in this process.
#[derive(Debug)]
pub(super) struct EndpointNames {
    /// A zone's index is its position here, and never changes.
    zones: Vec<String>,
    ids: HashMap<String, BackendId>,
    /// All values of `ids`.
    assigned_ids: HashSet<BackendId>,
}

impl EndpointNames {
    /// Names with these zones and no backends.
    pub(super) fn new(zones: Vec<String>) -> Self {
        Self { zones, ids: HashMap::new(), assigned_ids: HashSet::new() }
    }

    /// Index of a zone, which it keeps from then on.
    pub(super) fn zone_index(&mut self, name: &str) -> u32 {
        zone_index(&mut self.zones, name)
    }

    /// Id of a backend. It is the hash of its name, or the next free number after that. All proxies
    /// thus have the same ids, by which they divide the backends among themselves.
    pub(super) fn id(&mut self, name: &str) -> BackendId {
        if let Some(&id) = self.ids.get(name) {
            return id;
        }
        let mut id = BackendId(fnv1a(name));
        while self.assigned_ids.contains(&id) {
            id = BackendId(id.0.wrapping_add(1));
        }
        self.assigned_ids.insert(id);
        self.ids.insert(name.to_string(), id);
        id
    }

    /// Releases the ids of all backends that are no longer in use. One that comes back gets the same
    /// id, as that depends on its name.
    pub(super) fn release_unless(&mut self, is_in_use: impl Fn(BackendId) -> bool) {
        self.ids.retain(|_, id| is_in_use(*id));
        self.assigned_ids.retain(|id| is_in_use(*id));
    }

    /// Translates endpoints. Their start times are converted to those of `clock`.
    pub(super) fn translate(&mut self, raw: Vec<RawEndpoint>, clock: &Clock) -> Vec<ListedEndpoint> {
        raw.into_iter().map(|raw| self.translate_endpoint(&raw, clock)).collect()
    }

    fn translate_endpoint(&mut self, raw: &RawEndpoint, clock: &Clock) -> ListedEndpoint {
        let is_valid_weight = |weight: &f64| weight.is_finite() && *weight >= 0.0;
        let started_at_seconds = raw.started_at_ms / MILLISECONDS_PER_SECOND;
        let endpoint = Endpoint {
            id: self.id(&raw.instance_id),
            cell: raw.cell,
            zone: self.zone_index(&raw.zone),
            weight: raw.weight.filter(is_valid_weight).unwrap_or(DEFAULT_WEIGHT),
            status: raw.lifecycle.into(),
            started_at: (raw.started_at_ms > 0.0).then(|| clock.from_unix_time(started_at_seconds)),
        };
        ListedEndpoint { endpoint, address: raw.host_port }
    }
}

fn fnv1a(text: &str) -> u32 {
    text.bytes().fold(FNV_OFFSET_BASIS, |hash, byte| (hash ^ u32::from(byte)).wrapping_mul(FNV_PRIME))
}
