//! Maintenance: backends that operators remove from service and return to service.

use crate::interface::{BackendId, Time};
use std::collections::HashMap;

/// Whether this balancer sent calls to a backend before the maintenance of that backend began.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PriorUse {
    /// The backend was a member of the subset, or received calls recently in place of a member.
    Used,
    /// The backend was not a member, and received no recent calls from this balancer.
    Unused,
}

/// The phase of the maintenance of a backend.
#[derive(Clone, Copy, Debug)]
enum Phase {
    /// The backend is out of service.
    InMaintenance {
        /// The time at which the maintenance began, in seconds.
        since: Time,
    },
    /// The backend is back in service.
    Returned {
        /// The assumed start time of the backend, in seconds, as the endpoint list may show the restart
        /// late. `None` if the list shows a start during the maintenance.
        assumed_start: Option<Time>,
    },
}

/// The state of the maintenance of one backend.
#[derive(Clone, Copy, Debug)]
struct MaintenanceState {
    phase: Phase,
    prior_use: PriorUse,
}

/// The backends in maintenance and the backends that have returned recently.
#[derive(Debug, Default)]
pub(super) struct Maintenance {
    states: HashMap<BackendId, MaintenanceState>,
}

impl Maintenance {
    /// Returns whether a backend is in maintenance.
    pub fn contains(&self, backend: BackendId) -> bool {
        let state = self.states.get(&backend);
        state.is_some_and(|state| matches!(state.phase, Phase::InMaintenance { .. }))
    }

    /// Returns the assumed start time of a backend that has returned recently, in seconds, or `None` if the
    /// endpoint list showed its start when it returned.
    pub fn assumed_start(&self, backend: BackendId) -> Option<Time> {
        match self.states.get(&backend)?.phase {
            Phase::InMaintenance { .. } => None,
            Phase::Returned { assumed_start } => assumed_start,
        }
    }

    /// Returns whether this balancer used a backend before its maintenance, if the backend is in
    /// maintenance or has returned recently.
    pub fn was_used(&self, backend: BackendId) -> bool {
        self.states.get(&backend).is_some_and(|state| state.prior_use == PriorUse::Used)
    }

    /// Records that the maintenance of a backend begins.
    pub fn begin(&mut self, backend: BackendId, now: Time, prior_use: PriorUse) {
        let phase = Phase::InMaintenance { since: now };
        self.states.insert(backend, MaintenanceState { phase, prior_use });
    }

    /// Records that the maintenance of a backend ends. The backend has been restarted during the
    /// maintenance. Its assumed start time is `now`, unless `listed_start` lies within the maintenance.
    pub fn end(&mut self, backend: BackendId, now: Time, listed_start: Option<Time>) {
        let Some(state) = self.states.get_mut(&backend) else { return };
        let Phase::InMaintenance { since } = state.phase else { return };
        let start_is_listed = listed_start.is_some_and(|start| start >= since);
        let assumed_start = if start_is_listed { None } else { Some(now) };
        state.phase = Phase::Returned { assumed_start };
    }

    /// Removes the state of returned backends whose slow start of `slow_start_duration` seconds after their
    /// return is over.
    pub fn remove_returned(&mut self, now: Time, slow_start_duration: Time) {
        self.states.retain(|_, state| match state.phase {
            Phase::InMaintenance { .. } => true,
            Phase::Returned { assumed_start } => {
                assumed_start.is_some_and(|start| now < start + slow_start_duration)
            }
        });
    }
}
