//! The balancer, which holds one field for each concern and calls the concerns in the order of the decisions.

mod arrivals;
mod attempts;
mod completion;
mod endpoint_updates;

use super::admission::Admission;
use super::backends::Backends;
use super::calls::CallTable;
use super::endpoint_polls::EndpointPolls;
use super::ordered_keys::OrderedKeys;
use super::overload::{LoadSample, OverloadDetector};
use super::quotas::Quotas;
use super::timer::Timer;
use super::traffic::Traffic;
use crate::interface::{Action, BackendId, Event, Settings, Time};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::sync::Arc;

/// A load balancer: a state machine without I/O, clock or global state. [`Balancer::handle`] takes an event
/// with its time, and appends the resulting actions.
#[derive(Debug)]
pub struct Balancer {
    /// The settings in force.
    settings: Arc<Settings>,
    /// The time of the latest event, in seconds.
    now: Time,
    /// The source of all random draws, in the order of the decisions.
    random: SmallRng,
    calls: CallTable,
    admission: Admission,
    quotas: Quotas,
    ordered_keys: OrderedKeys,
    traffic: Traffic,
    overload: OverloadDetector,
    backends: Backends,
    endpoint_polls: EndpointPolls,
}

impl Balancer {
    /// Returns a balancer that starts at `now`, in seconds. Equal seeds, settings and events yield equal
    /// actions.
    #[must_use]
    pub fn new(now: Time, seed: u64, settings: Settings) -> Self {
        let mut balancer = Self {
            settings: Arc::default(),
            now,
            random: SmallRng::seed_from_u64(seed),
            calls: CallTable::default(),
            admission: Admission::default(),
            quotas: Quotas::default(),
            ordered_keys: OrderedKeys::default(),
            traffic: Traffic::starting_at(now),
            overload: OverloadDetector::starting_at(now),
            backends: Backends::default(),
            endpoint_polls: EndpointPolls::default(),
        };
        balancer.apply_settings(settings);
        balancer
    }

    /// Handles an event at the time `now`, in seconds, and appends the resulting actions to `actions`. If
    /// `now` is before the time of an earlier event, the time of the earlier event is used.
    pub fn handle(&mut self, now: Time, event: Event<'_>, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        self.schedule_first_poll(actions);
        match event {
            Event::Request(request) => self.on_request(request, actions),
            Event::BodyReceived(id) => self.on_body_received(id, actions),
            Event::BodyStalled(id) => self.on_body_stalled(id, actions),
            Event::BodyConsumed(id) => self.on_body_consumed(id),
            Event::ResponseStarted { id, attempt } => self.on_response_started(id, attempt, actions),
            Event::AttemptEnded(ended) => self.on_attempt_ended(ended, actions),
            Event::ClientDisconnected(id) => self.on_client_disconnected(id, actions),
            Event::Timer(token) => self.on_timer(Timer::from(token), actions),
            Event::HealthCheckEnded { backend, report, .. } => {
                self.backends.record_load_report(backend, report, self.now);
            }
            Event::Maintenance { backend, change } => self.on_maintenance(backend, change, actions),
            Event::ServingProcesses(processes) => self.backends.set_serving_processes(processes),
            Event::Endpoints(update) => self.on_endpoint_update(update, actions),
            Event::Settings(settings) => self.apply_settings(settings.clone()),
        }
        self.admit_queued(actions);
    }

    fn on_timer(&mut self, timer: Timer, actions: &mut Vec<Action>) {
        match timer {
            Timer::EndpointPoll => actions.push(Action::WatchEndpoints),
            Timer::Retry(key) if self.calls.contains(key) => self.on_retry_timer(key, actions),
            Timer::Deadline(key) if self.calls.contains(key) => self.on_deadline(key, actions),
            Timer::QueueWait(key) if self.calls.contains(key) => self.on_queue_wait_timer(key, actions),
            Timer::Retry(_) | Timer::Deadline(_) | Timer::QueueWait(_) => {} // the call has ended
        }
    }

    /// Applies new settings as a whole. A class or tenant keeps its observations if the new settings have one
    /// with the same name. Calls are completed under the settings in force at their arrival.
    fn apply_settings(&mut self, settings: Settings) {
        let new = Arc::new(settings);
        let old = std::mem::replace(&mut self.settings, new.clone());
        self.calls.remap_indices(&old, &new);
        let classes: Vec<_> = new.classes.iter().map(|class| old.class_index(&class.name)).collect();
        let tenants: Vec<_> = new.tenants.iter().map(|tenant| old.tenant_index(&tenant.name)).collect();
        self.admission.apply_settings(&classes, self.now);
        self.traffic.apply_settings(&new, &classes);
        self.quotas.apply_settings(&new, &tenants, self.now);
        self.backends.apply_settings(&old, &new, &self.traffic, self.now);
    }

    fn assign_subset(&mut self) {
        let calls_in_flight = self.traffic.observed_calls_in_flight();
        self.backends.assign_subset(&self.settings, calls_in_flight, self.now);
    }

    /// Returns the overload level, from 0 to 1, which measures how far the calls in flight exceed the
    /// expected number. Each invocation adds a sample to the mean excess.
    fn overload_level(&mut self) -> f64 {
        let expected_calls = self.traffic.expected_calls_in_flight(self.now);
        let calls_in_flight = self.calls_in_flight();
        let calls_per_backend = self.backends.calls_per_backend(calls_in_flight, &self.settings, self.now);
        let sample = LoadSample { calls_in_flight, expected_calls, calls_per_backend };
        self.overload.update(sample, self.now, self.traffic.time_constant())
    }

    /// Returns the number of calls in flight at backends that are no outliers. Calls whose latest attempt was
    /// rejected or got no connection count while they wait for a retry. The number is at most the number of
    /// unanswered calls, so that hedged attempts do not count as additional calls.
    fn calls_in_flight(&self) -> f64 {
        let attempts = self.backends.in_flight_at_healthy_backends(self.now);
        (attempts + self.calls.with_unaccepted_attempt()).min(self.calls.unanswered()) as f64
    }

    /// Returns the number of requests without a final response.
    #[must_use]
    pub fn open_requests(&self) -> usize {
        self.calls.len()
    }

    /// Returns the number of backends for which the balancer keeps state.
    #[must_use]
    pub fn backends_known(&self) -> usize {
        self.backends.len()
    }

    /// Returns the number of backends in the endpoint list.
    #[must_use]
    pub fn backends_listed(&self) -> usize {
        self.backends.listed().count()
    }

    /// Returns the number of listed backends that are sent few requests or none: backends in maintenance and
    /// outliers.
    #[must_use]
    pub fn backends_avoided(&self) -> usize {
        self.backends.avoided(self.now)
    }

    /// Returns the members of this balancer's subset, which are preferred for attempts.
    pub fn members(&self) -> impl Iterator<Item = BackendId> {
        let members = self.backends.subset().members().iter();
        members.map(|member| self.backends.endpoint(*member).id)
    }
}
