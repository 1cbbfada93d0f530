//! The numbered endpoint lists that updates of all instances refer to. The entries are kept between batches.

use crate::wire::{LIST_COUNT, ListId, ListUpdate};
use balancer::{Endpoint, EndpointUpdate};

/// The endpoint lists, by their numbers. Each line of an endpoint adds one entry to a list.
#[derive(Default)]
pub(super) struct EndpointLists {
    lists: [Vec<Endpoint>; LIST_COUNT],
}

impl EndpointLists {
    /// Removes all entries of a list.
    pub(super) fn clear(&mut self, list: ListId) {
        self.lists[list.index()].clear();
    }

    /// Adds an entry to a list.
    pub(super) fn push(&mut self, list: ListId, endpoint: Endpoint) {
        self.lists[list.index()].push(endpoint);
    }

    /// Returns the update with the entries of its list, in the type of the decision module.
    pub(super) fn endpoint_update(&self, update: ListUpdate) -> EndpointUpdate<'_> {
        match update {
            ListUpdate::Changes(list) => EndpointUpdate::Changes(&self.lists[list.index()]),
            ListUpdate::Full(list) => EndpointUpdate::Full(&self.lists[list.index()]),
            ListUpdate::Cached(list) => EndpointUpdate::Cached(&self.lists[list.index()]),
            ListUpdate::Failed => EndpointUpdate::Failed,
        }
    }
}
