//! A simulation of a balancer with clients, backends, operators and discovery, on a virtual clock.

use crate::attempts::OpenAttempt;
use crate::event_queue::{EventQueue, ScheduledEvent, SimulationEvent};
use crate::scenario::{Change, Scenario};
use crate::simulated_backends::SimulatedBackends;
use balancer::{
    Action, AttemptId, Balancer, Endpoint, EndpointUpdate, Event, Outcome, RequestId, ServingProcesses,
    Settings, Time,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;

/// The longest duration of a poll of discovery, in seconds.
const MAX_POLL_DURATION: Time = 0.05;
/// The longest duration of a health check, in seconds.
const MAX_HEALTH_CHECK_DURATION: Time = 0.02;
/// The time after the last arrival at which a simulation ends, in seconds.
const FINAL_WAIT_DURATION: Time = 5.0;

/// An event that the balancer has handled.
#[derive(Clone, Copy, Debug)]
pub struct HandledEvent<'a> {
    /// The number of the event in the scenario, from 0.
    pub number: usize,
    /// The time of the event, in seconds.
    pub time: Time,
    /// The event.
    pub event: Event<'a>,
    /// The actions that the balancer returned.
    pub actions: &'a [Action],
}

/// A request without a final response.
#[derive(Clone, Copy, Debug, Default)]
pub struct OpenRequest {
    /// The time at which the body has been received, in seconds.
    pub body_received_at: Time,
    /// The time from the end of the body until the client times out, in seconds.
    pub timeout: Time,
    /// The number of attempts so far.
    pub attempts: usize,
}

/// The reaction of discovery to a poll.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DiscoveryState {
    /// Discovery sends the list.
    Works,
    /// Discovery does not respond.
    Fails,
    /// Discovery rejects the poll.
    Rejects,
}

/// The state of a simulation.
pub struct Simulation<'a> {
    pub(crate) scenario: &'a Scenario,
    pub(crate) now: Time,
    pub(crate) random: SmallRng,
    pub(crate) event_queue: EventQueue,
    pub(crate) settings: Settings,
    pub(crate) rate: f64,
    pub(crate) last_request_id: u64,
    pub(crate) requests: BTreeMap<RequestId, OpenRequest>,
    pub(crate) attempts: BTreeMap<AttemptId, OpenAttempt>,
    pub(crate) backends: SimulatedBackends,
    balancer: Balancer,
    list: Vec<Endpoint>,
    discovery: DiscoveryState,
    is_watching: bool,
    handled: usize,
    observe: &'a mut dyn FnMut(&HandledEvent<'_>),
}

/// Runs a scenario, and passes each event to the observer.
pub fn run(scenario: &Scenario, observe: &mut dyn FnMut(&HandledEvent<'_>)) {
    let mut simulation = Simulation::new(scenario, observe);
    simulation.start();
    while let Some(ScheduledEvent { at, event }) = simulation.event_queue.next()
        && at < scenario.duration + FINAL_WAIT_DURATION
    {
        simulation.now = at;
        simulation.handle_simulation_event(event);
    }
}

impl<'a> Simulation<'a> {
    fn new(scenario: &'a Scenario, observe: &'a mut dyn FnMut(&HandledEvent<'_>)) -> Self {
        Self {
            scenario,
            now: 0.0,
            random: SmallRng::seed_from_u64(!scenario.seed),
            event_queue: EventQueue::default(),
            settings: scenario.settings.clone(),
            rate: scenario.traffic.rate,
            last_request_id: 0,
            requests: BTreeMap::new(),
            attempts: BTreeMap::new(),
            backends: SimulatedBackends::new(scenario.traffic, scenario.reporting),
            balancer: Balancer::new(0.0, scenario.seed, scenario.settings.clone()),
            list: scenario.endpoints.clone(),
            discovery: DiscoveryState::Works,
            is_watching: !scenario.settings.must_poll_endpoints,
            handled: 0,
            observe,
        }
    }

    fn start(&mut self) {
        for (index, planned) in self.scenario.changes.iter().enumerate() {
            self.event_queue.add(planned.at, SimulationEvent::Change(index));
        }
        self.event_queue.add(0.0, SimulationEvent::Arrival);
        let list = self.list.clone();
        let is_cached = self.settings.must_poll_endpoints;
        let update = if is_cached { EndpointUpdate::Cached(&list) } else { EndpointUpdate::Full(&list) };
        self.handle(Event::Endpoints(update));
    }

    fn handle_simulation_event(&mut self, event: SimulationEvent) {
        match event {
            SimulationEvent::Arrival => self.handle_arrival(),
            SimulationEvent::TimerDue(token) => self.handle(Event::Timer(token)),
            SimulationEvent::ResponseStarts(attempt) => self.handle_response_start(attempt),
            SimulationEvent::AttemptEnds(attempt) => self.handle_attempt_end(attempt),
            SimulationEvent::BodyReceived(id) => self.handle(Event::BodyReceived(id)),
            SimulationEvent::BodyStalls(id) => self.stall_body(id),
            SimulationEvent::BodyConsumed(id) => self.handle(Event::BodyConsumed(id)),
            SimulationEvent::ClientDisconnects(id) => {
                self.requests.remove(&id);
                self.handle(Event::ClientDisconnected(id));
            }
            SimulationEvent::HealthCheckEnds(backend) => {
                let report = self.backends.report(backend, &mut self.random);
                let outcome = if report.is_some() { Outcome::Success } else { Outcome::Timeout };
                self.handle(Event::HealthCheckEnded { backend, outcome, report });
            }
            SimulationEvent::PollEnds => self.end_poll(),
            SimulationEvent::Change(index) => self.apply_change(&self.scenario.changes[index].change),
        }
    }

    fn apply_change(&mut self, change: &Change) {
        match change {
            Change::Rate(rate) => self.rate = *rate,
            Change::Behaviour(backend, behaviour) => self.backends.set_behaviour(*backend, *behaviour),
            Change::List(endpoint) => self.update_list_entry(endpoint),
            Change::Unlist(backend) => self.list.retain(|endpoint| endpoint.id != *backend),
            Change::SendList => self.send_list(),
            Change::DiscoveryFails => self.break_discovery(DiscoveryState::Fails),
            Change::DiscoveryRejects => self.break_discovery(DiscoveryState::Rejects),
            Change::DiscoveryRecovers => self.discovery = DiscoveryState::Works,
            Change::Maintenance(backend, change) => {
                self.handle(Event::Maintenance { backend: *backend, change: *change });
            }
            Change::SecondProcessBegins => self.handle(Event::ServingProcesses(ServingProcesses::Two)),
            Change::SecondProcessEnds => self.handle(Event::ServingProcesses(ServingProcesses::One)),
            Change::Settings(settings) => {
                self.settings = settings.as_ref().clone();
                self.handle(Event::Settings(settings));
            }
        }
    }

    fn update_list_entry(&mut self, endpoint: &Endpoint) {
        self.list.retain(|listed| listed.id != endpoint.id);
        self.list.push(endpoint.clone());
        if self.is_watching {
            self.handle(Event::Endpoints(EndpointUpdate::Changes(std::slice::from_ref(endpoint))));
        }
    }

    fn send_list(&mut self) {
        let list = self.list.clone();
        self.handle(Event::Endpoints(EndpointUpdate::Full(&list)));
    }

    fn end_poll(&mut self) {
        match self.discovery {
            DiscoveryState::Works => {
                self.is_watching = true;
                self.send_list();
            }
            DiscoveryState::Fails => self.handle(Event::Endpoints(EndpointUpdate::Failed)),
            DiscoveryState::Rejects => self.handle(Event::Endpoints(EndpointUpdate::Rejected)),
        }
    }

    fn break_discovery(&mut self, state: DiscoveryState) {
        self.discovery = state;
        if self.is_watching {
            self.is_watching = false;
            self.handle(Event::Endpoints(EndpointUpdate::Failed));
        }
    }

    /// Passes an event to the balancer, and performs the actions that the balancer returns.
    pub(crate) fn handle(&mut self, event: Event<'_>) {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        (self.observe)(&HandledEvent { number: self.handled, time: self.now, event, actions: &actions });
        self.handled += 1;
        for action in actions {
            self.perform_action(action);
        }
    }

    fn perform_action(&mut self, action: Action) {
        match action {
            Action::Send { id, backend, timeout, write_within } => {
                self.send_attempt(id, backend, timeout, write_within);
            }
            Action::Cancel { id, attempt } => self.cancel(AttemptId { request: id, number: attempt }),
            Action::Withdraw { id, attempt } => self.withdraw(AttemptId { request: id, number: attempt }),
            Action::Reject { id, .. } | Action::Fail { id } => {
                self.requests.remove(&id);
            }
            Action::SetTimer { at, token } => {
                let lateness = self.settings.clock_resolution * self.random.random::<f64>();
                self.event_queue.add(at.max(self.now) + lateness, SimulationEvent::TimerDue(token));
            }
            Action::HealthCheck(backend) => {
                let duration = MAX_HEALTH_CHECK_DURATION * self.random.random::<f64>();
                self.event_queue.add(self.now + duration, SimulationEvent::HealthCheckEnds(backend));
            }
            Action::CloseIdleConnections(_) => {}
            Action::WatchEndpoints => {
                let duration = MAX_POLL_DURATION * self.random.random::<f64>();
                self.event_queue.add(self.now + duration, SimulationEvent::PollEnds);
            }
        }
    }
}
