//! The backends and their connection pools.
//!
//! [`Endpoints`] owns one connection pool for each listed backend, and the send deadlines of the backends in
//! maintenance. The pool of a removed backend is dropped once its grace period is over and no attempt or
//! health check uses the pool.

use crate::clock::Clock;
use crate::limits::Budget;
use crate::settings::ProxySettings;
use crate::upstream::pool::{ConnectionPool, ConnectionTimeouts};
use crate::watch_event::{ListedEndpoint, WatchEvent};
use balancer::{BackendId, Status, Time};
use std::collections::HashMap;
use std::rc::Rc;

/// All backends to which requests may be sent.
pub(super) struct Endpoints {
    pools: HashMap<BackendId, Rc<ConnectionPool>>,
    /// For each backend in maintenance, the time by which sends must end, in seconds of the proxy's clock.
    maintenance_deadlines: HashMap<BackendId, Time>,
    /// The budget for the connections to all backends together.
    connection_budget: Rc<Budget>,
}

impl Endpoints {
    /// Creates an empty set of backends. At most `max_connections` connections to all backends together
    /// will be open at once.
    pub(super) fn new(max_connections: usize) -> Self {
        Self {
            pools: HashMap::new(),
            maintenance_deadlines: HashMap::new(),
            connection_budget: Budget::new(max_connections),
        }
    }

    /// Returns the connection pool of a backend, or `None` if the backend has no pool.
    pub(super) fn pool(&self, backend: BackendId) -> Option<Rc<ConnectionPool>> {
        self.pools.get(&backend).cloned()
    }

    /// Returns whether a backend has a pool or is in maintenance.
    pub(super) fn is_in_use(&self, backend: BackendId) -> bool {
        self.pools.contains_key(&backend) || self.maintenance_deadlines.contains_key(&backend)
    }

    /// Applies the timeouts of these settings to all pools.
    pub(super) fn set_timeouts(&self, settings: &ProxySettings) {
        for pool in self.pools.values() {
            pool.set_timeouts(connection_timeouts(settings));
        }
    }

    /// Puts a backend in maintenance: sends to the backend must end by `send_deadline`. A backend that is
    /// already in maintenance keeps its deadline.
    pub(super) fn start_maintenance(&mut self, backend: BackendId, send_deadline: Time) {
        let deadline = *self.maintenance_deadlines.entry(backend).or_insert(send_deadline);
        if let Some(pool) = self.pools.get(&backend) {
            pool.start_maintenance(deadline);
        }
    }

    /// Ends the maintenance of a backend.
    pub(super) fn end_maintenance(&mut self, backend: BackendId) {
        self.maintenance_deadlines.remove(&backend);
        if let Some(pool) = self.pools.get(&backend) {
            pool.end_maintenance();
        }
    }

    /// Updates the pools from the endpoint list. Sends to backends that are draining or removed must end by
    /// `send_deadline`, in seconds of the proxy's clock.
    pub(super) fn apply_watch_event(
        &mut self,
        event: &WatchEvent,
        send_deadline: Time,
        settings: &ProxySettings,
    ) {
        if let WatchEvent::Full(listed) | WatchEvent::Cached(listed) = event {
            self.mark_unlisted_removed(listed, send_deadline);
        }
        for listed in listed_endpoints(event) {
            if listed.endpoint.status == Status::Removed {
                self.mark_removed(listed.endpoint.id, send_deadline);
            } else {
                self.upsert(listed, send_deadline, settings);
            }
        }
    }

    fn mark_unlisted_removed(&self, listed: &[ListedEndpoint], send_deadline: Time) {
        for (id, pool) in &self.pools {
            if !listed.iter().any(|listed| listed.endpoint.id == *id) {
                pool.set_removed(send_deadline);
            }
        }
    }

    fn mark_removed(&self, backend: BackendId, send_deadline: Time) {
        if let Some(pool) = self.pools.get(&backend) {
            pool.set_removed(send_deadline);
        }
    }

    fn upsert(&mut self, listed: &ListedEndpoint, send_deadline: Time, settings: &ProxySettings) {
        let ListedEndpoint { endpoint, address } = listed;
        let maintenance_deadline = self.maintenance_deadlines.get(&endpoint.id).copied();
        let pool = self.pools.entry(endpoint.id).or_insert_with(|| {
            let timeouts = connection_timeouts(settings);
            let pool = ConnectionPool::new(*address, self.connection_budget.clone(), timeouts);
            if let Some(deadline) = maintenance_deadline {
                pool.start_maintenance(deadline);
            }
            Rc::new(pool)
        });
        if endpoint.status == Status::InService {
            pool.set_in_service(*address);
        } else {
            pool.set_draining(*address, send_deadline);
        }
    }

    /// Closes the idle connections to a backend, and the connections in use as soon as they become idle.
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

    /// Drops the pools of removed backends whose grace periods are over, so that memory stays bounded where
    /// backends are replaced all the time. A pool with a single reference is not used by any attempt or
    /// health check, and may be dropped.
    pub(super) fn drop_expired_pools(&mut self, clock: &Clock) {
        self.pools.retain(|_, pool| Rc::strong_count(pool) > 1 || !pool.is_removal_expired(clock));
    }

    /// Limits the connections that are open at once, and closes idle ones beyond the limit.
    pub(super) fn set_connection_limit(&self, max_connections: usize) {
        self.connection_budget.set_limit(max_connections);
        while self.connection_budget.is_exceeded() && self.evict_oldest_idle() {}
    }

    /// Closes an idle connection if the limit is reached, so that the next attempt can open one.
    pub(super) fn evict_idle_if_full(&self) {
        if self.connection_budget.is_full() {
            self.evict_oldest_idle();
        }
    }

    /// Closes the connection that has been idle longest. Returns whether an idle connection existed.
    fn evict_oldest_idle(&self) -> bool {
        let idle = self.pools.values().filter(|pool| pool.idle_since().is_some());
        let Some(pool) = idle.min_by_key(|pool| pool.idle_since()) else {
            return false;
        };
        pool.close_oldest_idle();
        true
    }
}

/// Returns the timeouts of connections to backends from the settings.
fn connection_timeouts(settings: &ProxySettings) -> ConnectionTimeouts {
    ConnectionTimeouts { connect: settings.connect_timeout, idle: settings.idle_timeout }
}

/// Returns the endpoints that an event lists.
fn listed_endpoints(event: &WatchEvent) -> &[ListedEndpoint] {
    match event {
        WatchEvent::Full(listed) | WatchEvent::Cached(listed) | WatchEvent::Changes(listed) => listed,
        WatchEvent::Failed | WatchEvent::Rejected => &[],
    }
}

/// Returns whether an event lists a backend that is in service.
pub(super) fn lists_in_service(event: &WatchEvent) -> bool {
    listed_endpoints(event).iter().any(|listed| listed.endpoint.status == Status::InService)
}
