//! The endpoint table: the entry of each known backend in the endpoint list.

use crate::interface::{BackendId, Endpoint, Status};
use crate::support::{BackendIndex, BackendMap};
use std::collections::HashMap;

/// The change that an update of the endpoint list makes to the entry of a backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EndpointChange {
    /// The backend was not known. Its index may have been that of another backend before.
    Added,
    /// The backend has been restarted, as its start time differs.
    Restarted,
    /// Another field may differ.
    Updated,
}

/// The result of [`EndpointTable::upsert`].
#[derive(Clone, Copy, Debug)]
pub(super) struct UpsertedEndpoint {
    /// The index of the backend.
    pub index: BackendIndex,
    /// The change of its entry.
    pub change: EndpointChange,
}

/// All known backends. A backend that has been removed from the list stays known while attempts refer to
/// it, until [`EndpointTable::forget_removed`] drops its entry.
#[derive(Debug, Default)]
pub(super) struct EndpointTable {
    endpoints: BackendMap<Endpoint>,
    by_id: HashMap<BackendId, BackendIndex>,
    /// The indices of forgotten backends, which are reused for new ones.
    vacant: Vec<BackendIndex>,
}

impl EndpointTable {
    /// Returns the index of a backend, if the backend is known.
    pub fn index_of(&self, id: BackendId) -> Option<BackendIndex> {
        self.by_id.get(&id).copied()
    }

    /// Returns the entry of a backend.
    pub fn get(&self, index: BackendIndex) -> &Endpoint {
        &self.endpoints[index]
    }

    /// Returns the number of known backends.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Returns all indices in ascending order, those of forgotten backends included.
    pub fn indices(&self) -> impl Iterator<Item = BackendIndex> + use<> {
        self.endpoints.indices()
    }

    /// Returns the endpoints that the list names.
    pub fn listed(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.values().filter(|endpoint| endpoint.status != Status::Removed)
    }

    /// Updates the entry of a backend, or adds one if the backend is not known.
    pub fn upsert(&mut self, endpoint: &Endpoint) -> UpsertedEndpoint {
        let Some(index) = self.index_of(endpoint.id) else {
            return self.add(endpoint);
        };
        let has_restarted = self.endpoints[index].started_at != endpoint.started_at;
        let change = if has_restarted { EndpointChange::Restarted } else { EndpointChange::Updated };
        self.endpoints.insert(index, endpoint.clone());
        UpsertedEndpoint { index, change }
    }

    fn add(&mut self, endpoint: &Endpoint) -> UpsertedEndpoint {
        let index = self.vacant.pop().unwrap_or(self.endpoints.next_index());
        self.by_id.insert(endpoint.id, index);
        self.endpoints.insert(index, endpoint.clone());
        UpsertedEndpoint { index, change: EndpointChange::Added }
    }

    /// Marks all endpoints as removed. A complete list then marks those that it names as present.
    pub fn mark_all_removed(&mut self) {
        for endpoint in self.endpoints.values_mut() {
            endpoint.status = Status::Removed;
        }
    }

    /// Forgets the removed backends for which `is_referenced` returns false. Where deployments replace all
    /// backends again and again, the table would otherwise grow without bound.
    pub fn forget_removed(&mut self, is_referenced: impl Fn(BackendIndex) -> bool) {
        for index in self.endpoints.indices() {
            let Endpoint { id, status, .. } = self.endpoints[index];
            if status != Status::Removed || is_referenced(index) {
                continue;
            }
            let is_known = self.by_id.get(&id) == Some(&index);
            if is_known {
                self.by_id.remove(&id);
                self.vacant.push(index);
            }
        }
    }
}
