//! The table of all client connections: its limit, the eviction of idle connections when the table is
//! full, and the closing of connections that have timed out. Each connection owns a slot of the table
//! until the slot is dropped.

use super::client_connection::ClientConnection;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;

/// One slot in this many is reserved for connections whose requests are rejected because all other
/// connections are busy.
const SLOTS_PER_REJECTION_SLOT: usize = 8;
/// Longest duration of [`ConnectionTable::wait_for_close`].
const MAX_CLOSE_WAIT: Duration = Duration::from_millis(50);
/// Number of successive checks, at most [`MAX_CLOSE_WAIT`] apart, that must find no connection in
/// use before the connections that are still open count as idle.
const IDLE_CHECKS: usize = 10;

/// The numbers of connections of each kind that fit in the table.
#[derive(Clone, Copy)]
struct TableLimits {
    /// The number of connections whose requests are served.
    served: usize,
    /// The number of connections whose requests are rejected.
    rejected: usize,
}

impl TableLimits {
    fn new(total: usize) -> Self {
        let rejected = total / SLOTS_PER_REJECTION_SLOT;
        Self { served: total - rejected, rejected }
    }

    fn total(self) -> usize {
        self.served + self.rejected
    }
}

/// All client connections.
pub(super) struct ConnectionTable {
    connections: RefCell<Vec<Rc<ClientConnection>>>,
    limits: Cell<TableLimits>,
    slot_released: Notify,
}

impl ConnectionTable {
    /// Creates an empty table for at most `limit` connections.
    pub(super) fn new(limit: usize) -> Rc<Self> {
        Rc::new(Self {
            connections: RefCell::default(),
            limits: Cell::new(TableLimits::new(limit)),
            slot_released: Notify::new(),
        })
    }

    /// Changes the limit. Connections beyond the limit are evicted if they may be evicted, and are closed
    /// after their responses otherwise.
    pub(super) fn set_limit(&self, limit: usize) {
        let limits = TableLimits::new(limit);
        self.limits.set(limits);
        self.evict_down_to(limits.served);
    }

    /// Adds a connection, even beyond the limit.
    pub(super) fn add(self: &Rc<Self>) -> ConnectionSlot {
        let connection = ClientConnection::new();
        self.connections.borrow_mut().push(connection.clone());
        ConnectionSlot { table: self.clone(), connection }
    }

    /// Returns once a connection has closed, or after [`MAX_CLOSE_WAIT`].
    pub(super) async fn wait_for_close(&self) {
        let _ = tokio::time::timeout(MAX_CLOSE_WAIT, self.slot_released.notified()).await;
    }

    /// Returns once all connections have closed.
    pub(super) async fn wait_until_empty(&self) {
        while !self.is_empty() {
            self.wait_for_close().await;
        }
    }

    /// Returns once all connections have closed, or the remaining ones have not been in use for some
    /// time. A request that has started to arrive gets a response if it is completed before its timeout, so
    /// the wait continues until then. A client that stays connected without a request does not prolong the
    /// wait, because such a client would keep the process from ending.
    pub(super) async fn wait_until_empty_or_idle(&self) {
        let mut idle_checks = 0;
        while !self.is_empty() && idle_checks < IDLE_CHECKS {
            self.wait_for_close().await;
            if self.has_connections_in_use() {
                idle_checks = 0;
            } else {
                idle_checks += 1;
            }
        }
    }

    /// Returns whether no connection is in the table.
    fn is_empty(&self) -> bool {
        self.connections.borrow().is_empty()
    }

    fn has_connections_in_use(&self) -> bool {
        self.connections.borrow().iter().any(|connection| connection.progress().is_in_use())
    }

    /// Returns whether more than half of the slots for served connections are taken, so that connections
    /// should close after their responses.
    pub(super) fn is_half_full(&self) -> bool {
        2 * self.connections.borrow().len() > self.limits.get().served
    }

    /// Returns whether more than a quarter of the slots for served connections are taken, so that connections
    /// whose buffers have grown should close after their responses.
    pub(super) fn is_quarter_full(&self) -> bool {
        4 * self.connections.borrow().len() > self.limits.get().served
    }

    /// Returns whether more connections are open than can be served. Connections that are being closed do not
    /// count.
    pub(super) fn is_served_limit_exceeded(&self) -> bool {
        let connections = self.connections.borrow();
        let open = connections.iter().filter(|connection| !connection.is_closing());
        open.count() > self.limits.get().served
    }

    /// Returns whether a slot is free for one more connection, whose requests may have to be rejected.
    pub(super) fn has_free_slot(&self) -> bool {
        self.connections.borrow().len() < self.limits.get().total()
    }

    /// Evicts connections until one more can be served or no other connection may be evicted.
    pub(super) fn evict_for_new_connection(&self) {
        self.evict_down_to(self.limits.get().served.saturating_sub(1));
    }

    /// Evicts connections until `target` connections are left or no other connection may be evicted: first
    /// the connections that have been idle longest, then the connections that have been silent longest.
    /// Guards against clients that stay connected without sending requests and leave no slot for other
    /// clients.
    fn evict_down_to(&self, target: usize) {
        let connections = self.connections.borrow();
        let open = || connections.iter().filter(|connection| !connection.is_closing());
        while open().count() > target {
            let idle = open().filter(|connection| connection.progress().is_evictable_as_idle());
            let silent = open().filter(|connection| connection.progress().is_evictable_as_silent());
            let longest_idle = idle.min_by_key(|connection| connection.progress().idle_since());
            let longest_silent = || silent.min_by_key(|connection| connection.progress().last_received());
            let candidate = longest_idle.or_else(longest_silent);
            let Some(candidate) = candidate else {
                return;
            };
            candidate.request_close();
        }
    }

    /// Requests the close of connections that have timed out.
    pub(super) fn close_timed_out(&self) {
        for connection in self.connections.borrow().iter() {
            if !connection.is_closing() && connection.progress().is_timed_out() {
                connection.request_close();
            }
        }
    }
}

/// The slot of one connection in the table. Dropping the value frees the slot.
pub(super) struct ConnectionSlot {
    table: Rc<ConnectionTable>,
    connection: Rc<ClientConnection>,
}

impl ConnectionSlot {
    /// Returns the state of the connection.
    pub(super) fn connection(&self) -> &Rc<ClientConnection> {
        &self.connection
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        let mut connections = self.table.connections.borrow_mut();
        connections.retain(|connection| !Rc::ptr_eq(connection, &self.connection));
        self.table.slot_released.notify_one();
    }
}

#[cfg(test)]
mod tests;
