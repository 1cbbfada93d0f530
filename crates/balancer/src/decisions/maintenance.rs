//! Maintenance: backends that operators remove from service and put back.

use crate::interface::{BackendId, Time};
use std::collections::HashMap;

/// Whether this balancer sent calls to a backend before the maintenance of the backend began.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PriorUse {
    /// The backend was a member of the subset, or was used recently in place of one.
    Used,
    /// The balancer did not use the backend.
    Unused,
}

/// The progress of one maintenance.
#[derive(Clone, Copy, Debug)]
enum Phase {
    /// The backend is out of service.
    InMaintenance {
        /// The time at which the maintenance began, in seconds.
        since: Time,
    },
    /// The backend may serve again.
    Returned {
        /// The time at which the backend counts as started, in seconds, as its restart may be listed late.
        /// None if the endpoint list shows a start during the maintenance.
        assumed_start: Option<Time>,
    },
}

/// The maintenance of one backend.
#[derive(Clone, Copy, Debug)]
struct MaintenanceState {
    phase: Phase,
    prior_use: PriorUse,
}

/// The backends in maintenance, and the backends that have returned recently.
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

    /// Returns the time at which a backend counts as started by its return, if the backend returned
    /// recently and the endpoint list did not show its start then.
    pub fn assumed_start(&self, backend: BackendId) -> Option<Time> {
        match self.states.get(&backend)?.phase {
            Phase::InMaintenance { .. } => None,
            Phase::Returned { assumed_start } => assumed_start,
        }
    }

    /// Returns whether a backend that is in maintenance or has returned recently was in use before.
    pub fn was_used(&self, backend: BackendId) -> bool {
        self.states.get(&backend).is_some_and(|state| state.prior_use == PriorUse::Used)
    }

    /// Records that the maintenance of a backend begins.
    pub fn begin(&mut self, backend: BackendId, now: Time, prior_use: PriorUse) {
        let phase = Phase::InMaintenance { since: now };
        self.states.insert(backend, MaintenanceState { phase, prior_use });
    }

    /// Records that the maintenance of a backend ends. The backend has been restarted in the meantime, and
    /// counts as started now unless `listed_start` lies within the maintenance.
    pub fn end(&mut self, backend: BackendId, now: Time, listed_start: Option<Time>) {
        let Some(state) = self.states.get_mut(&backend) else { return };
        let Phase::InMaintenance { since } = state.phase else { return };
        let start_is_listed = listed_start.is_some_and(|start| start >= since);
        let assumed_start = if start_is_listed { None } else { Some(now) };
        state.phase = Phase::Returned { assumed_start };
    }

    /// Forgets the backends whose slow start after their return, of `slow_start_duration` seconds, is over.
    pub fn forget_returned(&mut self, now: Time, slow_start_duration: Time) {
        self.states.retain(|_, state| match state.phase {
            Phase::InMaintenance { .. } => true,
            Phase::Returned { assumed_start } => {
                assumed_start.is_some_and(|start| now < start + slow_start_duration)
            }
        });
    }
}
