//! Simulation of one caller: the balancer of one proxy, which calls a service on virtual time.
//!
//! A [`Caller`] takes one event after the other from its [`Environment`], passes the event to the
//! balancer, and carries out the balancer's actions in the environment. The environment checks that each
//! call gets one final response before its deadline.

mod accounting;
mod calls;
mod deliveries;
mod discovery_client;
mod endpoint_list;
mod environment;
mod event_queue;
mod message;
mod network;
mod requests;
mod run_state;
mod workload;

use super::observations::CallerObservations;
use super::random;
use super::scenario::Scenario;
use crate::error::Error;
use accounting::FailureKind;
use balancer::{Action, AttemptId, Balancer, EndpointUpdate, Event, Outcome};
use calls::NewAttempt;
use environment::Environment;
use event_queue::CallerEvent;
use message::Message;
use std::time::Instant;

/// Number of events between two checks of the real time.
const EVENTS_PER_ABORT_CHECK: u32 = 4096;
/// Number that separates the callers' random streams from the other streams of the run.
const CALLER_STREAM: u64 = 2;

/// Simulates the caller at `index` in the list of callers of the scenario's service.
///
/// # Errors
///
/// Returns [`Error::Rule`] if a call violated a rule, and [`Error::TimeLimit`] once the real time limit of
/// the run is reached.
pub fn simulate(scenario: &Scenario<'_>, index: usize) -> Result<CallerObservations, Error> {
    Caller::new(scenario, index).simulate()
}

/// Simulates a caller as [`simulate`] does, and also records all events of its balancer.
///
/// # Errors
///
/// Returns the errors of [`simulate`].
pub fn simulate_recorded(scenario: &Scenario<'_>, index: usize) -> Result<CallerObservations, Error> {
    let mut caller = Caller::new(scenario, index);
    caller.environment.start_recording(caller.seed);
    caller.simulate()
}

/// A balancer and the environment in which its proxy runs.
struct Caller<'a> {
    /// The seed of the first balancer and of the environment.
    seed: u64,
    environment: Environment<'a>,
    balancer: Balancer,
    /// The actions of the current event; the allocation is reused between events.
    actions: Vec<Action>,
}

impl<'a> Caller<'a> {
    fn new(scenario: &'a Scenario<'a>, index: usize) -> Self {
        let context = &scenario.context;
        let machine = scenario.service().callers[index];
        let seed = random::derive_stream_seed(&[
            context.plan.seed,
            CALLER_STREAM,
            context.phase as u64,
            machine as u64,
        ]);
        let environment = Environment::new(scenario, index, seed);
        let balancer = Balancer::new(0.0, seed, environment.settings());
        Self { seed, environment, balancer, actions: Vec::new() }
    }

    fn simulate(mut self) -> Result<CallerObservations, Error> {
        let first_list = self.environment.schedule_initial_events();
        self.handle_message(&first_list)?;
        self.environment.schedule_next_call();
        self.handle_all_events()?;
        self.environment.finish()
    }

    /// Handles one event after the other until none is pending.
    fn handle_all_events(&mut self) -> Result<(), Error> {
        let mut events = 0_u32;
        while let Some(event) = self.environment.next_event() {
            events = events.wrapping_add(1);
            if events.is_multiple_of(EVENTS_PER_ABORT_CHECK) {
                self.check_real_time()?;
            }
            match event {
                CallerEvent::Call => self.make_call()?,
                CallerEvent::Timer(token) => self.record_and_handle(Event::Timer(token))?,
                CallerEvent::AttemptEnded(attempt, outcome) => self.end_attempt(attempt, outcome)?,
                CallerEvent::EndpointChanges(end_of_changes) => self.receive_changes(end_of_changes)?,
                CallerEvent::Sample(sample) => self.environment.sample_state(sample, &self.balancer),
                CallerEvent::Stop => self.environment.stop(),
                CallerEvent::Start => self.start()?,
                CallerEvent::FirstEndpointList => self.receive_first_list()?,
            }
        }
        Ok(())
    }

    fn check_real_time(&self) -> Result<(), Error> {
        let context = &self.environment.scenario().context;
        if Instant::now() < context.abort_at {
            return Ok(());
        }
        Err(Error::TimeLimit { limit_s: context.plan.real_time_limit })
    }

    fn make_call(&mut self) -> Result<(), Error> {
        if let Some(request) = self.environment.open_due_call() {
            self.record_and_handle(Event::Request(request))?;
        }
        self.environment.schedule_next_call();
        Ok(())
    }

    fn end_attempt(&mut self, attempt: AttemptId, outcome: Outcome) -> Result<(), Error> {
        match self.environment.end_attempt(attempt, outcome)? {
            Some(ended) => self.record_and_handle(Event::AttemptEnded(ended)),
            None => Ok(()),
        }
    }

    /// Receives the endpoint changes before the index `end_of_changes`.
    fn receive_changes(&mut self, end_of_changes: usize) -> Result<(), Error> {
        match self.environment.receive_changes(end_of_changes) {
            Some(message) => self.handle_message(&message),
            None => Ok(()),
        }
    }

    /// Starts a new process with the endpoint list that the previous process had cached.
    fn start(&mut self) -> Result<(), Error> {
        let seed = self.environment.draw_process_seed();
        self.balancer = Balancer::new(self.environment.now(), seed, self.environment.settings());
        let cached = self.environment.start();
        self.handle_update(EndpointUpdate::Cached(&cached))?;
        self.environment.schedule_first_response();
        self.environment.schedule_next_call();
        Ok(())
    }

    fn receive_first_list(&mut self) -> Result<(), Error> {
        let message = self.environment.receive_first_list();
        self.handle_message(&message)
    }

    fn handle_message(&mut self, message: &Message) -> Result<(), Error> {
        self.environment.count_message(message);
        self.handle_update(message.as_update())
    }

    fn handle_update(&mut self, update: EndpointUpdate<'_>) -> Result<(), Error> {
        self.environment.record_update(update);
        self.handle(Event::Endpoints(update))
    }

    /// Handles an event without endpoints, and records the event if the caller is recorded.
    fn record_and_handle(&mut self, event: Event<'static>) -> Result<(), Error> {
        self.environment.record_event(event);
        self.handle(event)
    }

    /// Passes an event to the balancer and carries out its actions.
    fn handle(&mut self, event: Event<'_>) -> Result<(), Error> {
        // The buffer is taken out of `self`, as an action may pass further events to the balancer.
        let mut actions = std::mem::take(&mut self.actions);
        self.balancer.handle(self.environment.now(), event, &mut actions);
        let result = actions.drain(..).try_for_each(|action| self.perform(&action));
        self.actions = actions;
        result
    }

    fn perform(&mut self, action: &Action) -> Result<(), Error> {
        match *action {
            Action::Send { id, backend, timeout, .. } => {
                self.environment.send_attempt(NewAttempt { request: id, backend, timeout })
            }
            Action::Cancel { id, attempt } => {
                self.end_attempt(AttemptId { request: id, number: attempt }, Outcome::Cancelled)
            }
            Action::Reject { id, .. } => self.environment.end_without_success(id, FailureKind::Rejected),
            Action::Fail { id } => self.environment.end_without_success(id, FailureKind::Failed),
            Action::SetTimer { at, token } => {
                self.environment.schedule_timer(at, token);
                Ok(())
            }
            // Not simulated: requests are written at once, endpoint lists are pushed, and idle
            // connections are closed by a timeout.
            Action::Withdraw { .. }
            | Action::HealthCheck(_)
            | Action::CloseIdleConnections(_)
            | Action::WatchEndpoints => Ok(()),
        }
    }
}
