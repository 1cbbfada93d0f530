//! The order of decisions when the endpoint list or the maintenance of a backend changes.

use super::Balancer;
use crate::decisions::timer::Timer;
use crate::interface::{Action, BackendId, EndpointUpdate, MaintenanceChange, Status, Time};
use crate::support::BackendIndex;

impl Balancer {
    /// Schedules the first poll of the endpoint list, if the list has to be polled.
    pub(super) fn schedule_first_poll(&mut self, actions: &mut Vec<Action>) {
        let first = self.endpoint_polls.schedule_first(self.now, &self.settings, &mut self.random);
        if let Some(at) = first {
            schedule_poll(at, actions);
        }
    }

    pub(super) fn on_endpoint_update(&mut self, update: EndpointUpdate<'_>, actions: &mut Vec<Action>) {
        let endpoints = match update {
            EndpointUpdate::Failed => {
                let at = self.endpoint_polls.schedule_retry(self.now, &mut self.random);
                return schedule_poll(at, actions);
            }
            EndpointUpdate::Rejected => {
                let at = self.endpoint_polls.schedule_retry_after_rejection(self.now, &mut self.random);
                return schedule_poll(at, actions);
            }
            EndpointUpdate::Full(endpoints) | EndpointUpdate::Cached(endpoints) => {
                self.backends.mark_all_removed();
                endpoints
            }
            EndpointUpdate::Changes(endpoints) => endpoints,
        };
        self.endpoint_polls.record_list();
        for endpoint in endpoints {
            let index = self.backends.apply_endpoint(endpoint, self.now);
            self.close_idle_if_draining(index, actions);
        }
        self.assign_subset();
        self.backends.remove_unreferenced();
    }

    /// Closes the idle connections to a backend if it is draining. Called when the balancer is notified of
    /// the draining, and when an attempt at the backend ends, because the attempt leaves an idle
    /// connection.
    pub(super) fn close_idle_if_draining(&self, index: BackendIndex, actions: &mut Vec<Action>) {
        let endpoint = self.backends.endpoint(index);
        if self.settings.idle_close_limit.is_some() && endpoint.status == Status::Draining {
            actions.push(Action::CloseIdleConnections(endpoint.id));
        }
    }

    /// Excludes a backend from placement, regardless of its status in the endpoint list, or includes the
    /// backend again.
    pub(super) fn on_maintenance(
        &mut self,
        id: BackendId,
        change: MaintenanceChange,
        actions: &mut Vec<Action>,
    ) {
        match change {
            MaintenanceChange::Begins => {
                if !self.backends.begin_maintenance(id, self.now) {
                    return;
                }
                actions.push(Action::CloseIdleConnections(id));
            }
            MaintenanceChange::Ends => {
                if !self.backends.end_maintenance(id, self.now) {
                    return;
                }
            }
        }
        self.assign_subset();
    }
}

/// Sets the timer of the next poll of the endpoint list.
fn schedule_poll(at: Time, actions: &mut Vec<Action>) {
    actions.push(Action::SetTimer { at, token: Timer::EndpointPoll.into() });
}
