//! The times after which no request may be sent to a backend that is draining, removed or in maintenance.

use balancer::Time;
use std::cell::Cell;

/// The deadlines for sends to one backend. Times are those of the proxy's clock, in seconds.
#[derive(Debug, Default)]
pub(super) struct SendDeadlines {
    /// The deadline of the drain, while the backend is draining or removed.
    drain: Cell<Option<Time>>,
    /// The deadline of the maintenance, while the backend is in maintenance.
    maintenance: Cell<Option<Time>>,
    /// Set while the endpoint list lacks the backend or marks it as removed.
    is_removed: Cell<bool>,
}

impl SendDeadlines {
    /// Records that the endpoint list has the backend in service.
    pub(super) fn set_in_service(&self) {
        self.drain.set(None);
        self.is_removed.set(false);
    }

    /// Records that the endpoint list has the backend draining. Sends must end by `deadline`. A drain that
    /// was recorded before keeps its deadline, because a repeated notification must not extend the grace
    /// period.
    pub(super) fn set_draining(&self, deadline: Time) {
        let earliest = self.drain.get().unwrap_or(deadline);
        self.drain.set(Some(earliest));
        self.is_removed.set(false);
    }

    /// Records that the backend is removed. Sends must end by `deadline`, or by the deadline of a drain that
    /// was recorded before.
    pub(super) fn set_removed(&self, deadline: Time) {
        self.set_draining(deadline);
        self.is_removed.set(true);
    }

    /// Records that the backend is in maintenance. Sends must end by `deadline`.
    pub(super) fn start_maintenance(&self, deadline: Time) {
        self.maintenance.set(Some(deadline));
    }

    /// Records that the backend is not in maintenance.
    pub(super) fn end_maintenance(&self) {
        self.maintenance.set(None);
    }

    /// Returns whether a send at time `now` is allowed, because no deadline has passed.
    pub(super) fn may_send(&self, now: Time) -> bool {
        let deadlines = [self.drain.get(), self.maintenance.get()];
        deadlines.into_iter().flatten().all(|deadline| now < deadline)
    }

    /// Returns whether the backend is removed and a deadline has passed by `now`.
    pub(super) fn is_removal_expired(&self, now: Time) -> bool {
        self.is_removed.get() && !self.may_send(now)
    }
}

#[cfg(test)]
mod tests;
