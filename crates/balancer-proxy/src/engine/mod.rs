//! The engine: the one place where the decision module meets the sockets.
//!
//! It owns the module's clock and timers, the open requests and their attempts, and the connection
//! pools of the backends. Whatever happens becomes an event of the module, and the actions that the
//! module asks for become I/O. It guarantees each accepted request exactly one final response before
//! its deadline, and reports the end of each attempt to the module. Its parts:
//!
//! - `requests`: the open requests and their final responses;
//! - `attempts`: the running attempts;
//! - `endpoints`: the backends and their connection pools;
//! - `timers`: what is due when;
//! - `decisions`: the decision module and its pending events;
//! - `state`: these parts together, and how requests and attempts end;
//! - `dispatcher`: gives events to the module and carries out its actions;
//! - `scheduling_lag`: how late the process runs what is due;
//! - `supervisor`: restarts the engine's own tasks after a panic.

mod attempts;
mod decisions;
mod dispatcher;
mod endpoints;
mod requests;
mod scheduling_lag;
mod state;
mod supervisor;
mod timers;

pub use requests::FinalResponse;

use super::clock::Clock;
use super::control::discovery::{Discovery, WatchListener};
use super::metrics::{BackendCounts, Metrics};
use super::settings::SettingsSnapshot;
use super::upstream::forwarded_request::ForwardedRequest;
use super::watch_event::WatchEvent;
use attempts::AttemptId;
use balancer::{BackendId, Event, MaintenanceChange, Request, RequestId, Time};
use decisions::PendingEvent;
use dispatcher::Dispatcher;
use requests::OpenRequest;
use scheduling_lag::SchedulingLag;
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};
use supervisor::restart_on_panic;
use timers::Timer;
use tokio::sync::oneshot;

/// By how much the timeout that the module is given is shorter than the client's, in seconds: the time
/// that the final response needs on its way to the client.
const DECISION_MARGIN_SECS: Time = 0.006;
/// The engine fails a request on which the module has not decided, this long before the client's
/// timeout, in seconds.
const RESPONSE_MARGIN_SECS: Time = 0.5 * DECISION_MARGIN_SECS;
/// Fraction of the grace period of a drain or maintenance after which an attempt that was decided on
/// before is no longer sent.
const SEND_GRACE_FRACTION: f64 = 0.5;
/// Interval between two sweeps of the idle connections.
const IDLE_SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Drives the decision module.
pub struct Engine {
    dispatcher: Rc<Dispatcher>,
    scheduling_lag: SchedulingLag,
    /// A backend in service has been listed.
    has_endpoints: Cell<bool>,
}

impl Engine {
    /// Starts an engine with a decision module of its own, whose random draws depend on `seed`. At
    /// most `max_backend_connections` connections to backends are open at once.
    ///
    /// # Panics
    ///
    /// Panics outside of a [`tokio::task::LocalSet`], on which the engine spawns its tasks.
    pub fn start(
        settings: Rc<SettingsSnapshot>,
        seed: u64,
        max_backend_connections: usize,
        metrics: Rc<Metrics>,
    ) -> Rc<Self> {
        let engine = Rc::new(Self {
            dispatcher: Dispatcher::new(settings, seed, max_backend_connections, metrics),
            scheduling_lag: SchedulingLag::default(),
            has_endpoints: Cell::new(false),
        });
        let timers = engine.clone();
        tokio::task::spawn_local(restart_on_panic(move || timers.clone().run_timers()));
        let sweep = engine.clone();
        tokio::task::spawn_local(restart_on_panic(move || sweep.clone().sweep_idle_connections()));
        engine
    }

    /// The settings in force.
    #[must_use]
    pub fn settings(&self) -> Rc<SettingsSnapshot> {
        self.dispatcher.settings()
    }

    /// Puts settings in force, here, in the module and in the metrics. Open requests keep those that
    /// they arrived under, and connections stay open.
    pub fn apply_settings(&self, settings: SettingsSnapshot) {
        let settings = Rc::new(settings);
        let state = self.dispatcher.state();
        self.dispatcher.replace_settings(settings.clone());
        self.metrics().count_settings_change(&settings.proxy);
        state.endpoints.set_timeouts(&settings.proxy);
        self.dispatcher.handle(state, PendingEvent::Settings(settings));
    }

    /// The longest deadline that an open request or one still to come may have, in seconds.
    #[must_use]
    pub fn longest_deadline(&self) -> Time {
        let of_open_requests = self.dispatcher.state().requests.longest_class_deadline();
        self.settings().longest_deadline().max(of_open_requests)
    }

    /// The time by which sends must end to a backend whose drain or maintenance begins now.
    fn send_deadline_from_now(&self) -> Time {
        let grace = self.settings().proxy.drain_grace_period.as_secs_f64();
        self.dispatcher.clock.now() + SEND_GRACE_FRACTION * grace
    }

    /// Sets the discovery that provides the endpoint list. The engine does not keep it alive.
    pub fn set_discovery(&self, discovery: &Rc<Discovery>) {
        self.dispatcher.set_discovery(discovery);
    }

    /// Puts a backend in maintenance, or ends its maintenance.
    pub fn change_maintenance(&self, backend: BackendId, change: MaintenanceChange) {
        let mut state = self.dispatcher.state();
        match change {
            MaintenanceChange::Begins => {
                state.endpoints.begin_maintenance(backend, self.send_deadline_from_now());
            }
            MaintenanceChange::Ends => state.endpoints.end_maintenance(backend),
        }
        self.dispatcher.handle(state, Event::Maintenance { backend, change });
    }

    /// Sets how many connections to backends may be open at once, and closes idle ones beyond that.
    pub fn set_connection_limit(&self, max_backend_connections: usize) {
        self.dispatcher.state().endpoints.set_connection_limit(max_backend_connections);
    }

    /// Whether a backend in service has ever been listed.
    #[must_use]
    pub fn has_listed_backend(&self) -> bool {
        self.has_endpoints.get()
    }

    /// The counts of this process.
    #[must_use]
    pub fn metrics(&self) -> &Rc<Metrics> {
        &self.dispatcher.metrics
    }

    /// The metrics, with the numbers of backends that are listed and avoided, as a line of JSON.
    ///
    /// # Errors
    ///
    /// Returns an error if the metrics cannot be serialized.
    pub fn metrics_json(&self) -> serde_json::Result<String> {
        let state = self.dispatcher.state();
        let backends = BackendCounts {
            listed: state.decisions.backends_listed(),
            avoided: state.decisions.backends_avoided(),
        };
        self.metrics().to_json(backends)
    }

    /// Whether a request with this id of its client is open.
    #[must_use]
    pub fn client_id_in_use(&self, client_id: u64) -> bool {
        self.dispatcher.state().requests.is_client_id_in_use(client_id)
    }

    /// Accepts a request whose client gave it `client_id` and waits for `request.timeout` seconds; its
    /// [`Request::id`] is assigned here. The receiver gets the final response within that time, and at
    /// once if as many requests are open as the settings allow. `None` if the client's id is in use.
    pub fn submit(
        &self,
        client_id: u64,
        mut request: Request,
        forwarded: ForwardedRequest,
    ) -> Option<(RequestId, oneshot::Receiver<FinalResponse>)> {
        let (response, receiver) = oneshot::channel();
        let mut state = self.dispatcher.state();
        if state.requests.is_client_id_in_use(client_id) {
            return None;
        }
        let id = state.requests.next_id();
        request.id = id;
        let settings = self.settings();
        if state.requests.len() >= settings.proxy.max_open_requests {
            let _ = response.send(FinalResponse::Rejected(None)); // the receiver is still here
            return Some((id, receiver));
        }
        let now = self.dispatcher.clock.now();
        // The client's timeout started when it sent the request, which may then have waited to be read.
        request.timeout -= self.scheduling_lag.get();
        let timeout = request.timeout - RESPONSE_MARGIN_SECS;
        request.timeout -= DECISION_MARGIN_SECS;
        let deadline = state.requests.insert(
            id,
            OpenRequest {
                client_id,
                response,
                forwarded: Rc::new(forwarded),
                deadline: if request.streaming_body { Time::INFINITY } else { now + timeout },
                timeout,
                attempts_sent: 0,
                settings,
            },
        );
        if deadline.is_finite() {
            self.dispatcher.timers.set(deadline, Timer::RequestDeadline(id));
        }
        self.dispatcher.handle(state, Event::Request(request));
        Some((id, receiver))
    }

    /// The body of a streamed request is complete, and its timeout starts. Nothing happens if the
    /// request is not open.
    pub fn body_received(&self, id: RequestId) {
        let mut state = self.dispatcher.state();
        let Some(request) = state.requests.start_timeout(id, self.dispatcher.clock.now()) else {
            return;
        };
        let deadline = request.deadline;
        self.dispatcher.timers.set(deadline, Timer::RequestDeadline(id));
        for number in 0..request.attempts_sent {
            let attempt = AttemptId { request: id, number };
            self.dispatcher.timers.set(deadline, Timer::AttemptDeadline(attempt));
        }
        self.dispatcher.handle(state, Event::BodyReceived(id));
    }

    /// Gives all requests, those still to come too, their final responses by `shutdown_deadline`, as
    /// the process ends then.
    pub fn finish_by(&self, shutdown_deadline: Instant) {
        let start = self.dispatcher.clock.start_instant();
        let deadline = shutdown_deadline.saturating_duration_since(start).as_secs_f64();
        let brought_forward = self.dispatcher.state().requests.set_shutdown_deadline(deadline);
        for id in brought_forward {
            self.dispatcher.timers.set(deadline, Timer::RequestDeadline(id));
        }
    }

    /// Another process has begun or ceased to accept requests of the same clients.
    pub fn set_second_process_running(&self, running: bool) {
        self.dispatcher.handle(self.dispatcher.state(), Event::SecondProcess { running });
    }

    /// The client of a request has disconnected. Nothing happens if the request is not open.
    pub fn client_disconnected(&self, id: RequestId) {
        let mut state = self.dispatcher.state();
        if state.requests.abandon(id) {
            self.dispatcher.handle(state, Event::ClientDisconnected(id));
        }
    }

    async fn run_timers(self: Rc<Self>) {
        loop {
            self.dispatcher.timers.wait_until_due(&self.dispatcher.clock).await;
            self.expire_timers();
        }
    }

    /// Carries out all timers that are due, and records how late they were.
    fn expire_timers(&self) {
        let now = self.dispatcher.clock.now();
        let mut lateness: Time = 0.0;
        while let Some(scheduled) = self.dispatcher.timers.pop_due(now) {
            lateness = lateness.max(now - scheduled.due);
            self.dispatcher.timer_expired(scheduled.timer);
        }
        self.scheduling_lag.record(lateness);
    }

    async fn sweep_idle_connections(self: Rc<Self>) {
        loop {
            tokio::time::sleep(IDLE_SWEEP_INTERVAL).await;
            let mut state = self.dispatcher.state();
            state.endpoints.forget_removed(&self.dispatcher.clock);
            state.endpoints.sweep_idle();
        }
    }
}

impl WatchListener for Engine {
    /// Brings the pools up to date with the endpoint list, and notifies the module.
    fn on_watch_event(&self, event: WatchEvent) {
        let mut state = self.dispatcher.state();
        let last_send = self.send_deadline_from_now();
        state.endpoints.apply_watch_event(&event, last_send, &self.settings().proxy);
        if endpoints::lists_in_service(&event) {
            self.has_endpoints.set(true);
        }
        self.dispatcher.handle(state, PendingEvent::Watch(event));
    }

    fn settings(&self) -> Rc<SettingsSnapshot> {
        Engine::settings(self)
    }

    fn clock(&self) -> &Clock {
        &self.dispatcher.clock
    }

    /// Whether the backend is in maintenance, or has been listed and not been gone for longer than
    /// sends to it may take.
    fn is_backend_known(&self, backend: BackendId) -> bool {
        self.dispatcher.state().endpoints.is_known(backend)
    }
}
