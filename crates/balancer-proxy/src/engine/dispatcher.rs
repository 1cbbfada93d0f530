//! Gives pending events to the decision module and carries out the actions that it returns.
//!
//! Owns the state that events and actions change, the timers and the settings in force. It spawns
//! the tasks of attempts and health checks, and reports the end of each to the module.

use super::attempts::{AttemptId, RunningAttempt, SentAttempt};
use super::decisions::PendingEvent;
use super::requests::{FinalResponse, OpenRequest};
use super::state::State;
use super::timers::{Timer, Timers};
use crate::clock::Clock;
use crate::control::discovery::Discovery;
use crate::metrics::Metrics;
use crate::settings::SettingsSnapshot;
use crate::upstream::attempt::{self, AttemptParameters, AttemptResult};
use crate::upstream::load_report;
use crate::upstream::shared_flag::SharedFlag;
use balancer::{Action, BackendId, Event, RequestId, Time};
use std::cell::{RefCell, RefMut};
use std::rc::{Rc, Weak};

/// Path of a health check that only finds out whether the backend serves requests.
const HEALTH_PATH: &str = "/-/healthy";
/// Path of a health check whose response is a load report.
const LOAD_REPORT_PATH: &str = "/-/load";

/// An attempt that the decision module wants made.
struct SendCommand {
    request: RequestId,
    backend: BackendId,
    /// How long its response may take, in seconds; 0 for as long as the request has.
    timeout: Time,
    /// How long writing its request may take, in seconds.
    write_within: Time,
    /// When the module decided on it.
    decided_at: Time,
}

impl SendCommand {
    fn write_deadline(&self) -> Time {
        self.decided_at + self.write_within
    }
}

/// Connects the decision module with the state of the engine.
pub(super) struct Dispatcher {
    /// For the tasks of attempts and health checks, which report their ends.
    this: Weak<Dispatcher>,
    pub(super) clock: Clock,
    state: RefCell<State>,
    pub(super) timers: Timers,
    discovery: RefCell<Weak<Discovery>>,
    pub(super) metrics: Rc<Metrics>,
    /// The settings in force. Whatever needs settings takes them from here, so that they change for
    /// all of it at once.
    settings: RefCell<Rc<SettingsSnapshot>>,
}

impl Dispatcher {
    pub(super) fn new(
        settings: Rc<SettingsSnapshot>,
        seed: u64,
        max_backend_connections: usize,
        metrics: Rc<Metrics>,
    ) -> Rc<Self> {
        let clock = Clock::start();
        let state = State::new(clock, seed, settings.balancer.clone(), max_backend_connections);
        Rc::new_cyclic(|this| Self {
            this: this.clone(),
            clock,
            state: RefCell::new(state),
            timers: Timers::default(),
            discovery: RefCell::default(),
            metrics,
            settings: RefCell::new(settings),
        })
    }

    pub(super) fn state(&self) -> RefMut<'_, State> {
        self.state.borrow_mut()
    }

    pub(super) fn settings(&self) -> Rc<SettingsSnapshot> {
        self.settings.borrow().clone()
    }

    pub(super) fn replace_settings(&self, settings: Rc<SettingsSnapshot>) {
        self.settings.replace(settings);
    }

    pub(super) fn set_discovery(&self, discovery: &Rc<Discovery>) {
        *self.discovery.borrow_mut() = Rc::downgrade(discovery);
    }

    fn discovery(&self) -> Option<Rc<Discovery>> {
        self.discovery.borrow().upgrade()
    }

    /// Queues an event, and decides on all that are pending.
    pub(super) fn handle(&self, mut state: RefMut<'_, State>, event: impl Into<PendingEvent>) {
        state.decisions.push(event);
        self.decide(state);
    }

    /// Has the module decide on all pending events, and carries out its actions.
    fn decide(&self, mut state: RefMut<'_, State>) {
        let mut actions = Vec::new();
        while let Some(now) = state.decisions.handle_next(&self.clock, &mut actions) {
            for action in actions.drain(..) {
                self.act(&mut state, action, now);
            }
        }
    }

    fn act(&self, state: &mut State, action: Action, now: Time) {
        match action {
            Action::Send { id, backend, timeout, write_within } => {
                let command = SendCommand { request: id, backend, timeout, write_within, decided_at: now };
                self.send(state, &command);
            }
            Action::Cancel { id, attempt } => state.cancel(AttemptId { request: id, number: attempt }),
            Action::Withdraw { id, attempt } => state.withdraw(AttemptId { request: id, number: attempt }),
            Action::Reject { id, retry_after } => {
                state.requests.respond(id, FinalResponse::Rejected(retry_after));
            }
            Action::Fail { id } => {
                state.requests.respond(id, FinalResponse::Failed);
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

    /// Sends the next attempt of a request. If the request is closed or has no attempt left, or the
    /// backend is unknown, the module is notified that nothing was sent.
    fn send(&self, state: &mut State, command: &SendCommand) {
        let pool = state.endpoints.pool(command.backend);
        let request = state.requests.get_mut(command.request).filter(|request| request.has_attempt_left());
        let (Some(request), Some(pool), Some(this)) = (request, pool, self.this.upgrade()) else {
            return state.report_not_sent(command.request, command.backend);
        };
        state.endpoints.evict_idle_if_full();
        let id = AttemptId { request: command.request, number: request.next_attempt() };
        let deadline = request.attempt_deadline(command.decided_at, command.timeout);
        let response_deadline = response_deadline(request, deadline, command.decided_at);
        let written = SharedFlag::default();
        let attempt = attempt::attempt(AttemptParameters {
            pool,
            request: request.forwarded.clone(),
            clock: self.clock,
            response_deadline,
            write_deadline: command.write_deadline(),
            written: written.clone(),
            metrics: self.metrics.clone(),
        });
        let task = tokio::task::spawn_local(async move {
            let result = attempt.await;
            this.attempt_ended(id, result);
        });
        let sent = SentAttempt { backend: command.backend, sent_at: command.decided_at };
        state.attempts.insert(id, RunningAttempt::new(sent, written, task.abort_handle()));
        self.set_attempt_timers(id, command.write_deadline(), deadline);
    }

    fn set_attempt_timers(&self, id: AttemptId, write_deadline: Time, deadline: Time) {
        if write_deadline < deadline {
            self.timers.set(write_deadline, Timer::WriteDeadline(id));
        }
        if deadline.is_finite() {
            self.timers.set(deadline, Timer::AttemptDeadline(id));
        }
    }

    /// An attempt's task has come to its end.
    fn attempt_ended(&self, id: AttemptId, result: AttemptResult) {
        let mut state = self.state();
        state.end_attempt(id, result);
        self.decide(state);
    }

    /// Carries out what a timer was set for.
    pub(super) fn timer_expired(&self, timer: Timer) {
        let mut state = self.state();
        match timer {
            Timer::Decision(token) => state.decisions.push(Event::Timer(token)),
            Timer::WriteDeadline(id) => state.write_deadline_expired(id),
            Timer::AttemptDeadline(id) => state.attempt_deadline_expired(id),
            Timer::RequestDeadline(id) => state.request_deadline_expired(id),
        }
        self.decide(state);
    }

    /// Starts a health check of a backend that has a pool.
    fn check_health(&self, state: &State, backend: BackendId) {
        let (Some(pool), Some(this)) = (state.endpoints.pool(backend), self.this.upgrade()) else {
            return;
        };
        let wants_load_report = self.settings.borrow().balancer.health_checks_for_load_reports;
        let path = if wants_load_report { LOAD_REPORT_PATH } else { HEALTH_PATH };
        let check = attempt::health_check(pool, path, self.clock);
        tokio::task::spawn_local(async move {
            let result = check.await;
            this.health_check_ended(backend, &result);
        });
    }

    fn health_check_ended(&self, backend: BackendId, result: &AttemptResult) {
        let report_in_body =
            result.response.as_ref().and_then(|response| load_report::parse(response.buffered()?));
        let report = result.report.or(report_in_body);
        self.handle(self.state(), Event::HealthCheckEnded { backend, outcome: result.outcome, report });
    }
}

/// When the backend's response must be there. While the body is being received, the attempt has no
/// deadline: the backend is given the timeout that starts once the body is complete.
fn response_deadline(request: &OpenRequest, attempt_deadline: Time, now: Time) -> Time {
    if attempt_deadline.is_finite() { attempt_deadline } else { now + request.timeout }
}
