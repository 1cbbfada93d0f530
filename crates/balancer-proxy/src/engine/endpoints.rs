//! The backends and their connection pools.
//!
//! Owns one pool for each backend that is listed, and the time by which sends to a backend in
//! maintenance must end. A backend that is gone is forgotten once its grace period is over and no
//! attempt or health check uses its pool.

use crate::clock::Clock;
use crate::limits::Budget;
use crate::settings::ProxySettings;
use crate::upstream::pool::ConnectionPool;
use crate::watch_event::{ListedEndpoint, WatchEvent};
use balancer::{BackendId, Status, Time};
use std::collections::HashMap;
use std::rc::Rc;

/// All backends that requests may be sent to.
pub(super) struct Endpoints {
    pools: HashMap<BackendId, Rc<ConnectionPool>>,
    /// The backends in maintenance, and when sends to each must end.
    maintenance_deadlines: HashMap<BackendId, Time>,
    /// The connections to all backends together.
    connections: Rc<Budget>,
}

impl Endpoints {
    /// No backends; at most `max_connections` connections to all of them will be open at once.
    pub(super) fn new(max_connections: usize) -> Self {
        Self {
            pools: HashMap::new(),
            maintenance_deadlines: HashMap::new(),
            connections: Budget::new(max_connections),
        }
    }

    pub(super) fn pool(&self, backend: BackendId) -> Option<Rc<ConnectionPool>> {
        self.pools.get(&backend).cloned()
    }

    /// Whether a backend has a pool or is in maintenance.
    pub(super) fn is_known(&self, backend: BackendId) -> bool {
        self.pools.contains_key(&backend) || self.maintenance_deadlines.contains_key(&backend)
    }

    /// Applies the timeouts of these settings to all connections.
    pub(super) fn set_timeouts(&self, settings: &ProxySettings) {
        for pool in self.pools.values() {
            pool.set_timeouts(settings.connect_timeout, settings.idle_timeout);
        }
    }

    /// Puts a backend in maintenance, so that sends to it end by `last_send`. A backend that already is
    /// in maintenance keeps its deadline.
    pub(super) fn begin_maintenance(&mut self, backend: BackendId, last_send: Time) {
        let deadline = *self.maintenance_deadlines.entry(backend).or_insert(last_send);
        self.set_maintenance_deadline(backend, Some(deadline));
    }

    /// Ends the maintenance of a backend.
    pub(super) fn end_maintenance(&mut self, backend: BackendId) {
        self.maintenance_deadlines.remove(&backend);
        self.set_maintenance_deadline(backend, None);
    }

    fn set_maintenance_deadline(&self, backend: BackendId, deadline: Option<Time>) {
        if let Some(pool) = self.pools.get(&backend) {
            pool.set_maintenance_deadline(deadline);
        }
    }

    /// Brings the pools up to date with the endpoint list. Sends to backends that are draining or gone
    /// end by `last_send`.
    pub(super) fn apply_watch_event(
        &mut self,
        event: &WatchEvent,
        last_send: Time,
        settings: &ProxySettings,
    ) {
        if let WatchEvent::Full(listed) | WatchEvent::Cached(listed) = event {
            self.mark_unlisted_removed(listed, last_send);
        }
        for listed in listed_endpoints(event) {
            if listed.endpoint.status == Status::Removed {
                self.mark_removed(listed.endpoint.id, last_send);
            } else {
                self.upsert(listed, last_send, settings);
            }
        }
    }

    fn mark_unlisted_removed(&self, listed: &[ListedEndpoint], last_send: Time) {
        for (id, pool) in &self.pools {
            if !listed.iter().any(|listed| listed.endpoint.id == *id) {
                pool.mark_removed(last_send);
            }
        }
    }

    fn mark_removed(&self, backend: BackendId, last_send: Time) {
        if let Some(pool) = self.pools.get(&backend) {
            pool.mark_removed(last_send);
        }
    }

    fn upsert(&mut self, listed: &ListedEndpoint, last_send: Time, settings: &ProxySettings) {
        let ListedEndpoint { endpoint, address } = listed;
        let drain_deadline = (endpoint.status != Status::InService).then_some(last_send);
        let maintenance_deadline = self.maintenance_deadlines.get(&endpoint.id).copied();
        let pool = self.pools.entry(endpoint.id).or_insert_with(|| {
            let connections = self.connections.clone();
            let pool =
                ConnectionPool::new(*address, connections, settings.connect_timeout, settings.idle_timeout);
            pool.set_maintenance_deadline(maintenance_deadline);
            Rc::new(pool)
        });
        pool.update(*address, drain_deadline);
    }

    /// Closes the idle connections to a backend, and those in use as soon as they become idle.
    pub(super) fn retire_connections(&self, backend: BackendId) {
        if let Some(pool) = self.pools.get(&backend) {
            pool.retire_connections();
        }
    }

    /// Closes the connections that have been idle for too long.
    pub(super) fn sweep_idle(&self) {
        for pool in self.pools.values() {
            pool.sweep_idle();
        }
    }

    /// Forgets the backends that are gone and past their grace period, so that memory stays bounded
    /// where backends are replaced all the time. A pool with a single reference is used by no attempt
    /// and no health check.
    pub(super) fn forget_removed(&mut self, clock: &Clock) {
        self.pools.retain(|_, pool| Rc::strong_count(pool) > 1 || !pool.can_be_forgotten(clock));
    }

    /// Sets how many connections may be open at once, and closes idle ones beyond that.
    pub(super) fn set_connection_limit(&self, max_connections: usize) {
        self.connections.set_limit(max_connections);
        while self.connections.is_exceeded() && self.evict_oldest_idle() {}
    }

    /// Closes an idle connection if no further one may be opened, as an attempt may need one.
    pub(super) fn evict_idle_if_full(&self) {
        if self.connections.is_full() {
            self.evict_oldest_idle();
        }
    }

    /// Closes the connection that has been idle longest. Returns whether there was one.
    fn evict_oldest_idle(&self) -> bool {
        let idle = self.pools.values().filter(|pool| pool.idle_since().is_some());
        let Some(pool) = idle.min_by_key(|pool| pool.idle_since()) else {
            return false;
        };
        pool.close_oldest_idle();
        true
    }
}

/// The endpoints that an event lists.
fn listed_endpoints(event: &WatchEvent) -> &[ListedEndpoint] {
    match event {
        WatchEvent::Full(listed) | WatchEvent::Cached(listed) | WatchEvent::Changes(listed) => listed,
        WatchEvent::Failed => &[],
    }
}

/// Whether an event lists a backend that is in service.
pub(super) fn lists_in_service(event: &WatchEvent) -> bool {
    listed_endpoints(event).iter().any(|listed| listed.endpoint.status == Status::InService)
}
