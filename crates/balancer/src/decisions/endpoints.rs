//! The endpoint list: its updates, and when it is polled.

use crate::interface::*;
use crate::state::{BackendIndex, Balancer, Timer};
use rand::Rng;

/// Mean wait from a failed poll to the next one, in seconds. The later of this and the next one holds.
const POLL_BACKOFF_AFTER_FAILURE: Time = 0.25;
/// Mean wait from the begin of the previous retry to the next one, in seconds: 6 s after a return of
/// discovery all counts as notified, also where two polls take 2 s to fail after it.
const POLL_BACKOFF_AFTER_START: Time = 1.0;
/// Waits are spread evenly from this part of the mean to this part plus one: discovery may be busy.
const MIN_BACKOFF_PART: f64 = 0.5;
/// The first polls of balancers are spread over this part of the longest interval between polls.
const FIRST_POLL_SPREAD: f64 = 0.5;

impl Balancer {
    /// Balancers often start together: they poll for the list one after another.
    pub(super) fn schedule_first_poll(&mut self, actions: &mut Vec<Action>) {
        if !self.settings.must_poll_endpoints || self.endpoint_polls.is_scheduled {
            return;
        }
        self.endpoint_polls.is_scheduled = true;
        let wait = self.random.random::<f64>() * FIRST_POLL_SPREAD * self.settings.endpoint_poll_limit;
        actions.push(Action::SetTimer { at: self.now + wait, token: Timer::EndpointPoll.into() });
    }

    pub(super) fn on_endpoint_update(&mut self, update: EndpointUpdate<'_>, actions: &mut Vec<Action>) {
        let endpoints = match update {
            EndpointUpdate::Failed => return self.schedule_poll_retry(actions),
            EndpointUpdate::Full(endpoints) | EndpointUpdate::Cached(endpoints) => {
                self.backends.mark_all_removed();
                endpoints
            }
            EndpointUpdate::Changes(endpoints) => endpoints,
        };
        for endpoint in endpoints {
            let index = self.backends.upsert(endpoint, self.now);
            self.close_idle_if_draining(index, actions);
        }
        self.assign_subset();
        self.backends.forget_unused();
    }

    fn schedule_poll_retry(&mut self, actions: &mut Vec<Action>) {
        let part = MIN_BACKOFF_PART + self.random.random::<f64>();
        let after_failure = self.now + POLL_BACKOFF_AFTER_FAILURE * part;
        let after_start = self.endpoint_polls.last_retry_at + POLL_BACKOFF_AFTER_START * part;
        let at = after_failure.max(after_start);
        self.endpoint_polls.last_retry_at = at;
        actions.push(Action::SetTimer { at, token: Timer::EndpointPoll.into() });
    }

    /// Closes idle connections to a draining backend: on the notification, and after each
    /// outcome there, as an attempt that was in flight then leaves a connection behind.
    pub(super) fn close_idle_if_draining(&self, index: BackendIndex, actions: &mut Vec<Action>) {
        let endpoint = &self.backends[index].endpoint;
        if self.settings.idle_close_limit.is_some() && endpoint.status == Status::Draining {
            actions.push(Action::CloseIdleConnections(endpoint.id));
        }
    }

    /// Listed as in service, and not in maintenance.
    pub(super) fn is_in_service(&self, index: BackendIndex) -> bool {
        let endpoint = &self.backends[index].endpoint;
        endpoint.status == Status::InService && !self.maintenance.contains(endpoint.id)
    }
}
