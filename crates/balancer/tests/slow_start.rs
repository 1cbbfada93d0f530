//! Backends that are warming up under the requests of all balancers together: a small fleet of the real
//! decision module on virtual time, in which every request is served.

mod common;

use balancer::*;
use common::balancer_harness::request_class;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

const BACKENDS: usize = 20;
/// The distance between the ids of two backends.
const ID_STEP: u32 = 7919;
/// When some backends start, in seconds.
const START_TIME: Time = 30.0;
/// The time constant of the request rates that backends report, in seconds.
const REPORTED_RATE_TIME_CONSTANT: Time = 2.0;
/// The number of seeds that each fleet is simulated with.
const SEEDS: u64 = 40;

/// A fleet, its load and the backends that start.
#[derive(Clone, Copy, Debug)]
struct Fleet {
    balancers: usize,
    /// The requests that arrive, as a fraction of the capacity of all backends.
    load: f64,
    /// Every fifth balancer gets this many times the traffic of the others.
    skew: f64,
    /// Backends that start at the same time.
    started_backends: usize,
    /// Whether the balancers start at that time too.
    balancers_start_too: bool,
    tier: usize,
    /// The capacity of a backend that is warm, in requests per second.
    capacity: f64,
    initial_capacity: f64,
    /// The overload window, in seconds.
    overload_window: Time,
    /// Whether responses report the request rate of their backend.
    has_load_reports: bool,
}

impl Fleet {
    fn settings(&self) -> Settings {
        Settings {
            classes: vec![RequestClass {
                latency_objective: 2.0,
                max_timeout: 4.0,
                late_priority_weight: 0.5,
                ..request_class(Effect::Safe)
            }],
            slow_start_initial_capacity: self.initial_capacity,
            slow_start_duration: 8.8,
            slow_start_overload_multiple: 3.0,
            slow_start_overload_window: self.overload_window,
            max_attempts: 6,
            connections_have_cost: true,
            ..Settings::default()
        }
    }

    /// The settings of one of its balancers.
    fn settings_of(&self, balancer: usize) -> Settings {
        Settings {
            instance_index: balancer,
            instance_count: self.balancers,
            tier: self.tier,
            ..self.settings()
        }
    }

    /// The share of the traffic that a balancer gets, relative to the others.
    fn traffic_weight(&self, balancer: usize) -> f64 {
        if balancer.is_multiple_of(5) { self.skew } else { 1.0 }
    }

    /// The requests per second that arrive at a balancer.
    fn request_rate(&self, balancer: usize) -> f64 {
        let weights: f64 = (0..self.balancers).map(|other| self.traffic_weight(other)).sum();
        self.load * self.capacity * BACKENDS as f64 * self.traffic_weight(balancer) / weights
    }

    /// When the balancers start.
    fn balancer_start_time(&self) -> Time {
        if self.balancers_start_too { START_TIME } else { 0.0 }
    }

    /// The number of requests in the overload window that starts this long after a backend's start, at
    /// which the settings regard the backend as overloaded.
    fn overload_limit(&self, window_start: Time) -> f64 {
        const STEPS: i32 = 50;
        let settings = self.settings();
        let ramp = |age: Time| {
            settings.slow_start_initial_capacity
                + (1.0 - settings.slow_start_initial_capacity)
                    * (age / settings.slow_start_duration).clamp(0.0, 1.0)
        };
        let window = settings.slow_start_overload_window;
        let age_at = |step: i32| window_start + window * f64::from(step) / f64::from(STEPS);
        let mean = (0..STEPS).map(|step| ramp(age_at(step))).sum::<f64>() / f64::from(STEPS);
        settings.slow_start_overload_multiple * self.capacity * mean * window
    }
}

/// What happens next at a balancer.
enum SimulatedEvent {
    Arrival,
    Timer(TimerToken),
    AttemptEnded(EndedAttempt),
}

/// The request rate that a backend reports, decayed exponentially.
#[derive(Clone, Copy)]
struct ReportedRate {
    requests_per_second: f64,
    updated_at: Time,
}

/// A fleet on virtual time.
struct Simulation {
    fleet: Fleet,
    rng: SmallRng,
    balancers: Vec<Balancer>,
    /// The balancer and the event of each entry of the queue.
    events: Vec<(usize, SimulatedEvent)>,
    /// The times of the events in whole nanoseconds, so that they sort, and their indices.
    queue: BinaryHeap<Reverse<(u64, usize)>>,
    requests: u64,
    reported_rates: Vec<ReportedRate>,
    /// When requests were sent to each of the started backends.
    sent_to_started: Vec<Vec<Time>>,
}

/// The endpoint list, with the start of the backends that start if `started`.
fn endpoint_list(fleet: &Fleet, started: bool) -> Vec<Endpoint> {
    let mut list: Vec<_> = (0..BACKENDS as u32)
        .map(|index| Endpoint { id: BackendId(index * ID_STEP), ..Endpoint::default() })
        .collect();
    if started {
        for endpoint in &mut list[..fleet.started_backends] {
            endpoint.started_at = Some(START_TIME);
        }
    }
    list
}

fn backend_index(id: BackendId) -> usize {
    (id.0 / ID_STEP) as usize
}

impl Simulation {
    fn new(fleet: Fleet, seed: u64) -> Self {
        let start = fleet.balancer_start_time();
        let new_balancer = |index| Balancer::new(start, seed * 1000 + index as u64, fleet.settings_of(index));
        let initial_rate = ReportedRate { requests_per_second: 0.0, updated_at: start };
        let mut simulation = Self {
            fleet,
            rng: SmallRng::seed_from_u64(seed),
            balancers: (0..fleet.balancers).map(new_balancer).collect(),
            events: Vec::new(),
            queue: BinaryHeap::new(),
            requests: 0,
            reported_rates: vec![initial_rate; BACKENDS],
            sent_to_started: vec![Vec::new(); fleet.started_backends],
        };
        let list = endpoint_list(&fleet, fleet.balancers_start_too);
        for balancer in 0..fleet.balancers {
            let event = Event::Endpoints(EndpointUpdate::Full(&list));
            simulation.balancers[balancer].handle(start, event, &mut Vec::new());
            let first_arrival = start + simulation.rng.random::<f64>() * 0.01;
            simulation.schedule(first_arrival, balancer, SimulatedEvent::Arrival);
        }
        simulation
    }

    fn schedule(&mut self, at: Time, balancer: usize, event: SimulatedEvent) {
        self.queue.push(Reverse(((at * 1e9) as u64, self.events.len())));
        self.events.push((balancer, event));
    }

    /// Runs until the started backends are warm.
    fn run(&mut self) {
        let end = START_TIME + self.fleet.settings().slow_start_duration;
        let started_list = endpoint_list(&self.fleet, true);
        let mut are_notified = false;
        while let Some(Reverse((nanoseconds, index))) = self.queue.pop() {
            let now = nanoseconds as f64 / 1e9;
            if now > end {
                break;
            }
            let mut actions = Vec::new();
            if now >= START_TIME && !are_notified {
                are_notified = true;
                let started = &started_list[..self.fleet.started_backends];
                for balancer in &mut self.balancers {
                    let event = Event::Endpoints(EndpointUpdate::Changes(started));
                    balancer.handle(now, event, &mut actions);
                }
            }
            let balancer = self.handle_event(now, index, &mut actions);
            for action in actions {
                self.perform(now, balancer, &action);
            }
        }
    }

    /// Passes an event to its balancer, which is returned.
    fn handle_event(&mut self, now: Time, index: usize, actions: &mut Vec<Action>) -> usize {
        let (balancer, ref event) = self.events[index];
        match *event {
            SimulatedEvent::Arrival => {
                let gap = -(1.0 - self.rng.random::<f64>()).ln() / self.fleet.request_rate(balancer);
                self.schedule(now + gap, balancer, SimulatedEvent::Arrival);
                self.requests += 1;
                let request = Request { id: RequestId(self.requests), timeout: 4.0, ..Request::default() };
                self.balancers[balancer].handle(now, Event::Request(request), actions);
            }
            SimulatedEvent::Timer(token) => {
                self.balancers[balancer].handle(now, Event::Timer(token), actions);
            }
            SimulatedEvent::AttemptEnded(ended) => {
                let report = self.update_load_report(now, ended.backend);
                let ended = EndedAttempt { report, ..ended };
                self.balancers[balancer].handle(now, Event::AttemptEnded(ended), actions);
            }
        }
        balancer
    }

    /// Counts a response of a backend; returns its load report, if backends send any.
    fn update_load_report(&mut self, now: Time, backend: BackendId) -> Option<LoadReport> {
        let rate = &mut self.reported_rates[backend_index(backend)];
        let decay = (-(now - rate.updated_at) / REPORTED_RATE_TIME_CONSTANT).exp();
        rate.requests_per_second = rate.requests_per_second * decay + 1.0 / REPORTED_RATE_TIME_CONSTANT;
        rate.updated_at = now;
        let requests_per_second = Some(rate.requests_per_second);
        self.fleet.has_load_reports.then_some(LoadReport { service_time: None, requests_per_second })
    }

    /// Performs an action of a balancer; each request is served.
    fn perform(&mut self, now: Time, balancer: usize, action: &Action) {
        match *action {
            Action::SetTimer { at, token } => self.schedule(at, balancer, SimulatedEvent::Timer(token)),
            Action::Send { id, backend, .. } => {
                let sent_to = self.sent_to_started.get_mut(backend_index(backend));
                if let Some(sent) = sent_to.filter(|_| now >= START_TIME) {
                    sent.push(now);
                }
                let mean_duration = 2.0 / self.fleet.capacity;
                let duration = mean_duration * (0.5 + self.rng.random::<f64>());
                let ended = EndedAttempt {
                    id,
                    backend,
                    attempt: 0,
                    outcome: Outcome::Success,
                    duration,
                    request_finished: true,
                    report: None,
                };
                self.schedule(now + duration, balancer, SimulatedEvent::AttemptEnded(ended));
            }
            _ => {}
        }
    }

    fn load_of_started(&self) -> WarmUpLoad {
        let settings = self.fleet.settings();
        let window = settings.slow_start_overload_window;
        let served_while_warming =
            self.fleet.capacity * settings.slow_start_duration * (1.0 + settings.slow_start_initial_capacity)
                / 2.0;
        let mut load = WarmUpLoad { worst_window: 0.0, used_capacity: 0.0 };
        for sent in &self.sent_to_started {
            for (index, start) in sent.iter().enumerate() {
                let count = sent[index..].iter().take_while(|at| **at < start + window).count();
                let limit = self.fleet.overload_limit(start - START_TIME);
                // Beyond the limit by chance, as arrivals are random.
                let limit_with_chance = limit + 2.0 * limit.sqrt() + 2.0;
                load.worst_window = load.worst_window.max(count as f64 / limit_with_chance);
            }
            load.used_capacity +=
                sent.len() as f64 / served_while_warming / self.fleet.started_backends as f64;
        }
        load
    }
}

/// What backends got while they were warming up.
struct WarmUpLoad {
    /// The worst overload window of any of them, as a fraction of what overloads the backend.
    worst_window: f64,
    /// What they got on average, as a fraction of what they can do while they are warming up.
    used_capacity: f64,
}

/// Simulates the fleet with many seeds; returns the worst window of all and the mean of the use.
fn simulate(fleet: Fleet) -> WarmUpLoad {
    let mut load = WarmUpLoad { worst_window: 0.0, used_capacity: 0.0 };
    for seed in 0..SEEDS {
        let mut simulation = Simulation::new(fleet, seed);
        simulation.run();
        let load_with_seed = simulation.load_of_started();
        load.worst_window = load.worst_window.max(load_with_seed.worst_window);
        load.used_capacity += load_with_seed.used_capacity / SEEDS as f64;
    }
    load
}

/// Near full load, with windows of 1 s and a tenth of the capacity at first: chance matters most there.
const NEAR_FULL_LOAD: Fleet = Fleet {
    balancers: 20,
    load: 0.95,
    skew: 1.0,
    started_backends: 1,
    balancers_start_too: false,
    tier: 1,
    capacity: 10.0,
    initial_capacity: 0.1,
    overload_window: 1.0,
    has_load_reports: false,
};

/// Fleets at an inner tier that differ in size, skew, load reports and what starts.
fn inner_tier_fleets() -> Vec<Fleet> {
    let mut fleets = Vec::new();
    for balancers in [20, 30] {
        for skew in [1.0, 5.0, 10.0] {
            for has_load_reports in [false, true] {
                for (started_backends, balancers_start_too) in
                    [(1, false), (2, false), (14, false), (2, true), (14, true)]
                {
                    fleets.push(Fleet {
                        balancers,
                        skew,
                        started_backends,
                        balancers_start_too,
                        has_load_reports,
                        ..NEAR_FULL_LOAD
                    });
                }
            }
        }
    }
    fleets
}

/// Fleets at the entry tier, and with other slow start settings.
fn other_fleets() -> Vec<Fleet> {
    let many_started = Fleet { skew: 5.0, started_backends: 14, balancers_start_too: true, ..NEAR_FULL_LOAD };
    let mut fleets = Vec::new();
    for fleet in [NEAR_FULL_LOAD, many_started] {
        fleets.push(Fleet { tier: 0, ..fleet });
        fleets.push(Fleet { initial_capacity: 0.31, overload_window: 2.0, has_load_reports: true, ..fleet });
    }
    fleets
}

#[test]
fn all_balancers_together_overload_no_backend_that_is_warming_up() {
    let fleets = inner_tier_fleets().into_iter().chain(other_fleets());

    std::thread::scope(|scope| {
        let simulations: Vec<_> = fleets.map(|fleet| scope.spawn(move || (fleet, simulate(fleet)))).collect();
        for simulation in simulations {
            let (fleet, load) = simulation.join().unwrap();
            let WarmUpLoad { worst_window, used_capacity } = load;
            assert!(
                worst_window <= 1.0,
                "{worst_window:.2} of an overload, {used_capacity:.2} of its capacity: {fleet:?}"
            );
        }
    });
}

#[test]
fn a_backend_that_is_warming_up_is_used_to_capacity_where_rates_are_reported() {
    for balancers in [20, 30] {
        let load = simulate(Fleet { balancers, has_load_reports: true, ..NEAR_FULL_LOAD });

        assert!(load.used_capacity >= 1.0, "{:.2} of its capacity", load.used_capacity);
    }
}
