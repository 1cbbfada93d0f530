//! The endpoint lists that updates refer to. Owns their endpoints, which last from batch to batch.

use crate::wire::{LIST_COUNT, ListId, ListUpdate};
use balancer::{Endpoint, EndpointUpdate};

/// The endpoint lists, which are filled by one line for each endpoint.
#[derive(Default)]
pub(super) struct EndpointLists {
    lists: [Vec<Endpoint>; LIST_COUNT],
}

impl EndpointLists {
    pub(super) fn clear(&mut self, list: ListId) {
        self.lists[list.index()].clear();
    }

    pub(super) fn push(&mut self, list: ListId, endpoint: Endpoint) {
        self.lists[list.index()].push(endpoint);
    }

    pub(super) fn endpoint_update(&self, update: ListUpdate) -> EndpointUpdate<'_> {
        match update {
            ListUpdate::Changes(list) => EndpointUpdate::Changes(&self.lists[list.index()]),
            ListUpdate::Full(list) => EndpointUpdate::Full(&self.lists[list.index()]),
            ListUpdate::Cached(list) => EndpointUpdate::Cached(&self.lists[list.index()]),
            ListUpdate::Failed => EndpointUpdate::Failed,
        }
    }
}
