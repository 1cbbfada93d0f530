//! The environment of one caller's balancer: the virtual clock, the calls that the proxy makes, the
//! network, discovery, and the observations of all of these.
//!
//! A method that produces an event for the balancer returns the event; [`super::Caller`] passes the event
//! to the balancer.

use super::accounting::{Accounting, FailureKind};
use super::calls::{Calls, NewAttempt};
use super::deliveries;
use super::discovery_client::DiscoveryClient;
use super::event_queue::{CallerEvent, EventQueue};
use super::message::Message;
use super::run_state::RunState;
use crate::error::Error;
use crate::fleet::checker::Violation;
use crate::fleet::observations::{CallerObservations, SAMPLE_INTERVAL_SECONDS};
use crate::fleet::plan::Plan;
use crate::fleet::scenario::Scenario;
use crate::fleet::settings::caller_settings;
use balancer::{
    AttemptId, Balancer, EndedAttempt, Endpoint, EndpointUpdate, Event, Outcome, Request, RequestId,
    Settings, Time, TimerToken, ZoneId,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// The simulated environment of one caller's balancer.
pub struct Environment<'a> {
    scenario: &'a Scenario<'a>,
    /// The plan of the scenario.
    plan: &'a Plan,
    /// The index of the caller among the callers of the service.
    index: usize,
    /// The index of the caller's machine in the fleet.
    machine: usize,
    /// The zone of the caller's machine.
    zone: ZoneId,
    calls: Calls<'a>,
    discovery: DiscoveryClient<'a>,
    run: RunState<'a>,
}

impl<'a> Environment<'a> {
    /// Creates the environment of a caller. The seed alone determines the random numbers.
    pub fn new(scenario: &'a Scenario<'a>, index: usize, seed: u64) -> Self {
        let context = &scenario.context;
        let machine = scenario.service().callers[index];
        Self {
            scenario,
            plan: context.plan,
            index,
            machine,
            zone: context.topology.machines[machine].zone,
            calls: Calls::new(scenario, machine),
            discovery: DiscoveryClient::new(scenario, machine),
            run: RunState {
                queue: EventQueue::default(),
                rng: SmallRng::seed_from_u64(seed),
                accounting: Accounting::new(scenario),
            },
        }
    }

    /// Returns the scenario in which the caller is simulated.
    pub fn scenario(&self) -> &'a Scenario<'a> {
        self.scenario
    }

    /// Returns the virtual time, in seconds.
    pub fn now(&self) -> Time {
        self.run.queue.now()
    }

    /// Returns the settings of the caller's balancer.
    pub fn settings(&self) -> Settings {
        caller_settings(self.plan, self.scenario.context.topology, self.scenario.service_index, self.index)
    }

    /// Begins to record the events of a balancer with this seed.
    pub fn start_recording(&mut self, balancer_seed: u64) {
        self.run.accounting.start_recording(balancer_seed, self.settings());
    }

    /// Schedules the events whose times are fixed at the start: endpoint changes, samples, and the stop and
    /// start of the process. Returns the first endpoint list.
    pub fn schedule_initial_events(&mut self) -> Message {
        let deliveries =
            deliveries::draw_deliveries(self.scenario, self.calls.network(), self.zone, &mut self.run.rng);
        let mut sample = 0;
        while f64::from(sample) * SAMPLE_INTERVAL_SECONDS <= self.plan.phase_end() {
            self.run.queue.schedule(f64::from(sample) * SAMPLE_INTERVAL_SECONDS, CallerEvent::Sample(sample));
            sample += 1;
        }
        if let Some(outage) = self.scenario.context.faults.outages[self.machine] {
            self.run.queue.schedule(outage.down_at, CallerEvent::Stop);
            self.run.queue.schedule(outage.up_at, CallerEvent::Start);
        }
        for delivery in deliveries {
            self.run.queue.schedule(delivery.at, CallerEvent::EndpointChanges(delivery.end_of_changes));
        }
        Message::Full(self.discovery.endpoints().listed())
    }

    /// Advances the virtual time to the next event and returns the event.
    pub fn next_event(&mut self) -> Option<CallerEvent> {
        self.run.queue.next()
    }

    /// Schedules a timer of the balancer.
    pub fn schedule_timer(&mut self, at: Time, token: TimerToken) {
        self.run.queue.schedule(at, CallerEvent::Timer(token));
    }

    /// Checks that no call is open, and returns the observations.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Rule`] if a call got no final response.
    pub fn finish(self) -> Result<CallerObservations, Error> {
        self.calls.verify_none_open().map_err(|violation| self.rule_error(violation))?;
        Ok(self.run.accounting.into_observations())
    }

    fn rule_error(&self, violation: Violation) -> Error {
        Error::Rule {
            rule: violation.rule,
            call: violation.call.0,
            seed: self.plan.seed,
            phase: self.scenario.context.phase.name(),
            machine: self.machine,
            at: self.run.queue.now(),
        }
    }
}

/// Methods for the calls and their attempts.
impl Environment<'_> {
    /// Schedules the next call, unless the process stops making calls or the phase ends first.
    pub fn schedule_next_call(&mut self) {
        self.calls.schedule_next(&mut self.run);
    }

    /// Opens the call that is due; returns `None` if the proxy skips the call because its backend is
    /// warming up.
    pub fn open_due_call(&mut self) -> Option<Request> {
        self.calls.open_due_call(&mut self.run)
    }

    /// Sends an attempt of a call and schedules the end of the attempt.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Rule`] if the attempt violates a rule.
    pub fn send_attempt(&mut self, attempt: NewAttempt) -> Result<(), Error> {
        let result = self.calls.send(attempt, self.discovery.endpoints(), &mut self.run);
        result.map_err(|violation| self.rule_error(violation))
    }

    /// Ends an attempt, and also its call if the attempt succeeded. Returns `None` if the attempt had
    /// already ended.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Rule`] if the final response of the call violates a rule.
    pub fn end_attempt(
        &mut self,
        attempt: AttemptId,
        outcome: Outcome,
    ) -> Result<Option<EndedAttempt>, Error> {
        let result = self.calls.end_attempt(attempt, outcome, &mut self.run);
        result.map_err(|violation| self.rule_error(violation))
    }

    /// Ends a call that the balancer rejected or failed.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Rule`] if the final response of the call violates a rule.
    pub fn end_without_success(&mut self, request: RequestId, kind: FailureKind) -> Result<(), Error> {
        let result = self.calls.end_without_success(request, kind, &mut self.run);
        result.map_err(|violation| self.rule_error(violation))
    }
}

/// Methods for endpoint updates, and for the stop and start of the process.
impl Environment<'_> {
    /// Receives the endpoint changes before the index `end_of_changes`. Returns `None` if the process is
    /// down or starting, or already has the changes.
    pub fn receive_changes(&mut self, end_of_changes: usize) -> Option<Message> {
        let now = self.run.queue.now();
        let update = self.discovery.deliver(end_of_changes, now)?;
        for change in update.changes {
            self.run.accounting.record_notification(change, now);
        }
        Some(update.message)
    }

    /// Stops the process and counts its open calls as lost.
    pub fn stop(&mut self) {
        self.calls.drop_all(&mut self.run);
        self.discovery.stop();
        self.run.queue.end_incarnation();
    }

    /// Draws the seed for the balancer of a new process, and records the start of the process.
    pub fn draw_process_seed(&mut self) -> u64 {
        let seed = self.run.rng.random();
        self.run.accounting.record_start(self.run.queue.now(), seed);
        seed
    }

    /// Starts a new process, and returns the endpoint list that the previous process had cached.
    pub fn start(&mut self) -> Vec<Endpoint> {
        self.discovery.start();
        self.discovery.endpoints().listed()
    }

    /// Schedules the first response of discovery to a new process.
    pub fn schedule_first_response(&mut self) {
        let now = self.run.queue.now();
        let at = self.discovery.draw_first_response(now, self.calls.network(), self.zone, &mut self.run.rng);
        self.run.queue.schedule(at, CallerEvent::FirstEndpointList);
    }

    /// Receives the first response of discovery to a new process.
    pub fn receive_first_list(&mut self) -> Message {
        self.discovery.deliver_first_response(self.run.queue.now())
    }
}

/// Methods that record observations.
impl Environment<'_> {
    /// Counts a message from discovery.
    pub fn count_message(&mut self, message: &Message) {
        self.run.accounting.count_message(self.run.queue.now(), message);
    }

    /// Records an event without endpoints, if the caller is recorded.
    pub fn record_event(&mut self, event: Event<'static>) {
        self.run.accounting.record_event(self.run.queue.now(), event);
    }

    /// Records an endpoint update, if the caller is recorded.
    pub fn record_update(&mut self, update: EndpointUpdate<'_>) {
        self.run.accounting.record_update(self.run.queue.now(), update);
    }

    /// Samples the state of the balancer, unless the process is down.
    pub fn sample_state(&mut self, sample: u32, balancer: &Balancer) {
        if self.discovery.is_up() {
            self.run.accounting.sample_state(sample, balancer);
        }
    }
}
