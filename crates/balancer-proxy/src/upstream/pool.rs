//! The connections to one backend. The pool owns those that are idle, establishes new ones, and knows
//! the deadlines after which nothing more may be sent to the backend.

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

/// Fraction of the idle timeout of backends up to which an idle connection is reused. Near the
/// timeout, the backend may close the connection while a request is on its way, which is then lost.
const REUSE_FRACTION: f64 = 0.7;

/// A connection is reused only when it has been idle for this long. What a backend writes after the
/// end of a response arrives in that time and makes the connection unusable, so that it is not
/// mistaken for the response to the next request.
const MIN_IDLE_TIME: Duration = Duration::from_millis(25);

struct IdleConnection {
    connection: Connection,
    permit: Permit,
    since: Instant,
}

impl IdleConnection {
    /// The connection, if the backend has not closed it meanwhile.
    fn into_reusable(self) -> Option<Self> {
        let connection = self.connection.into_reusable()?;
        Some(Self { connection, ..self })
    }
}

/// The connections to one backend. Times are those of the proxy's clock, in seconds.
pub struct ConnectionPool {
    address: Cell<SocketAddr>,
    /// In the order in which they became idle.
    idle: RefCell<Vec<IdleConnection>>,
    send_deadlines: SendDeadlines,
    /// Increases when all present connections are to be closed: one of an earlier generation is not
    /// cached when it becomes idle.
    generation: Cell<u64>,
    budget: Rc<Budget>,
    connect_timeout: Cell<Duration>,
    max_idle_time: Cell<Duration>,
}

impl ConnectionPool {
    /// A pool for the backend at `address`. Each connection takes a permit of `budget`. A backend
    /// closes its connections after they have been idle for `idle_timeout`.
    #[must_use]
    pub fn new(
        address: SocketAddr,
        budget: Rc<Budget>,
        connect_timeout: Duration,
        idle_timeout: Duration,
    ) -> Self {
        Self {
            address: Cell::new(address),
            idle: RefCell::default(),
            send_deadlines: SendDeadlines::default(),
            generation: Cell::new(0),
            budget,
            connect_timeout: Cell::new(connect_timeout),
            max_idle_time: Cell::new(idle_timeout.mul_f64(REUSE_FRACTION)),
        }
    }

    /// Changes the timeouts, see [`ConnectionPool::new`].
    pub fn set_timeouts(&self, connect_timeout: Duration, idle_timeout: Duration) {
        self.connect_timeout.set(connect_timeout);
        self.max_idle_time.set(idle_timeout.mul_f64(REUSE_FRACTION));
    }

    /// The time within which a connection must be established.
    #[must_use]
    pub fn connect_timeout(&self) -> Duration {
        self.connect_timeout.get()
    }

    /// Applies an entry of the endpoint list: the address and, if the backend is draining, the time
    /// when sends must end.
    pub fn update(&self, address: SocketAddr, drain_deadline: Option<Time>) {
        if self.address.replace(address) != address || drain_deadline.is_some() {
            self.retire_connections();
        }
        self.send_deadlines.set_drain(drain_deadline);
    }

    /// The backend is removed from the endpoint list: sends must end by `deadline`.
    pub fn mark_removed(&self, deadline: Time) {
        self.retire_connections();
        self.send_deadlines.set_removed(deadline);
    }

    /// Sets when sends must end because the backend is in maintenance; None if it is not.
    pub fn set_maintenance_deadline(&self, deadline: Option<Time>) {
        self.send_deadlines.set_maintenance(deadline);
    }

    /// The backend is removed, and its grace period is over.
    #[must_use]
    pub fn can_be_forgotten(&self, clock: &Clock) -> bool {
        self.send_deadlines.is_expired(clock.now())
    }

    /// No deadline for sends to the backend has passed.
    #[must_use]
    pub fn may_send(&self, clock: &Clock) -> bool {
        self.send_deadlines.allow_send(clock.now())
    }

    /// Closes the idle connections, and those in use as soon as they become idle.
    pub fn retire_connections(&self) {
        self.generation.set(self.generation.get() + 1);
        self.idle.borrow_mut().clear();
    }

    /// Closes connections that have been idle for too long or were closed by the backend.
    pub fn sweep_idle(&self) {
        let reusable = self.idle.take().into_iter().filter_map(IdleConnection::into_reusable);
        let fresh = reusable.filter(|idle| self.is_fresh(idle)).collect();
        self.idle.replace(fresh);
    }

    /// The connection has not been idle for too long.
    fn is_fresh(&self, idle: &IdleConnection) -> bool {
        idle.since.elapsed() < self.max_idle_time.get()
    }

    /// Since when the connection that has been idle longest has been so.
    #[must_use]
    pub fn idle_since(&self) -> Option<Instant> {
        self.idle.borrow().first().map(|idle| idle.since)
    }

    /// Closes the connection that has been idle longest, if there is one.
    pub fn close_oldest_idle(&self) {
        let mut idle = self.idle.borrow_mut();
        if !idle.is_empty() {
            idle.remove(0);
        }
    }

    /// The present generation of connections.
    pub(super) fn generation(&self) -> u64 {
        self.generation.get()
    }

    /// Checks out the idle connection that was used last, or else establishes a new one. After use
    /// it is cached if the pool then still has this `generation`. None if the budget is used up or no
    /// connection can be established.
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

    /// Removes the idle connection that was used last and can be reused. Those found unusable are
    /// closed.
    fn take_idle(&self) -> Option<IdleConnection> {
        let mut idle = self.idle.borrow_mut();
        while let Some(index) = idle.iter().rposition(|idle| idle.since.elapsed() >= MIN_IDLE_TIME) {
            let candidate = idle.remove(index);
            if self.is_fresh(&candidate)
                && let Some(reusable) = candidate.into_reusable()
            {
                return Some(reusable);
            }
        }
        None
    }

    /// Establishes a connection. Where a single connection attempt is slow, a second one usually is
    /// not: it is started after half of the timeout, and the first of the two to end is used. This
    /// avoids requests that must wait for their next retransmission timer because they got no
    /// connection. Its cost is that a backend that is slow to accept gets up to twice as many
    /// connections.
    async fn connect(&self) -> io::Result<Connection> {
        let address = self.address.get();
        let timeout = self.connect_timeout.get();
        let mut first = pin!(connect(address, timeout));
        if let Ok(connected) = tokio::time::timeout(timeout / 2, first.as_mut()).await {
            return connected;
        }
        let Some(_second_permit) = self.budget.try_acquire(1) else { return first.await };
        tokio::select! {
            connected = first => connected,
            connected = connect(address, timeout / 2) => connected,
        }
    }
}

/// A connection in use, and its place in the pool.
pub(super) struct CheckedOutConnection {
    /// The connection.
    pub connection: Connection,
    /// Returns the connection to its pool.
    pub lease: ConnectionLease,
    /// Whether the connection was used before.
    pub origin: ConnectionOrigin,
}

/// The place of a connection in its pool while the connection is in use. Dropping it returns the
/// permit to the budget.
pub struct ConnectionLease {
    pool: Rc<ConnectionPool>,
    permit: Permit,
    generation: u64,
}

impl ConnectionLease {
    /// Makes the connection idle, or closes it if it can't be reused.
    pub fn release(self, connection: Connection) {
        let Self { pool, permit, generation } = self;
        if let Some(connection) = connection.into_reusable()
            && pool.generation.get() == generation
        {
            pool.idle.borrow_mut().push(IdleConnection { connection, permit, since: Instant::now() });
        }
    }
}
