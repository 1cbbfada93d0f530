//! The backends that operators have taken out of service, and those that are back.

use crate::{BackendId, Time};
use std::collections::HashMap;

/// What was done to a backend by its operators.
#[derive(Clone, Copy, Debug)]
pub(crate) struct MaintenanceState {
    /// It is in maintenance, and not back.
    pub in_maintenance: bool,
    /// Since when. One that is back counts as started then, as nobody says when it did; at minus infinity
    /// where the list shows its start.
    pub since: Time,
    /// It was in use when its maintenance began.
    pub was_used: bool,
}

/// The backends in maintenance, and those that came back of late.
#[derive(Debug, Default)]
pub(crate) struct MaintenanceTable {
    states: HashMap<BackendId, MaintenanceState>,
}

impl MaintenanceTable {
    /// The backend is in maintenance.
    pub fn contains(&self, backend: BackendId) -> bool {
        self.states.get(&backend).is_some_and(|state| state.in_maintenance)
    }

    /// When the backend came back, if it did of late.
    pub fn returned_at(&self, backend: BackendId) -> Option<Time> {
        let state = self.states.get(&backend).filter(|state| !state.in_maintenance)?;
        Some(state.since)
    }

    /// The backend was in use when its maintenance began, and is in it or back of late.
    pub fn was_used(&self, backend: BackendId) -> bool {
        self.states.get(&backend).is_some_and(|state| state.was_used)
    }

    /// Notes that the maintenance of a backend begins at `now`.
    pub fn begin(&mut self, backend: BackendId, now: Time, was_used: bool) {
        self.states.insert(backend, MaintenanceState { in_maintenance: true, since: now, was_used });
    }

    pub fn get_mut(&mut self, backend: BackendId) -> Option<&mut MaintenanceState> {
        self.states.get_mut(&backend)
    }

    /// Forgets the backends that came back more than `slow_start` seconds ago.
    pub fn forget_returned(&mut self, now: Time, slow_start: Time) {
        self.states.retain(|_, state| state.in_maintenance || now < state.since + slow_start);
    }
}
