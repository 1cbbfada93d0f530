//! Passes pending events to the decision module and executes the actions that the module returns.
//!
//! The dispatcher owns the state that events and actions change, the timers and the settings in force. It
//! spawns the tasks of attempts and health checks, and reports the result of each task to the module.

use super::attempts::{RunningAttempt, SentAttempt};
use super::decision_module::PendingEvent;
use super::requests::{FinalResponse, OpenRequest};
use super::state::EngineState;
use super::timers::{Timer, Timers};
use crate::clock::Clock;
use crate::control::discovery::Discovery;
use crate::metrics::Metrics;
use crate::settings::SettingsSnapshot;
use crate::upstream::attempt::{self, AttemptParameters, AttemptResult};
use crate::upstream::completion_flag::CompletionFlag;
use crate::upstream::load_report;
use balancer::{Action, AttemptId, BackendId, Event, RequestId, Time};
use std::cell::{RefCell, RefMut};
use std::rc::{Rc, Weak};

/// Path of a health check that tests only whether the backend serves requests.
const HEALTH_CHECK_PATH: &str = "/-/healthy";
/// Path of a health check whose response is a load report.
const LOAD_REPORT_PATH: &str = "/-/load";
/// Value of the timeout in [`Action::Send`] for an attempt without a timeout of its own, in seconds. Such an
/// attempt ends at the deadline of its request.
const NO_ATTEMPT_TIMEOUT_SECS: Time = 0.0;

/// A command of the decision module to send an attempt. Times are those of the proxy's clock, in
/// seconds.
struct SendCommand {
    request: RequestId,
    backend: BackendId,
    /// The longest time until the response, in seconds; `None` if only the deadline of the request applies.
    timeout: Option<Time>,
    /// The time by which the last byte of the request must be written; `None` without such a limit.
    write_deadline: Option<Time>,
    /// The time of the decision.
    decided_at: Time,
}

/// Connects the decision module with the state of the engine.
pub(super) struct Dispatcher {
    /// A reference to the dispatcher itself. The tasks of attempts and health checks report their results
    /// through the reference.
    weak_self: Weak<Dispatcher>,
    pub(super) clock: Clock,
    state: RefCell<EngineState>,
    pub(super) timers: Timers,
    discovery: RefCell<Weak<Discovery>>,
    pub(super) metrics: Rc<Metrics>,
    /// The settings in force. All other parts of the process read the settings from this field, so that a
    /// change applies to all parts at once.
    settings: RefCell<Rc<SettingsSnapshot>>,
}

impl Dispatcher {
    /// Creates a dispatcher. The random draws of its decision module depend on `seed`. At most
    /// `max_backend_connections` connections to backends will be open at once.
    pub(super) fn new(
        settings: Rc<SettingsSnapshot>,
        seed: u64,
        max_backend_connections: usize,
        metrics: Rc<Metrics>,
    ) -> Rc<Self> {
        let clock = Clock::start();
        let state = EngineState::new(clock, seed, settings.balancer.clone(), max_backend_connections);
        Rc::new_cyclic(|weak_self| Self {
            weak_self: weak_self.clone(),
            clock,
            state: RefCell::new(state),
            timers: Timers::default(),
            discovery: RefCell::default(),
            metrics,
            settings: RefCell::new(settings),
        })
    }

    /// Borrows the state mutably. Panics if an earlier borrow has not ended.
    pub(super) fn state(&self) -> RefMut<'_, EngineState> {
        self.state.borrow_mut()
    }

    /// Returns the settings in force.
    pub(super) fn settings(&self) -> Rc<SettingsSnapshot> {
        self.settings.borrow().clone()
    }

    /// Replaces the settings in force.
    pub(super) fn replace_settings(&self, settings: Rc<SettingsSnapshot>) {
        self.settings.replace(settings);
    }

    /// Sets the discovery that provides the endpoint list. The dispatcher holds only a weak reference to
    /// it.
    pub(super) fn set_discovery(&self, discovery: &Rc<Discovery>) {
        *self.discovery.borrow_mut() = Rc::downgrade(discovery);
    }

    fn discovery(&self) -> Option<Rc<Discovery>> {
        self.discovery.borrow().upgrade()
    }

    /// Queues an event, and lets the module handle all pending events.
    pub(super) fn handle(&self, mut state: RefMut<'_, EngineState>, event: impl Into<PendingEvent>) {
        state.decision_module.push(event);
        self.decide(state);
    }

    /// Passes all pending events to the module, and executes the resulting actions.
    fn decide(&self, mut state: RefMut<'_, EngineState>) {
        let mut actions = Vec::new();
        while let Some(now) = state.decision_module.handle_next(&self.clock, &mut actions) {
            for action in actions.drain(..) {
                self.execute(&mut state, action, now);
            }
        }
    }

    /// Executes an action that the module returned at time `now`.
    fn execute(&self, state: &mut EngineState, action: Action, now: Time) {
        match action {
            Action::Send { id, backend, timeout, write_within } => {
                let command = SendCommand {
                    request: id,
                    backend,
                    timeout: (timeout != NO_ATTEMPT_TIMEOUT_SECS).then_some(timeout),
                    write_deadline: write_within.is_finite().then_some(now + write_within),
                    decided_at: now,
                };
                self.send(state, &command);
            }
            Action::Cancel { id, attempt } => state.cancel(AttemptId { request: id, number: attempt }),
            Action::Withdraw { id, attempt } => state.withdraw(AttemptId { request: id, number: attempt }),
            Action::Reject { id, retry_after } => {
                state.respond(id, FinalResponse::Rejected(retry_after));
            }
            Action::Fail { id } => {
                state.respond(id, FinalResponse::Failed);
            }
            Action::SetTimer { at, token } => self.timers.set(at, Timer::Decision(token)),
            Action::HealthCheck(backend) => self.check_health(state, backend),
            Action::CloseIdleConnections(backend) => state.endpoints.retire_connections(backend),
            Action::WatchEndpoints => {
                if let Some(discovery) = self.discovery() {
                    discovery.start_watch();
                }
            }
        }
    }

    /// Sends the next attempt of a request. Notifies the module that nothing was sent if the request is
    /// closed or has no attempt left, or if the backend has no connection pool.
    fn send(&self, state: &mut EngineState, command: &SendCommand) {
        let pool = state.endpoints.pool(command.backend);
        let request = state.requests.get_mut(command.request).filter(|request| request.has_attempt_left());
        let (Some(request), Some(pool), Some(this)) = (request, pool, self.weak_self.upgrade()) else {
            return state.report_not_sent(command.request, command.backend);
        };
        state.endpoints.evict_idle_if_full();
        let id = AttemptId { request: command.request, number: request.count_attempt() };
        let deadline = request.attempt_deadline(command.decided_at, command.timeout);
        let response_deadline = request.response_deadline(deadline, command.decided_at);
        let written = CompletionFlag::default();
        let attempt = attempt::attempt(AttemptParameters {
            pool,
            request: request.forwarded.clone(),
            clock: self.clock,
            response_deadline,
            write_deadline: command.write_deadline,
            written: written.clone(),
            metrics: self.metrics.clone(),
        });
        let task = tokio::task::spawn_local(async move {
            let result = attempt.await;
            this.end_attempt(id, result);
        });
        let sent = SentAttempt { backend: command.backend, sent_at: command.decided_at };
        state.attempts.insert(id, RunningAttempt::new(sent, written, task.abort_handle()));
        self.set_attempt_timers(id, command.write_deadline, deadline);
    }

    fn set_attempt_timers(&self, id: AttemptId, write_deadline: Option<Time>, deadline: Time) {
        if let Some(write_deadline) = write_deadline
            && write_deadline < deadline
        {
            self.timers.set(write_deadline, Timer::WriteDeadline(id));
        }
        if deadline.is_finite() {
            self.timers.set(deadline, Timer::AttemptDeadline(id));
        }
    }

    /// Records the result of an attempt whose task has ended, and lets the module handle it.
    fn end_attempt(&self, id: AttemptId, result: AttemptResult) {
        let mut state = self.state();
        state.end_attempt(id, result);
        self.decide(state);
    }

    /// Handles a timer that is due.
    pub(super) fn expire_timer(&self, timer: Timer) {
        let mut state = self.state();
        match timer {
            Timer::Decision(token) => state.decision_module.push(Event::Timer(token)),
            Timer::WriteDeadline(id) => state.expire_write_deadline(id),
            Timer::AttemptDeadline(id) => state.expire_attempt_deadline(id),
            Timer::BodyStall(id) => self.check_body_stall(&mut state, id),
            Timer::RequestDeadline(id) => state.expire_request_deadline(id),
        }
        self.decide(state);
    }

    /// Ends a streamed request if the last byte of its body may have waited to be received for the whole
    /// timeout of the request. Checks again later if that time has not passed. Does nothing once the body is
    /// complete.
    fn check_body_stall(&self, state: &mut EngineState, id: RequestId) {
        let time_until_stall = state.requests.get(id).and_then(OpenRequest::time_until_body_stall);
        let Some(time_until_stall) = time_until_stall else {
            return;
        };
        let now = self.clock.now();
        if time_until_stall > 0.0 {
            return self.timers.set(now + time_until_stall, Timer::BodyStall(id));
        }
        state.end_stalled_request(id);
        // The module responds to the events of the call above; this timer ends the request in any case.
        self.timers.set(now, Timer::RequestDeadline(id));
    }

    /// Starts a health check of a backend. Does nothing if the backend has no connection pool.
    fn check_health(&self, state: &EngineState, backend: BackendId) {
        let (Some(pool), Some(this)) = (state.endpoints.pool(backend), self.weak_self.upgrade()) else {
            return;
        };
        let requests_load_report = self.settings.borrow().balancer.health_checks_for_load_reports;
        let path = if requests_load_report { LOAD_REPORT_PATH } else { HEALTH_CHECK_PATH };
        let check = attempt::health_check(pool, path, self.clock);
        tokio::task::spawn_local(async move {
            let result = check.await;
            this.end_health_check(backend, &result);
        });
    }

    /// Reports the result of a health check to the module. The load report is taken from the response
    /// headers, or from the body if the headers have none.
    fn end_health_check(&self, backend: BackendId, result: &AttemptResult) {
        let report_in_body =
            result.response.as_ref().and_then(|response| load_report::parse(response.buffered()?));
        let report = result.report.or(report_in_body);
        self.handle(self.state(), Event::HealthCheckEnded { backend, outcome: result.outcome, report });
    }
}
