//! Until when requests may be sent to a backend that is draining, removed or in maintenance.

use balancer::Time;
use std::cell::Cell;

/// The deadlines for sends to one backend. Times are those of the proxy's clock, in seconds.
#[derive(Debug, Default)]
pub struct SendDeadlines {
    /// Set while the backend is draining or removed.
    drain: Cell<Option<Time>>,
    /// Set while the backend is in maintenance.
    maintenance: Cell<Option<Time>>,
    /// The backend is no longer in the endpoint list, or is marked there as removed.
    is_removed: Cell<bool>,
}

impl SendDeadlines {
    /// The backend is in the endpoint list: in service if there is no `deadline`, else draining.
    pub fn set_drain(&self, deadline: Option<Time>) {
        // A repeated notification of the same drain must not extend the grace period.
        let earliest = deadline.map(|deadline| self.drain.get().unwrap_or(deadline));
        self.drain.set(earliest);
        self.is_removed.set(false);
    }

    /// The backend is removed: sends must end by `deadline`, or earlier if it was draining before.
    pub fn set_removed(&self, deadline: Time) {
        self.set_drain(Some(deadline));
        self.is_removed.set(true);
    }

    /// The backend is in maintenance if there is a `deadline`.
    pub fn set_maintenance(&self, deadline: Option<Time>) {
        self.maintenance.set(deadline);
    }

    /// No deadline has passed.
    #[must_use]
    pub fn allow_send(&self, now: Time) -> bool {
        let deadlines = [self.drain.get(), self.maintenance.get()];
        deadlines.into_iter().flatten().all(|deadline| now < deadline)
    }

    /// The backend is removed, and a deadline has passed.
    #[must_use]
    pub fn is_expired(&self, now: Time) -> bool {
        self.is_removed.get() && !self.allow_send(now)
    }
}
