//! The endpoint table: the entry of the endpoint list for each known backend.

use crate::interface::{BackendId, Endpoint, Status};
use crate::support::{BackendIndex, BackendMap};
use std::collections::HashMap;

/// The change that an update of the endpoint list makes to the entry of a backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EndpointChange {
    /// The backend was not known. Its index may have belonged to another backend before.
    Added,
    /// The backend has restarted: its start time differs from the previous entry.
    Restarted,
    /// The start time is unchanged. Other fields may differ.
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

/// All known backends. The entry of a backend that was removed from the endpoint list stays while attempts
/// refer to the backend, until [`EndpointTable::remove_unreferenced`] removes the entry.
#[derive(Debug, Default)]
pub(super) struct EndpointTable {
    endpoints: BackendMap<Endpoint>,
    by_id: HashMap<BackendId, BackendIndex>,
    /// The indices of removed entries, to be reused for new backends.
    free_indices: Vec<BackendIndex>,
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

    /// Returns all indices in ascending order, including the indices of removed entries.
    pub fn indices(&self) -> impl Iterator<Item = BackendIndex> + use<> {
        self.endpoints.indices()
    }

    /// Returns the endpoints that the endpoint list contains.
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
        let index = self.free_indices.pop().unwrap_or(self.endpoints.next_index());
        self.by_id.insert(endpoint.id, index);
        self.endpoints.insert(index, endpoint.clone());
        UpsertedEndpoint { index, change: EndpointChange::Added }
    }

    /// Marks all endpoints as removed. Applying a complete list afterwards marks the endpoints in that list
    /// as present again.
    pub fn mark_all_removed(&mut self) {
        for endpoint in self.endpoints.values_mut() {
            endpoint.status = Status::Removed;
        }
    }

    /// Removes the entry of each backend that the endpoint list no longer contains, unless `is_referenced`
    /// returns true. The table would otherwise grow without bound where deployments replace all backends
    /// again and again.
    pub fn remove_unreferenced(&mut self, is_referenced: impl Fn(BackendIndex) -> bool) {
        for index in self.endpoints.indices() {
            let Endpoint { id, status, .. } = self.endpoints[index];
            if status != Status::Removed || is_referenced(index) {
                continue;
            }
            let has_entry = self.by_id.get(&id) == Some(&index);
            if has_entry {
                self.by_id.remove(&id);
                self.free_indices.push(index);
            }
        }
    }
}
