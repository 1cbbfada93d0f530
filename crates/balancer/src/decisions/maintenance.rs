//! Maintenance: backends that operators remove from service and put back.

use crate::interface::*;
use crate::state::Balancer;

impl Balancer {
    /// Excludes a backend from placement, whatever the endpoint list says, or includes it again.
    pub(super) fn on_maintenance(
        &mut self,
        id: BackendId,
        change: MaintenanceChange,
        actions: &mut Vec<Action>,
    ) {
        self.maintenance.forget_returned(self.now, self.settings.slow_start_duration);
        match (change, self.maintenance.contains(id)) {
            (MaintenanceChange::Begins, false) => {
                let was_used = self.is_used(id);
                self.maintenance.begin(id, self.now, was_used);
                actions.push(Action::CloseIdleConnections(id));
            }
            (MaintenanceChange::Ends, true) => self.end_maintenance(id),
            (MaintenanceChange::Begins, true) | (MaintenanceChange::Ends, false) => return,
        }
        self.assign_subset();
    }

    /// It is a member, or was recently used in place of one.
    fn is_used(&self, id: BackendId) -> bool {
        let recently = self.now - self.slowness_memory();
        self.backends.index_of(id).is_some_and(|index| {
            self.subset.members.contains(&index) || self.backends[index].last_active_at > recently
        })
    }

    /// The backend has been restarted meanwhile, and the list may tell late: it comes back warming up,
    /// unless the list shows a start since it went.
    fn end_maintenance(&mut self, id: BackendId) {
        let Some(state) = self.maintenance.get_mut(id) else { return };
        let index = self.backends.index_of(id);
        let started_at = index.and_then(|index| self.backends[index].endpoint.started_at);
        let start_is_listed = started_at.is_some_and(|start| start >= state.since);
        state.in_maintenance = false;
        state.since = if start_is_listed { f64::NEG_INFINITY } else { self.now };
        if let Some(index) = index {
            self.backends[index].restarted(self.now);
        }
    }
}
