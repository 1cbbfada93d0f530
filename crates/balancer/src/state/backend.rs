//! What is known of each backend, and the table of them.

use super::token_bucket::TokenBucket;
use crate::{BackendId, Endpoint, Status, Time};
use std::collections::HashMap;
use std::ops::{Index, IndexMut};

/// The index of a backend in the table, valid for as long as a call or an attempt refers to it.
pub(crate) type BackendIndex = usize;

/// Latency of a backend relative to the usual one of the class; 1 is usual.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Slowness {
    /// Latency over the usual one.
    pub ratio: f64,
    /// When the ratio was last updated.
    pub at: Time,
}

impl Slowness {
    /// Nothing is known that would set the backend apart.
    pub fn usual(now: Time) -> Self {
        Self { ratio: 1.0, at: now }
    }
}

/// What is known of a backend.
#[derive(Debug)]
pub(crate) struct Backend {
    /// What the endpoint list says of it.
    pub endpoint: Endpoint,
    /// Attempts in flight whose request has been received completely.
    pub in_flight: usize,
    /// Attempts of unfinished calls that refer to it.
    pub references: usize,
    /// How slow it is relative to the usual latency.
    pub slowness: Slowness,
    /// When it last answered an attempt successfully.
    pub last_success_at: Time,
    /// When it last showed that it works, or got a call while it had none.
    pub last_active_at: Time,
    /// What may be sent to it while it is warming up, in requests.
    pub slow_start_budget: TokenBucket,
    /// How long a request takes it, by its load reports, in seconds.
    pub service_time: Option<Time>,
}

impl Backend {
    fn new(endpoint: Endpoint, now: Time) -> Self {
        Self {
            endpoint,
            in_flight: 0,
            references: 0,
            slowness: Slowness::usual(now),
            last_success_at: f64::NEG_INFINITY,
            last_active_at: now,
            slow_start_budget: TokenBucket::empty_at(now),
            service_time: None,
        }
    }

    /// A call has begun to run on it.
    pub fn begin_call(&mut self, now: Time) {
        if self.in_flight == 0 {
            self.last_active_at = now;
        }
        self.in_flight += 1;
    }

    /// It has been restarted: what was learned of its speed no longer holds.
    pub fn restarted(&mut self, now: Time) {
        self.slowness = Slowness::usual(now);
        self.slow_start_budget = TokenBucket::empty_at(now);
    }

    /// Nothing refers to it any more, and the endpoint list doesn't name it.
    fn is_unused(&self) -> bool {
        self.endpoint.status == Status::Removed && self.in_flight == 0 && self.references == 0
    }
}

/// All backends that are known, those included that have been removed from the list while attempts still
/// refer to them. An index stays valid until [`BackendTable::forget_unused`] finds the backend unused.
#[derive(Debug, Default)]
pub(crate) struct BackendTable {
    backends: Vec<Backend>,
    by_id: HashMap<BackendId, BackendIndex>,
    /// Indices of forgotten backends, for new ones.
    vacant: Vec<BackendIndex>,
}

impl BackendTable {
    /// The index of a backend, if it is known.
    pub fn index_of(&self, id: BackendId) -> Option<BackendIndex> {
        self.by_id.get(&id).copied()
    }

    /// Number of known backends.
    pub fn known(&self) -> usize {
        self.by_id.len()
    }

    /// All indices, in use or vacant.
    pub fn indices(&self) -> std::ops::Range<BackendIndex> {
        0..self.backends.len()
    }

    /// All backends, removed ones included.
    pub fn iter(&self) -> impl Iterator<Item = &Backend> {
        self.backends.iter()
    }

    /// Updates a backend from the endpoint list, or adds it if it is not known.
    pub fn upsert(&mut self, endpoint: &Endpoint, now: Time) -> BackendIndex {
        let Some(index) = self.index_of(endpoint.id) else {
            return self.add(Backend::new(endpoint.clone(), now));
        };
        let backend = &mut self.backends[index];
        if backend.endpoint.started_at != endpoint.started_at {
            backend.restarted(now);
        }
        backend.endpoint = endpoint.clone();
        index
    }

    fn add(&mut self, backend: Backend) -> BackendIndex {
        let index = self.vacant.pop().unwrap_or(self.backends.len());
        self.by_id.insert(backend.endpoint.id, index);
        match self.backends.get_mut(index) {
            Some(vacant) => *vacant = backend,
            None => self.backends.push(backend),
        }
        index
    }

    /// Marks all as removed, ahead of a complete list.
    pub fn mark_all_removed(&mut self) {
        for backend in &mut self.backends {
            backend.endpoint.status = Status::Removed;
        }
    }

    /// Forgets removed backends that no call or attempt refers to. Where all are replaced by ever new
    /// ones, keeping them would grow without end.
    pub fn forget_unused(&mut self) {
        for (index, backend) in self.backends.iter().enumerate() {
            let id = backend.endpoint.id;
            if backend.is_unused() && self.by_id.get(&id) == Some(&index) {
                self.by_id.remove(&id);
                self.vacant.push(index);
            }
        }
    }
}

impl Index<BackendIndex> for BackendTable {
    type Output = Backend;

    fn index(&self, index: BackendIndex) -> &Backend {
        &self.backends[index]
    }
}

impl IndexMut<BackendIndex> for BackendTable {
    fn index_mut(&mut self, index: BackendIndex) -> &mut Backend {
        &mut self.backends[index]
    }
}
