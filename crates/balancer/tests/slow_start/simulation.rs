//! The simulation of a fleet on virtual time.

use crate::event_queue::{EventQueue, ScheduledEvent, SimulatedEvent};
use crate::fleet::{BACKEND_START_TIME, Fleet, REQUEST_TIMEOUT, backend_index};
use crate::simulated_backends::SimulatedBackends;
use balancer::{
    Action, AttemptNumber, BackendId, Balancer, EndedAttempt, EndpointUpdate, Event, Outcome, Request,
    RequestId, Time,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// The greatest time from the start of a balancer to the arrival of its first request, in seconds.
const MAX_FIRST_ARRIVAL_DELAY: Time = 0.01;
/// The difference between the seeds of the same balancer in consecutive simulations.
const BALANCER_SEED_STEP: u64 = 1000;

/// A simulated fleet on virtual time.
pub struct Simulation {
    fleet: Fleet,
    random: SmallRng,
    balancers: Vec<Balancer>,
    backends: SimulatedBackends,
    queue: EventQueue,
    last_request: u64,
    /// The times at which requests were sent to each of the started backends, in seconds.
    sends_to_started: Vec<Vec<Time>>,
}

impl Simulation {
    /// Starts the balancers of a fleet.
    pub fn new(fleet: Fleet, seed: u64) -> Self {
        let start = fleet.balancer_start_time();
        let new_balancer =
            |index| Balancer::new(start, seed * BALANCER_SEED_STEP + index as u64, fleet.settings_of(index));
        let mut simulation = Self {
            fleet,
            random: SmallRng::seed_from_u64(seed),
            balancers: (0..fleet.balancers).map(new_balancer).collect(),
            backends: SimulatedBackends::new(&fleet),
            queue: EventQueue::default(),
            last_request: 0,
            sends_to_started: vec![Vec::new(); fleet.started_backends],
        };
        let endpoints = fleet.initial_endpoints();
        for balancer in 0..fleet.balancers {
            let event = Event::Endpoints(EndpointUpdate::Full(&endpoints));
            simulation.balancers[balancer].handle(start, event, &mut Vec::new());
            let at = start + simulation.random.random::<f64>() * MAX_FIRST_ARRIVAL_DELAY;
            simulation.queue.schedule(ScheduledEvent { at, balancer, event: SimulatedEvent::Arrival });
        }
        simulation
    }

    /// Runs until the slow start of the started backends ends.
    pub fn run(&mut self) {
        let end = BACKEND_START_TIME + self.fleet.settings().slow_start_duration;
        let mut has_notified_balancers = false;
        while let Some(scheduled) = self.queue.pop() {
            if scheduled.at > end {
                break;
            }
            if scheduled.at >= BACKEND_START_TIME && !has_notified_balancers {
                has_notified_balancers = true;
                self.notify_of_start(scheduled.at);
            }
            self.handle_event(scheduled);
        }
    }

    /// Returns the times at which requests were sent to each of the started backends, in seconds.
    pub fn sends_to_started(&self) -> &[Vec<Time>] {
        &self.sends_to_started
    }

    /// Notifies all balancers of the backends that have started.
    fn notify_of_start(&mut self, now: Time) {
        let started = self.fleet.started_endpoints();
        for balancer in 0..self.balancers.len() {
            self.handle_at_balancer(now, balancer, Event::Endpoints(EndpointUpdate::Changes(&started)));
        }
    }

    /// Handles a scheduled event.
    fn handle_event(&mut self, scheduled: ScheduledEvent) {
        let ScheduledEvent { at: now, balancer, event } = scheduled;
        let event = match event {
            SimulatedEvent::Arrival => {
                self.schedule_next_arrival(now, balancer);
                self.last_request += 1;
                let id = RequestId(self.last_request);
                Event::Request(Request { id, timeout: REQUEST_TIMEOUT, ..Request::default() })
            }
            SimulatedEvent::Timer(token) => Event::Timer(token),
            SimulatedEvent::AttemptEnded(ended) => {
                let report = self.backends.respond(now, ended.backend);
                Event::AttemptEnded(EndedAttempt { report, ..ended })
            }
        };
        self.handle_at_balancer(now, balancer, event);
    }

    /// Handles an event at a balancer, and carries out the actions that the balancer returns.
    fn handle_at_balancer(&mut self, now: Time, balancer: usize, event: Event<'_>) {
        let mut actions = Vec::new();
        self.balancers[balancer].handle(now, event, &mut actions);
        for action in actions {
            self.perform_action(now, balancer, &action);
        }
    }

    fn schedule_next_arrival(&mut self, now: Time, balancer: usize) {
        let interval = -(1.0 - self.random.random::<f64>()).ln() / self.fleet.request_rate(balancer);
        self.queue.schedule(ScheduledEvent { at: now + interval, balancer, event: SimulatedEvent::Arrival });
    }

    /// Carries out an action of a balancer.
    fn perform_action(&mut self, now: Time, balancer: usize, action: &Action) {
        match *action {
            Action::SetTimer { at, token } => {
                self.queue.schedule(ScheduledEvent { at, balancer, event: SimulatedEvent::Timer(token) });
            }
            Action::Send { id, backend, .. } => {
                self.record_send(now, backend);
                let duration = self.backends.draw_duration(&mut self.random);
                let ended = EndedAttempt {
                    id,
                    backend,
                    attempt: AttemptNumber(0),
                    outcome: Outcome::Success,
                    duration,
                    request_finished: true,
                    report: None,
                };
                let event = SimulatedEvent::AttemptEnded(ended);
                self.queue.schedule(ScheduledEvent { at: now + duration, balancer, event });
            }
            _ => {}
        }
    }

    fn record_send(&mut self, now: Time, backend: BackendId) {
        let sends = self.sends_to_started.get_mut(backend_index(backend));
        if let Some(sends) = sends.filter(|_| now >= BACKEND_START_TIME) {
            sends.push(now);
        }
    }
}
