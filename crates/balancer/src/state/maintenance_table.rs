//! The backends that operators have removed from service, and those that have returned.

use crate::{BackendId, Time};
use std::collections::HashMap;

/// What was done to a backend by its operators.
#[derive(Clone, Copy, Debug)]
pub(crate) struct MaintenanceState {
    /// It is in maintenance; false once it has returned.
    pub in_maintenance: bool,
    /// Since when. A backend that has returned counts as started then, as its start is not announced; minus
    /// infinity where the endpoint list shows its start.
    pub since: Time,
    /// It was in use when its maintenance began.
    pub was_used: bool,
}

/// The backends in maintenance, and those that have returned recently.
#[derive(Debug, Default)]
pub(crate) struct MaintenanceTable {
    states: HashMap<BackendId, MaintenanceState>,
}

impl MaintenanceTable {
    /// The backend is in maintenance.
    pub fn contains(&self, backend: BackendId) -> bool {
        self.states.get(&backend).is_some_and(|state| state.in_maintenance)
    }

    /// When the backend returned, if it did so recently.
    pub fn returned_at(&self, backend: BackendId) -> Option<Time> {
        let state = self.states.get(&backend).filter(|state| !state.in_maintenance)?;
        Some(state.since)
    }

    /// The backend was in use when its maintenance began, and is in it or has returned recently.
    pub fn was_used(&self, backend: BackendId) -> bool {
        self.states.get(&backend).is_some_and(|state| state.was_used)
    }

    /// Records that the maintenance of a backend begins at `now`.
    pub fn begin(&mut self, backend: BackendId, now: Time, was_used: bool) {
        self.states.insert(backend, MaintenanceState { in_maintenance: true, since: now, was_used });
    }

    /// The state of a backend that is in maintenance or has returned recently.
    pub fn get_mut(&mut self, backend: BackendId) -> Option<&mut MaintenanceState> {
        self.states.get_mut(&backend)
    }

    /// Forgets the backends that returned more than `slow_start` seconds ago.
    pub fn forget_returned(&mut self, now: Time, slow_start: Time) {
        self.states.retain(|_, state| state.in_maintenance || now < state.since + slow_start);
    }
}
