//! One caller: a proxy's balancer that calls a service on virtual time.
//!
//! The caller owns its balancer, its virtual clock and its open calls. It takes one event after the
//! other, passes it to the balancer, and carries out the balancer's actions against the simulated
//! network. It owes each call one final response before the deadline, which is checked throughout.

mod deliveries;
mod endpoint_list;
mod event_queue;
mod network;
mod requests;

use super::checker::{OpenCall, Rule, Violation};
use super::faults::OutageKind;
use super::observations::{CallerObservations, SAMPLE_INTERVAL, SlowStartAttempt, StateSize, SubsetMember};
use super::plan::Plan;
use super::random;
use super::recording::{Record, Recording};
use super::scenario::Scenario;
use super::settings::{CLASS_EFFECTS, caller_settings};
use crate::error::Error;
use balancer_proxy::{
    Action, BackendId, Balancer, EndedAttempt, Endpoint, EndpointUpdate, Event, Outcome, Request, RequestId,
    Time,
};
use endpoint_list::{EndpointList, message_bytes};
use event_queue::{AttemptId, CallerEvent, EventQueue};
use network::{AttemptTimes, Network};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use requests::{InFlight, Requests};
use std::time::Instant;

/// A proxy makes no calls this long before its process stops, in seconds: it could not report their
/// outcomes.
const QUIET_BEFORE_STOP: Time = 1.0;
/// Response time of the discovery agent on the proxy's own machine, in seconds.
const AGENT_RESPONSE_TIME: Time = 0.005;
/// Number of events between two checks of the real time.
const EVENTS_PER_ABORT_CHECK: u32 = 4096;

/// The caller's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProcessState {
    /// No process.
    Down,
    /// A new process with the cached endpoint list, without a response of discovery.
    Starting,
    /// Discovery has responded.
    Running,
}

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
    process: ProcessState,
    balancer: Balancer,
    /// Reused between events.
    actions: Vec<Action>,
    requests: Requests,
    network: Network<'a>,
    endpoints: EndpointList,
    observations: CallerObservations,
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
    Ok(caller.observations)
}

impl<'a> Caller<'a> {
    fn new(scenario: &'a Scenario<'a>, index: usize, record: bool) -> Self {
        let context = &scenario.context;
        let service = scenario.service();
        let machine = service.callers[index];
        let zone = context.topology.machines[machine].zone;
        let seed = random::seed(&[context.plan.seed, 2, context.phase as u64, machine as u64]);
        let settings = caller_settings(context.plan, context.topology, scenario.service_index, index);
        let endpoints = context.topology.endpoints(scenario.service_index);
        Self {
            scenario,
            plan: context.plan,
            index,
            machine,
            zone,
            first_backend: service.machines.start,
            rng: SmallRng::seed_from_u64(seed),
            queue: EventQueue::default(),
            process: ProcessState::Running,
            balancer: Balancer::new(0.0, seed, settings.clone()),
            actions: Vec::new(),
            requests: Requests::default(),
            network: Network::new(scenario, zone),
            endpoints: EndpointList::new(service.machines.start, endpoints),
            observations: CallerObservations {
                update_delays: vec![None; scenario.changes.len()],
                warm_up_attempts: vec![0; service.machines.len()],
                recording: record.then(|| Recording::new(seed, settings)),
                ..CallerObservations::default()
            },
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
        self.handle_full_list()?;
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

    /// Whether the window has begun, from which on calls and attempts are counted.
    fn in_window(&self) -> bool {
        self.queue.now() >= self.plan.warm_up
    }
}

/// Calls and their attempts.
impl Caller<'_> {
    fn schedule_next_call(&mut self) {
        let now = self.queue.now();
        let rate = self.scenario.context.topology.machines[self.machine].rate;
        let at = now + random::exponential(&mut self.rng) / rate;
        let outage = self.scenario.context.faults.outages[self.machine];
        let last_call = match outage.filter(|outage| now < outage.down) {
            Some(outage) if outage.kind == OutageKind::Restart => {
                (outage.down - QUIET_BEFORE_STOP).max(outage.drain)
            }
            Some(outage) => outage.down,
            None => f64::INFINITY,
        };
        if at < self.plan.end().min(last_call) {
            self.queue.schedule(at, CallerEvent::Call);
        }
    }

    /// The share of its calls that the caller makes: a backend that is warming up gets fewer
    /// requests, and makes fewer itself.
    fn activity(&self) -> f64 {
        let now = self.queue.now();
        let outage = self.scenario.context.faults.outages[self.machine];
        match outage.filter(|outage| outage.up <= now) {
            // Its own callers have not been notified yet.
            Some(outage) if now < outage.up + self.plan.update_delay.median => 0.0,
            Some(outage) => self.plan.capacity_share(now - outage.up),
            None => 1.0,
        }
    }

    fn make_call(&mut self) -> Result<(), Error> {
        if self.rng.random::<f64>() >= self.activity() {
            self.schedule_next_call();
            return Ok(());
        }
        let class = self.draw_class();
        let timeout = self.plan.call_timeout;
        let counted = self.in_window();
        let id = self.requests.open(CLASS_EFFECTS[class], self.queue.now() + timeout, counted);
        self.observations.counts.calls.total += u64::from(counted);
        self.handle_recorded(Event::Request(Request { id, class, timeout, ..Request::default() }))?;
        self.schedule_next_call();
        Ok(())
    }

    /// Draws the index of a call's class.
    fn draw_class(&mut self) -> usize {
        let drawn: f64 = self.rng.random();
        let shares = self.plan.effects;
        if drawn < shares.safe {
            0
        } else if drawn < shares.safe + shares.idempotent {
            1
        } else {
            2
        }
    }

    fn send_attempt(&mut self, request: RequestId, to: BackendId, timeout: Time) -> Result<(), Error> {
        let backend = (to.0 as usize).wrapping_sub(self.first_backend);
        if backend >= self.endpoints.len() {
            return Err(self.rule_error(Violation { rule: Rule::Unlisted, call: request }));
        }
        let sent = self.queue.now();
        let sending = self.requests.send(request, InFlight { backend, sent });
        let attempt = sending.map_err(|violation| self.rule_error(violation))?;
        let times = AttemptTimes { sent, timeout_at: sent + timeout };
        let end = self.network.attempt(backend, times, &mut self.rng);
        self.queue.schedule(end.at, CallerEvent::AttemptEnded(attempt, end.outcome));
        self.count_attempt(backend, end.unavailable);
        Ok(())
    }

    fn count_attempt(&mut self, backend: usize, unavailable: bool) {
        let now = self.queue.now();
        let plan = self.plan;
        let outage = self.scenario.context.faults.outages[self.first_backend + backend];
        if outage.is_some_and(|outage| (outage.up..outage.up + plan.slow_start_duration).contains(&now)) {
            let attempt = SlowStartAttempt { backend: backend as u32, sent: now };
            self.observations.slow_start_attempts.push(attempt);
        }
        if (0.5 * plan.warm_up..plan.warm_up).contains(&now) {
            self.observations.warm_up_attempts[backend] += 1;
        }
        if !self.in_window() {
            return;
        }
        let notified = self.endpoints.out_of_service_since(backend);
        let past_grace = notified.is_some_and(|since| now > since + plan.drain_grace);
        let restarted = outage.is_some_and(|outage| now >= outage.up);
        let past_deemed_grace = self.scenario.out_of_service_since[backend]
            .is_some_and(|since| !restarted && now > since + plan.deemed_notified + plan.drain_grace);
        let counts = &mut self.observations.counts.attempts;
        counts.total += 1;
        counts.to_unavailable += u64::from(unavailable);
        counts.past_grace += u64::from(past_grace);
        counts.past_deemed_grace += u64::from(past_grace || past_deemed_grace);
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
                    self.observations.counts.calls.succeeded += u64::from(call.counted);
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

    fn reject(&mut self, request: RequestId) -> Result<(), Error> {
        let call = self.close_without_success(request)?;
        self.observations.counts.calls.rejected += u64::from(call.counted);
        Ok(())
    }

    fn fail(&mut self, request: RequestId) -> Result<(), Error> {
        let call = self.close_without_success(request)?;
        self.observations.counts.calls.failed += u64::from(call.counted);
        Ok(())
    }

    fn close_without_success(&mut self, request: RequestId) -> Result<OpenCall, Error> {
        let call = self.close(request)?;
        if call.counted {
            let unreachable = !self.network.any_backend_reachable(self.queue.now());
            let counts = &mut self.observations.counts.calls;
            counts.without_attempt += u64::from(call.attempts == 0);
            counts.unreachable += u64::from(unreachable);
        }
        Ok(call)
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
        if let Some(recording) = &mut self.observations.recording {
            recording.records.push(Record::Event(self.queue.now(), event));
        }
        self.handle(event)
    }

    fn handle_full_list(&mut self) -> Result<(), Error> {
        let listed = self.endpoints.listed();
        self.count_message(&listed, true);
        self.handle_update(EndpointUpdate::Full(&listed))
    }

    fn handle_changes(&mut self, endpoints: &[Endpoint]) -> Result<(), Error> {
        self.count_message(endpoints, false);
        self.handle_update(EndpointUpdate::Changes(endpoints))
    }

    fn handle_update(&mut self, update: EndpointUpdate<'_>) -> Result<(), Error> {
        if let Some(recording) = &mut self.observations.recording {
            recording.records.push(Record::endpoints(self.queue.now(), update));
        }
        self.handle(Event::Endpoints(update))
    }

    fn count_message(&mut self, endpoints: &[Endpoint], reset: bool) {
        if !self.in_window() || self.queue.now() > self.plan.end() {
            return;
        }
        let counts = &mut self.observations.counts.updates;
        counts.messages += 1;
        counts.endpoints += endpoints.len() as u64;
        counts.bytes += message_bytes(endpoints, reset) as u64;
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
            Action::Reject { id, .. } => self.reject(id),
            Action::Fail { id } => self.fail(id),
            Action::SetTimer { at, token } => {
                self.queue.schedule(at, CallerEvent::Timer(token));
                Ok(())
            }
            // Requests are written at once, lists are pushed, and idle connections time out.
            Action::Withdraw { .. }
            | Action::HealthCheck(_)
            | Action::CloseIdleConnections(_)
            | Action::WatchEndpoints(_)
            | Action::FetchEndpoints
            | Action::Log(_) => Ok(()),
        }
    }

    fn sample_state(&mut self, sample: u32) {
        if self.process == ProcessState::Down {
            return;
        }
        let first_backend = self.first_backend as u32;
        let members = &mut self.observations.subset_members;
        let before = members.len();
        members
            .extend(self.balancer.members().map(|id| SubsetMember { sample, backend: id.0 - first_backend }));
        let size = StateSize {
            backends: self.balancer.backends_known(),
            subset: members.len() - before,
            open_requests: self.balancer.open_requests(),
        };
        self.observations.peak_state = self.observations.peak_state.max(size);
    }
}

/// Endpoint updates, and the process's stop and start.
impl Caller<'_> {
    /// Whether the discovery agent on the machine is up all the time: it outlives a restart of the
    /// proxy's process, but not a crash of the machine.
    fn agent_is_up(&self) -> bool {
        let outage = self.scenario.context.faults.outages[self.machine];
        outage.is_none_or(|outage| outage.kind == OutageKind::Restart)
    }

    /// Receives the endpoint changes before the index `end`.
    fn receive_changes(&mut self, end: usize) -> Result<(), Error> {
        let applied = self.endpoints.applied();
        if end <= applied {
            return Ok(()); // included in a complete list
        }
        let scenario = self.scenario;
        let now = self.queue.now();
        if self.process != ProcessState::Running {
            // The agent on the machine has them for a process that is restarted.
            if self.agent_is_up() {
                self.endpoints.apply(&scenario.changes, end, now);
            }
            return Ok(());
        }
        let changes = &scenario.changes[applied..end];
        let delays = &mut self.observations.update_delays[applied..end];
        for (delay, change) in delays.iter_mut().zip(changes) {
            *delay = Some((now - change.occurred) as f32);
        }
        self.endpoints.apply(&scenario.changes, end, now);
        // After a long partition the complete list is the shorter message.
        if changes.len() > self.endpoints.len() {
            return self.handle_full_list();
        }
        let endpoints: Vec<Endpoint> = changes.iter().map(|change| change.endpoint.clone()).collect();
        self.handle_changes(&endpoints)
    }

    /// Stops the process; its open calls are lost.
    fn stop(&mut self) {
        self.observations.counts.calls.lost += self.requests.drop_all();
        self.network.close_connections();
        self.process = ProcessState::Down;
        self.queue.end_incarnation();
    }

    /// Starts a new process with the endpoint list that the last one cached.
    fn start(&mut self) -> Result<(), Error> {
        let context = &self.scenario.context;
        let now = self.queue.now();
        let seed = self.rng.random();
        let settings = caller_settings(self.plan, context.topology, self.scenario.service_index, self.index);
        if let Some(recording) = &mut self.observations.recording {
            recording.records.push(Record::Start(now, seed));
        }
        self.balancer = Balancer::new(now, seed, settings);
        self.process = ProcessState::Starting;
        let cached = self.endpoints.listed();
        self.handle_update(EndpointUpdate::Cached(&cached))?;
        let first_list_at = if self.agent_is_up() {
            now + AGENT_RESPONSE_TIME
        } else {
            let delay = self.network.update_delay(self.zone, &mut self.rng);
            context.faults.discovery_reachable_from(self.zone, now, context.topology) + delay
        };
        self.queue.schedule(first_list_at, CallerEvent::FirstEndpointList);
        self.schedule_next_call();
        Ok(())
    }

    /// Receives the first response of discovery after a start: the list of the agent on the machine,
    /// or everything that discovery has published.
    fn receive_first_list(&mut self) -> Result<(), Error> {
        self.process = ProcessState::Running;
        if !self.agent_is_up() {
            let now = self.queue.now();
            let changes = &self.scenario.changes;
            let published = changes.partition_point(|change| change.published <= now);
            self.endpoints.apply(changes, published.max(self.endpoints.applied()), now);
        }
        self.handle_full_list()
    }
}
