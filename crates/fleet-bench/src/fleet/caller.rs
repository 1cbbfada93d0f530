//! One caller: a proxy's balancer that calls a service on virtual time.
//!
//! The caller owns its balancer, its virtual clock and its open calls. It takes one event after the
//! other, passes it to the balancer, and carries out the balancer's actions against the simulated
//! network. It owes each call one final response before the deadline, which is checked throughout.

mod accounting;
mod deliveries;
mod discovery_client;
mod endpoint_list;
mod event_queue;
mod network;
mod requests;
mod workload;

use super::checker::{OpenCall, Rule, Violation};
use super::observations::{CallerObservations, SAMPLE_INTERVAL};
use super::plan::Plan;
use super::random;
use super::scenario::Scenario;
use super::settings::{CLASS_EFFECTS, caller_settings};
use crate::error::Error;
use accounting::{Accounting, Failure};
use balancer::{
    Action, BackendId, Balancer, EndedAttempt, EndpointUpdate, Event, Outcome, Request, RequestId, Time,
};
use discovery_client::{DiscoveryClient, Message};
use event_queue::{AttemptId, CallerEvent, EventQueue};
use network::{AttemptTimes, Network};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use requests::{InFlight, Requests};
use std::time::Instant;
use workload::Workload;

/// Number of events between two checks of the real time.
const EVENTS_PER_ABORT_CHECK: u32 = 4096;

struct Caller<'a> {
    scenario: &'a Scenario<'a>,
    /// The plan of the scenario.
    plan: &'a Plan,
    /// Its index among the callers of the service.
    index: usize,
    machine: usize,
    zone: usize,
    /// The first machine of the service; backends are counted from it.
    first_backend: usize,
    rng: SmallRng,
    queue: EventQueue,
    balancer: Balancer,
    /// Reused between events.
    actions: Vec<Action>,
    requests: Requests,
    network: Network<'a>,
    discovery: DiscoveryClient<'a>,
    workload: Workload<'a>,
    accounting: Accounting<'a>,
}

/// Simulates a caller of a scenario's service, by its index among the callers.
///
/// # Errors
/// A violated rule with the seed and the time of the violation, or the real time limit of the run.
pub fn simulate(
    scenario: &Scenario<'_>,
    caller_index: usize,
    record: bool,
) -> Result<CallerObservations, Error> {
    let mut caller = Caller::new(scenario, caller_index, record);
    caller.begin()?;
    caller.run()?;
    Ok(caller.accounting.into_observations())
}

impl<'a> Caller<'a> {
    fn new(scenario: &'a Scenario<'a>, index: usize, record: bool) -> Self {
        let context = &scenario.context;
        let service = scenario.service();
        let machine = service.callers[index];
        let zone = context.topology.machines[machine].zone;
        let seed = random::seed(&[context.plan.seed, 2, context.phase as u64, machine as u64]);
        let settings = caller_settings(context.plan, context.topology, scenario.service_index, index);
        let mut accounting = Accounting::new(scenario);
        if record {
            accounting.start_recording(seed, settings.clone());
        }
        Self {
            scenario,
            plan: context.plan,
            index,
            machine,
            zone,
            first_backend: service.machines.start,
            rng: SmallRng::seed_from_u64(seed),
            queue: EventQueue::default(),
            balancer: Balancer::new(0.0, seed, settings),
            actions: Vec::new(),
            requests: Requests::default(),
            network: Network::new(scenario, zone),
            discovery: DiscoveryClient::new(scenario, machine),
            workload: Workload::new(scenario, machine),
            accounting,
        }
    }

    /// Schedules what is known from the beginning, and passes the first endpoint list to the balancer.
    fn begin(&mut self) -> Result<(), Error> {
        let deliveries = deliveries::draw_deliveries(self.scenario, &self.network, self.zone, &mut self.rng);
        let mut sample = 0;
        while f64::from(sample) * SAMPLE_INTERVAL <= self.plan.end() {
            self.queue.schedule(f64::from(sample) * SAMPLE_INTERVAL, CallerEvent::Sample(sample));
            sample += 1;
        }
        if let Some(outage) = self.scenario.context.faults.outages[self.machine] {
            self.queue.schedule(outage.down, CallerEvent::Stop);
            self.queue.schedule(outage.up, CallerEvent::Start);
        }
        for delivery in deliveries {
            self.queue.schedule(delivery.at, CallerEvent::EndpointChanges(delivery.changes_end));
        }
        self.handle_message(&Message::Full(self.discovery.endpoints().listed()))?;
        self.schedule_next_call();
        Ok(())
    }

    /// Handles one event after the other until none is pending.
    fn run(&mut self) -> Result<(), Error> {
        let mut events = 0_u32;
        while let Some(event) = self.queue.next() {
            events = events.wrapping_add(1);
            if events.is_multiple_of(EVENTS_PER_ABORT_CHECK) {
                self.check_real_time()?;
            }
            match event {
                CallerEvent::Call => self.make_call()?,
                CallerEvent::Timer(token) => self.handle_recorded(Event::Timer(token))?,
                CallerEvent::AttemptEnded(attempt, outcome) => self.end_attempt(attempt, outcome)?,
                CallerEvent::EndpointChanges(end) => self.receive_changes(end)?,
                CallerEvent::Sample(sample) => self.sample_state(sample),
                CallerEvent::Stop => self.stop(),
                CallerEvent::Start => self.start()?,
                CallerEvent::FirstEndpointList => self.receive_first_list()?,
            }
        }
        self.requests.verify_none_open().map_err(|violation| self.rule_error(violation))
    }

    fn check_real_time(&self) -> Result<(), Error> {
        if Instant::now() < self.scenario.context.abort_at {
            return Ok(());
        }
        Err(Error::Failed(format!("given up after {} s", self.plan.real_time_limit)))
    }

    fn rule_error(&self, violation: Violation) -> Error {
        Error::Rule {
            rule: violation.rule,
            call: violation.call.0,
            seed: self.plan.seed,
            phase: self.scenario.context.phase.name(),
            machine: self.machine,
            at: self.queue.now(),
        }
    }
}

/// Calls and their attempts.
impl Caller<'_> {
    fn schedule_next_call(&mut self) {
        if let Some(at) = self.workload.draw_next(self.queue.now(), &mut self.rng) {
            self.queue.schedule(at, CallerEvent::Call);
        }
    }

    fn make_call(&mut self) -> Result<(), Error> {
        let now = self.queue.now();
        if self.workload.draw_is_made(now, &mut self.rng) {
            let class = self.workload.draw_class(&mut self.rng);
            let timeout = self.plan.call_timeout;
            let counted = self.accounting.in_window(now);
            let id = self.requests.open(CLASS_EFFECTS[class], now + timeout, counted);
            self.accounting.count_call(counted);
            self.handle_recorded(Event::Request(Request { id, class, timeout, ..Request::default() }))?;
        }
        self.schedule_next_call();
        Ok(())
    }

    fn send_attempt(&mut self, request: RequestId, to: BackendId, timeout: Time) -> Result<(), Error> {
        let backend = (to.0 as usize).wrapping_sub(self.first_backend);
        if backend >= self.discovery.endpoints().len() {
            return Err(self.rule_error(Violation { rule: Rule::Unlisted, call: request }));
        }
        let sent = self.queue.now();
        let sending = self.requests.send(request, InFlight { backend, sent });
        let attempt = sending.map_err(|violation| self.rule_error(violation))?;
        let times = AttemptTimes { sent, timeout_at: sent + timeout };
        let end = self.network.attempt(backend, times, &mut self.rng);
        self.queue.schedule(end.at, CallerEvent::AttemptEnded(attempt, end.outcome));
        self.accounting.count_attempt(backend, sent, end.unavailable, self.discovery.endpoints());
        Ok(())
    }

    /// Ends an attempt, unless it has been cancelled before, and its call with it if it succeeded.
    fn end_attempt(&mut self, attempt: AttemptId, outcome: Outcome) -> Result<(), Error> {
        let Some(InFlight { backend, sent }) = self.requests.end_attempt(attempt) else {
            return Ok(());
        };
        let now = self.queue.now();
        let request = attempt.request;
        match outcome {
            Outcome::Success => {
                self.network.responded(backend, now);
                if self.requests.is_open(request) {
                    let call = self.close(request)?;
                    self.accounting.count_success(call);
                }
            }
            Outcome::NoConnection => self.requests.attempt_never_ran(request),
            _ => {}
        }
        self.handle_recorded(Event::AttemptEnded(EndedAttempt {
            id: request,
            backend: BackendId((self.first_backend + backend) as u32),
            attempt: attempt.index,
            outcome,
            duration: now - sent,
            request_finished: !self.requests.is_open(request),
            report: None,
        }))
    }

    fn end_without_success(&mut self, request: RequestId, failure: Failure) -> Result<(), Error> {
        let call = self.close(request)?;
        let reachable = self.network.any_backend_reachable(self.queue.now());
        self.accounting.count_failure(call, failure, reachable);
        Ok(())
    }

    fn close(&mut self, request: RequestId) -> Result<OpenCall, Error> {
        let closing = self.requests.close(request, self.queue.now());
        closing.map_err(|violation| self.rule_error(violation))
    }
}

/// The balancer: its events and its actions.
impl Caller<'_> {
    /// Passes an event to the balancer and carries out its actions.
    fn handle_recorded(&mut self, event: Event<'static>) -> Result<(), Error> {
        self.accounting.record_event(self.queue.now(), event);
        self.handle(event)
    }

    fn handle_message(&mut self, message: &Message) -> Result<(), Error> {
        self.accounting.count_message(self.queue.now(), message);
        self.handle_update(match message {
            Message::Changes(endpoints) => EndpointUpdate::Changes(endpoints),
            Message::Full(endpoints) => EndpointUpdate::Full(endpoints),
        })
    }

    fn handle_update(&mut self, update: EndpointUpdate<'_>) -> Result<(), Error> {
        self.accounting.record_update(self.queue.now(), update);
        self.handle(Event::Endpoints(update))
    }

    fn handle(&mut self, event: Event<'_>) -> Result<(), Error> {
        // Taken, as carrying out an action may pass further events to the balancer.
        let mut actions = std::mem::take(&mut self.actions);
        self.balancer.handle(self.queue.now(), event, &mut actions);
        let result = actions.drain(..).try_for_each(|action| self.perform(&action));
        self.actions = actions;
        result
    }

    fn perform(&mut self, action: &Action) -> Result<(), Error> {
        match *action {
            Action::Send { id, backend, timeout, .. } => self.send_attempt(id, backend, timeout),
            Action::Cancel { id, attempt } => {
                self.end_attempt(AttemptId { request: id, index: attempt }, Outcome::Cancelled)
            }
            Action::Reject { id, .. } => self.end_without_success(id, Failure::Rejected),
            Action::Fail { id } => self.end_without_success(id, Failure::Failed),
            Action::SetTimer { at, token } => {
                self.queue.schedule(at, CallerEvent::Timer(token));
                Ok(())
            }
            // Requests are written at once, lists are pushed, and idle connections time out.
            Action::Withdraw { .. }
            | Action::HealthCheck(_)
            | Action::CloseIdleConnections(_)
            | Action::WatchEndpoints => Ok(()),
        }
    }

    fn sample_state(&mut self, sample: u32) {
        if self.discovery.is_up() {
            self.accounting.sample_state(sample, &self.balancer);
        }
    }
}

/// Endpoint updates, and the process's stop and start.
impl Caller<'_> {
    /// Receives the endpoint changes before the index `end`.
    fn receive_changes(&mut self, end: usize) -> Result<(), Error> {
        let now = self.queue.now();
        let Some(update) = self.discovery.deliver(end, now) else {
            return Ok(());
        };
        for change in update.changes {
            self.accounting.record_notification(change, now);
        }
        self.handle_message(&update.message)
    }

    /// Stops the process; its open calls are lost.
    fn stop(&mut self) {
        self.accounting.count_lost(self.requests.drop_all());
        self.network.close_connections();
        self.discovery.stop();
        self.queue.end_incarnation();
    }

    /// Starts a new process with the endpoint list that the last one cached.
    fn start(&mut self) -> Result<(), Error> {
        let topology = self.scenario.context.topology;
        let now = self.queue.now();
        let seed = self.rng.random();
        let settings = caller_settings(self.plan, topology, self.scenario.service_index, self.index);
        self.accounting.record_start(now, seed);
        self.balancer = Balancer::new(now, seed, settings);
        self.discovery.start();
        let cached = self.discovery.endpoints().listed();
        self.handle_update(EndpointUpdate::Cached(&cached))?;
        let at = self.discovery.draw_first_response(now, &self.network, self.zone, &mut self.rng);
        self.queue.schedule(at, CallerEvent::FirstEndpointList);
        self.schedule_next_call();
        Ok(())
    }

    fn receive_first_list(&mut self) -> Result<(), Error> {
        let message = self.discovery.deliver_first_response(self.queue.now());
        self.handle_message(&message)
    }
}
