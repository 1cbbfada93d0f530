//! The connections to one backend. The pool owns the idle connections, establishes new ones, and stores
//! the deadlines after which no request may be sent to the backend.

use super::connection::{Connection, ConnectionOrigin, connect};
use super::send_deadlines::SendDeadlines;
use crate::clock::Clock;
use crate::limits::{Budget, Permit};
use balancer::Time;
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Fraction of the idle timeout of backends up to which an idle connection is reused. Near the timeout,
/// the backend may close the connection while a request is in transit, and the request is then lost.
const REUSE_IDLE_TIMEOUT_FRACTION: f64 = 0.7;

/// Minimum time that a connection must have been idle before it is reused. Data that a backend writes after
/// the end of a response arrives in that time and makes the connection unusable, so that the data is not
/// mistaken for the response to the next request.
const MIN_IDLE_TIME_BEFORE_REUSE: Duration = Duration::from_millis(25);

/// The timeouts of the connections to backends.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionTimeouts {
    /// The time within which a connection must be established.
    pub connect: Duration,
    /// The time after which a backend closes an idle connection.
    pub idle: Duration,
}

struct IdleConnection {
    connection: Connection,
    permit: Permit,
    /// The time at which the connection became idle.
    since: Instant,
}

impl IdleConnection {
    /// Returns the idle connection if the backend has not closed it.
    fn into_reusable(self) -> Option<Self> {
        let connection = self.connection.into_reusable()?;
        Some(Self { connection, ..self })
    }
}

/// The connections to one backend. Times are those of the proxy's clock, in seconds.
pub struct ConnectionPool {
    address: Cell<SocketAddr>,
    /// The idle connections, in the order in which they became idle.
    idle: RefCell<Vec<IdleConnection>>,
    send_deadlines: SendDeadlines,
    /// The number of times that all connections were retired. A connection of an earlier generation is
    /// closed when it becomes idle.
    generation: Cell<u64>,
    /// The budget for the connections to all backends together.
    budget: Rc<Budget>,
    timeouts: Cell<ConnectionTimeouts>,
}

impl ConnectionPool {
    /// Creates a pool for the backend at `address`. Each connection takes a permit of `budget`.
    #[must_use]
    pub fn new(address: SocketAddr, budget: Rc<Budget>, timeouts: ConnectionTimeouts) -> Self {
        Self {
            address: Cell::new(address),
            idle: RefCell::default(),
            send_deadlines: SendDeadlines::default(),
            generation: Cell::new(0),
            budget,
            timeouts: Cell::new(timeouts),
        }
    }

    /// Changes the timeouts.
    pub(crate) fn set_timeouts(&self, timeouts: ConnectionTimeouts) {
        self.timeouts.set(timeouts);
    }

    /// Returns the time within which a connection must be established.
    pub(super) fn connect_timeout(&self) -> Duration {
        self.timeouts.get().connect
    }

    /// Records that the endpoint list has the backend in service at `address`.
    pub(crate) fn set_in_service(&self, address: SocketAddr) {
        if self.address.replace(address) != address {
            self.retire_connections();
        }
        self.send_deadlines.set_in_service();
    }

    /// Records that the endpoint list has the backend draining at `address`. Sends must end by `deadline`.
    pub fn set_draining(&self, address: SocketAddr, deadline: Time) {
        self.address.set(address);
        self.retire_connections();
        self.send_deadlines.set_draining(deadline);
    }

    /// Records that the backend is removed from the endpoint list. Sends must end by `deadline`.
    pub(crate) fn set_removed(&self, deadline: Time) {
        self.retire_connections();
        self.send_deadlines.set_removed(deadline);
    }

    /// Records that the backend is in maintenance. Sends must end by `deadline`.
    pub(crate) fn start_maintenance(&self, deadline: Time) {
        self.send_deadlines.start_maintenance(deadline);
    }

    /// Records that the backend is not in maintenance.
    pub(crate) fn end_maintenance(&self) {
        self.send_deadlines.end_maintenance();
    }

    /// Returns whether the backend is removed and its grace period is over.
    pub(crate) fn is_removal_expired(&self, clock: &Clock) -> bool {
        self.send_deadlines.is_removal_expired(clock.now())
    }

    /// Returns whether a request may be sent to the backend now, because no send deadline has passed.
    pub(super) fn may_send(&self, clock: &Clock) -> bool {
        self.send_deadlines.may_send(clock.now())
    }

    /// Closes the idle connections, and the connections in use as soon as they become idle.
    pub(crate) fn retire_connections(&self) {
        self.generation.set(self.generation.get() + 1);
        self.idle.borrow_mut().clear();
    }

    /// Closes connections that have been idle for too long or were closed by the backend.
    pub(crate) fn sweep_idle(&self) {
        let reusable = self.idle.take().into_iter().filter_map(IdleConnection::into_reusable);
        let fresh = reusable.filter(|idle| self.is_fresh(idle)).collect();
        self.idle.replace(fresh);
    }

    /// Returns whether the connection has been idle for a short enough time to be reused.
    fn is_fresh(&self, idle: &IdleConnection) -> bool {
        idle.since.elapsed() < self.timeouts.get().idle.mul_f64(REUSE_IDLE_TIMEOUT_FRACTION)
    }

    /// Returns the time at which the connection that has been idle longest became idle.
    pub(crate) fn idle_since(&self) -> Option<Instant> {
        self.idle.borrow().first().map(|idle| idle.since)
    }

    /// Closes the connection that has been idle longest, if a connection is idle.
    pub(crate) fn close_oldest_idle(&self) {
        let mut idle = self.idle.borrow_mut();
        if !idle.is_empty() {
            idle.remove(0);
        }
    }

    /// Returns the current generation of connections.
    pub(super) fn generation(&self) -> u64 {
        self.generation.get()
    }

    /// Checks out the idle connection that was used last, or establishes a new one if none can be reused.
    /// After its use, the connection becomes idle if the pool still has this `generation`. Returns `None`
    /// if the budget is used up or no connection can be established.
    pub(super) async fn check_out(self: &Rc<Self>, generation: u64) -> Option<CheckedOutConnection> {
        if let Some(IdleConnection { connection, permit, .. }) = self.take_idle() {
            let lease = ConnectionLease { pool: self.clone(), permit, generation };
            return Some(CheckedOutConnection { connection, lease, origin: ConnectionOrigin::Reused });
        }
        let permit = self.budget.try_acquire(1)?;
        let connection = self.connect().await.ok()?;
        let lease = ConnectionLease { pool: self.clone(), permit, generation };
        Some(CheckedOutConnection { connection, lease, origin: ConnectionOrigin::New })
    }

    /// Removes and returns the idle connection that was used last and can be reused. Unusable connections
    /// that the search finds are closed.
    fn take_idle(&self) -> Option<IdleConnection> {
        let mut idle = self.idle.borrow_mut();
        while let Some(index) =
            idle.iter().rposition(|idle| idle.since.elapsed() >= MIN_IDLE_TIME_BEFORE_REUSE)
        {
            let candidate = idle.remove(index);
            if self.is_fresh(&candidate)
                && let Some(reusable) = candidate.into_reusable()
            {
                return Some(reusable);
            }
        }
        None
    }

    /// Establishes a connection. If the first connection attempt takes half of the timeout, a second one
    /// is started, and the result of the one that ends first is used. A second connection attempt is
    /// usually fast where the first is slow. Without the second one, a request would get no connection and
    /// wait for its next retransmission timer. The cost is that a backend that is slow to accept gets up to
    /// twice as many connections.
    ///
    /// The second half of the timeout begins with the second connection attempt. If the process was
    /// suspended during the first half, a timeout counted from the start would have elapsed before the
    /// second connection attempt could begin.
    async fn connect(&self) -> io::Result<Connection> {
        let address = self.address.get();
        let half_timeout = self.connect_timeout() / 2;
        let mut first = pin!(connect(address));
        if let Ok(connected) = tokio::time::timeout(half_timeout, first.as_mut()).await {
            return connected;
        }
        let Some(_second_permit) = self.budget.try_acquire(1) else {
            return tokio::time::timeout(half_timeout, first).await?;
        };
        tokio::select! {
            connected = first => connected,
            connected = connect(address) => connected,
            () = tokio::time::sleep(half_timeout) => Err(io::ErrorKind::TimedOut.into()),
        }
    }
}

/// A connection in use, with its lease.
pub(super) struct CheckedOutConnection {
    pub(super) connection: Connection,
    pub(super) lease: ConnectionLease,
    pub(super) origin: ConnectionOrigin,
}

/// The right to use a connection of a pool. A lease that is dropped returns its permit to the budget.
pub(super) struct ConnectionLease {
    pool: Rc<ConnectionPool>,
    permit: Permit,
    generation: u64,
}

impl ConnectionLease {
    /// Returns the connection to the pool as idle, or closes a connection that cannot be reused.
    pub(super) fn release(self, connection: Connection) {
        let Self { pool, permit, generation } = self;
        if let Some(connection) = connection.into_reusable()
            && pool.generation.get() == generation
        {
            pool.idle.borrow_mut().push(IdleConnection { connection, permit, since: Instant::now() });
        }
    }
}

#[cfg(test)]
mod tests;
