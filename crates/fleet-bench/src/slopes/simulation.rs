//! Simulates one balancer on virtual time. Requests arrive at a constant rate, backends respond, timers fire
//! when due, and cancelled attempts are reported to the balancer. The processor time of each event is
//! measured separately.

use super::deployment_case::{
    DeploymentCase, REQUEST_TIMEOUT_SECONDS, REQUESTS_PER_SLOW_REQUEST, RESPONSE_TIME_SECONDS,
    SLOW_RESPONSE_TIME_SECONDS,
};
use super::event_queue::{EventQueue, PendingEvent};
use super::event_times::{EventKind, EventTimes, measure_clock_cost};
use super::open_requests::{Attempt, OpenRequests};
use crate::thread_clock::thread_time;
use balancer::{
    Action, AttemptNumber, BackendId, Balancer, ClassIndex, EndedAttempt, Endpoint, EndpointUpdate, Event,
    Outcome, Request, RequestId, Status, TenantIndex, Time, TimerToken,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Number of requests that are simulated after each endpoint change, so that the next change arrives at a
/// balancer with open requests.
const REQUESTS_AFTER_CHANGE: usize = 2;

/// An attempt that the balancer cancelled.
#[derive(Clone, Copy, Debug)]
struct CancelledAttempt {
    id: RequestId,
    number: AttemptNumber,
    attempt: Attempt,
}

/// One balancer with simulated requests, backends and timers.
pub struct Simulation {
    case: DeploymentCase,
    balancer: Balancer,
    endpoints: Vec<Endpoint>,
    /// Actions of the balancer that have not been executed.
    actions: Vec<Action>,
    rng: SmallRng,
    now: Time,
    next_id: u64,
    open_requests: OpenRequests,
    queue: EventQueue,
    times: EventTimes,
    /// Whether each backend received an attempt in the current batch of requests.
    backend_used: Vec<bool>,
    /// Whether the present settings have one instance more than the case.
    extra_instance: bool,
    /// Processor time of a clock reading, in seconds.
    clock_cost: f64,
}

impl Simulation {
    /// Creates a simulation whose balancer has received its endpoint list.
    #[must_use]
    pub fn new(case: DeploymentCase, seed: u64) -> Self {
        let mut simulation = Self {
            case,
            balancer: Balancer::new(0.0, seed, case.settings()),
            endpoints: case.endpoints(),
            actions: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
            now: 0.0,
            next_id: 0,
            open_requests: OpenRequests::default(),
            queue: EventQueue::default(),
            times: EventTimes::default(),
            backend_used: vec![false; case.backends],
            extra_instance: false,
            clock_cost: measure_clock_cost(),
        };
        simulation.measure_full_list();
        simulation
    }

    /// Returns the size of the balancer in bytes: the struct and the heap memory that its drop frees.
    #[must_use]
    pub fn state_bytes(self) -> f64 {
        let balancer = self.balancer;
        let freed = allocation_counter::measure(|| drop(balancer)).bytes_current;
        size_of::<Balancer>() as f64 - freed as f64
    }

    /// Returns the number of backends that received an attempt in the last batch of requests.
    #[must_use]
    pub fn backends_used(&self) -> usize {
        self.backend_used.iter().filter(|used| **used).count()
    }

    /// Simulates requests for this many seconds of virtual time, in which the balancer estimates its rates.
    pub fn warm_up(&mut self, duration: Time) {
        self.simulate_requests((duration * self.case.request_rate()).ceil() as usize);
    }

    /// Simulates a batch of this many requests, and returns the cost of the batch.
    pub fn simulate_requests(&mut self, requests: usize) -> EventTimes {
        self.times = EventTimes::default();
        self.backend_used.fill(false);
        self.clock_cost = measure_clock_cost();
        self.simulate_arrivals(requests);
        std::mem::take(&mut self.times)
    }

    /// Measures the processor time of an update of one endpoint, in microseconds. Updates alternate: a
    /// backend begins to drain, and then the same backend is in service again.
    pub fn measure_endpoint_change(&mut self) -> f64 {
        let draining = self.endpoints.iter().position(|endpoint| endpoint.status != Status::InService);
        let index = draining.unwrap_or_else(|| self.rng.random_range(0..self.endpoints.len()));
        let endpoint = &mut self.endpoints[index];
        endpoint.status = if draining.is_some() { Status::InService } else { Status::Draining };
        let changes = [endpoint.clone()];
        let seconds = self.handle(Event::Endpoints(EndpointUpdate::Changes(&changes)));
        self.perform_actions(None);
        self.simulate_arrivals(REQUESTS_AFTER_CHANGE);
        1e6 * seconds
    }

    /// Measures the processor time of a full endpoint list without any change, in microseconds.
    pub fn measure_full_list(&mut self) -> f64 {
        let endpoints = std::mem::take(&mut self.endpoints);
        let seconds = self.handle(Event::Endpoints(EndpointUpdate::Full(&endpoints)));
        self.endpoints = endpoints;
        self.perform_actions(None);
        1e6 * seconds
    }

    /// Measures the processor time of the first full endpoint list of a new balancer, in microseconds.
    pub fn measure_first_list(&mut self, seed: u64) -> f64 {
        let mut balancer = Balancer::new(0.0, seed, self.case.settings());
        let started = thread_time();
        balancer.handle(0.0, Event::Endpoints(EndpointUpdate::Full(&self.endpoints)), &mut self.actions);
        let seconds = thread_time() - started;
        self.actions.clear();
        1e6 * (seconds - self.clock_cost)
    }

    /// Measures the processor time of new settings, in microseconds. Settings alternate between one instance
    /// more and the number of the case.
    pub fn measure_settings_change(&mut self) -> f64 {
        self.extra_instance = !self.extra_instance;
        let mut settings = self.case.settings();
        settings.instance_count += usize::from(self.extra_instance);
        let seconds = self.handle(Event::Settings(&settings));
        self.perform_actions(None);
        1e6 * seconds
    }

    /// Simulates the arrivals of this many requests, and the events that are due in between.
    fn simulate_arrivals(&mut self, requests: usize) {
        for _ in 0..requests {
            let arrival = self.now + 1.0 / self.case.request_rate();
            while let Some(due) = self.queue.take_due(arrival) {
                self.now = self.now.max(due.at);
                self.handle_pending(due.event);
            }
            self.now = arrival;
            self.handle_arrival();
        }
    }

    fn handle_arrival(&mut self) {
        let id = RequestId(self.next_id);
        self.next_id += 1;
        let tenants = self.case.tenants;
        let request = Request {
            id,
            class: ClassIndex(self.rng.random_range(0..self.case.classes)),
            tenant: (tenants > 0).then(|| TenantIndex(self.rng.random_range(0..tenants))),
            timeout: REQUEST_TIMEOUT_SECONDS,
            ..Request::default()
        };
        self.open_requests.open(id);
        let seconds = self.handle(Event::Request(request));
        self.times.add(EventKind::Request, seconds);
        self.times.add_open_requests(self.balancer.open_requests());
        self.perform_actions(Some(id));
    }

    fn handle_pending(&mut self, event: PendingEvent) {
        match event {
            PendingEvent::Timer { id, token } => self.handle_timer(id, token),
            PendingEvent::Response { id, attempt } => self.handle_response(id, attempt),
        }
    }

    fn handle_timer(&mut self, id: RequestId, token: TimerToken) {
        let seconds = self.handle(Event::Timer(token));
        let retries = self.actions.iter().any(|action| matches!(action, Action::Send { .. }));
        let kind = if !self.open_requests.is_open(id) {
            EventKind::LateTimer
        } else if retries {
            EventKind::TimerWithRetry
        } else {
            EventKind::TimerWithoutRetry
        };
        self.times.add(kind, seconds);
        self.perform_actions(Some(id));
    }

    /// Reports the response to an attempt, unless another attempt has already completed the request.
    fn handle_response(&mut self, id: RequestId, number: AttemptNumber) {
        let Some(attempt) = self.open_requests.attempt(id, number) else {
            return;
        };
        let seconds = self.end_attempt(id, number, attempt, Outcome::Success);
        self.times.add(EventKind::Response, seconds);
        self.perform_actions(Some(id));
        self.open_requests.close(id);
    }

    fn end_attempt(
        &mut self,
        id: RequestId,
        number: AttemptNumber,
        attempt: Attempt,
        outcome: Outcome,
    ) -> f64 {
        let duration = self.now - attempt.sent;
        self.handle(Event::AttemptEnded(EndedAttempt {
            id,
            backend: attempt.backend,
            attempt: number,
            outcome,
            duration,
            request_finished: true,
            report: None,
        }))
    }

    /// Passes an event to the balancer, and returns the processor time of the event, in seconds.
    fn handle(&mut self, event: Event<'_>) -> f64 {
        let started = thread_time();
        self.balancer.handle(self.now, event, &mut self.actions);
        thread_time() - started - self.clock_cost
    }

    /// Executes the pending actions of the balancer, and the actions that result from them. `request` is the
    /// request whose event led to the actions.
    fn perform_actions(&mut self, request: Option<RequestId>) {
        let mut actions = std::mem::take(&mut self.actions);
        let mut cancelled = Vec::new();
        let mut ended = Vec::new();
        for action in actions.drain(..) {
            match action {
                Action::Send { id, backend, .. } => self.send(id, backend),
                Action::SetTimer { at, token } => {
                    let id = request.unwrap_or_default();
                    self.queue.schedule(at, PendingEvent::Timer { id, token });
                }
                Action::Cancel { id, attempt: number } => {
                    let attempt = self.open_requests.attempt(id, number);
                    cancelled.extend(attempt.map(|attempt| CancelledAttempt { id, number, attempt }));
                }
                Action::Reject { id, .. } | Action::Fail { id } => {
                    self.times.unserved += 1;
                    ended.push(id);
                }
                // The simulation has no health checks, watches or connections.
                _ => {}
            }
        }
        self.actions = actions;
        for id in ended {
            self.open_requests.close(id);
        }
        for CancelledAttempt { id, number, attempt } in cancelled {
            let seconds = self.end_attempt(id, number, attempt, Outcome::Cancelled);
            self.times.add(EventKind::Cancellation, seconds);
        }
        if !self.actions.is_empty() {
            self.perform_actions(request);
        }
    }

    /// Sends an attempt. Only the first attempt of a slow request gets a slow response.
    fn send(&mut self, id: RequestId, backend: BackendId) {
        let attempt = self.open_requests.add_attempt(id, Attempt { backend, sent: self.now });
        let slow = attempt == AttemptNumber(0) && id.0.is_multiple_of(REQUESTS_PER_SLOW_REQUEST);
        let response_time = if slow { SLOW_RESPONSE_TIME_SECONDS } else { RESPONSE_TIME_SECONDS };
        self.queue.schedule(self.now + response_time, PendingEvent::Response { id, attempt });
        if let Some(used) = self.backend_used.get_mut(backend.0 as usize) {
            *used = true;
        }
    }
}
