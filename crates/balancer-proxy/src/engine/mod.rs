//! The engine, which connects the decision module with the sockets.
//!
//! The engine owns the clock and the timers of the decision module, the open requests with their
//! attempts, and the connection pools of the backends. The engine passes each occurrence to the module as
//! an event, and executes each action of the module as I/O. The engine guarantees every accepted request
//! exactly one final response before its deadline, and reports the end of each attempt to the module. The
//! parts of the engine:
//!
//! - `submission`: accepts requests, and ends them when their clients disconnect or the process ends;
//! - `requests`: the open requests and their final responses;
//! - `attempts`: the running attempts;
//! - `endpoints`: the backends and their connection pools;
//! - `timers`: the timers, ordered by due time;
//! - `decision_module`: the decision module and its pending events;
//! - `state`: combines these parts, and ends requests and attempts;
//! - `dispatcher`: passes events to the module and executes its actions;
//! - `background_tasks`: the tasks that expire timers and close idle connections;
//! - `event_loop_lag`: estimates how late the process expires its timers;
//! - `supervisor`: restarts the background tasks after a panic.

mod attempts;
mod background_tasks;
mod decision_module;
mod dispatcher;
mod endpoints;
mod event_loop_lag;
mod requests;
mod state;
mod submission;
mod supervisor;
mod timers;

pub use requests::FinalResponse;
pub use submission::{ClientRequestIdInUse, SubmittedRequest};

use super::clock::Clock;
use super::control::discovery::{Discovery, WatchListener};
use super::limits::OtherProcess;
use super::metrics::{BackendCounts, Metrics};
use super::settings::SettingsSnapshot;
use super::watch_event::WatchEvent;
use balancer::{BackendId, Event, MaintenanceChange, ServingProcesses, Time};
use decision_module::PendingEvent;
use dispatcher::Dispatcher;
use event_loop_lag::EventLoopLag;
use std::cell::Cell;
use std::rc::Rc;

/// Fraction of the grace period of a drain or maintenance during which an attempt that was decided on
/// earlier may still be sent. The rest of the grace period is left for attempts that are being written.
const SEND_GRACE_FRACTION: f64 = 0.5;

/// Drives the decision module.
pub struct Engine {
    dispatcher: Rc<Dispatcher>,
    event_loop_lag: EventLoopLag,
    /// Whether the endpoint list has ever contained a backend in service.
    has_listed_backend: Cell<bool>,
}

impl Engine {
    /// Starts an engine with its own decision module. The random draws of the module depend on `seed`. At
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
            event_loop_lag: EventLoopLag::default(),
            has_listed_backend: Cell::new(false),
        });
        background_tasks::spawn(&engine);
        engine
    }

    /// Returns the settings in force.
    #[must_use]
    pub fn settings(&self) -> Rc<SettingsSnapshot> {
        self.dispatcher.settings()
    }

    /// Puts settings in force in the engine, the decision module and the metrics. Open requests keep
    /// the settings under which they arrived, and connections stay open.
    pub fn apply_settings(&self, settings: SettingsSnapshot) {
        let settings = Rc::new(settings);
        let state = self.dispatcher.state();
        self.dispatcher.replace_settings(settings.clone());
        self.metrics().count_settings_change(&settings.proxy);
        state.endpoints.set_timeouts(&settings.proxy);
        self.dispatcher.handle(state, PendingEvent::Settings(settings));
    }

    /// Returns the longest time in seconds from the arrival of a request to its deadline, over the open
    /// requests and those that arrive under the settings in force.
    #[must_use]
    pub fn longest_deadline(&self) -> Time {
        let longest_of_open_requests = self.dispatcher.state().requests.longest_class_deadline();
        self.settings().longest_deadline().max(longest_of_open_requests)
    }

    /// Returns the time, in seconds of the proxy's clock, from which on no attempt may be sent to a backend
    /// whose drain or maintenance begins now.
    fn send_deadline_from_now(&self) -> Time {
        let grace_period = self.settings().proxy.drain_grace_period.as_secs_f64();
        self.dispatcher.clock.now() + SEND_GRACE_FRACTION * grace_period
    }

    /// Sets the discovery that provides the endpoint list. The engine holds only a weak reference to it.
    pub fn set_discovery(&self, discovery: &Rc<Discovery>) {
        self.dispatcher.set_discovery(discovery);
    }

    /// Starts or ends the maintenance of a backend.
    pub fn change_maintenance(&self, backend: BackendId, change: MaintenanceChange) {
        let mut state = self.dispatcher.state();
        match change {
            MaintenanceChange::Begins => {
                state.endpoints.start_maintenance(backend, self.send_deadline_from_now());
            }
            MaintenanceChange::Ends => state.endpoints.end_maintenance(backend),
        }
        self.dispatcher.handle(state, Event::Maintenance { backend, change });
    }

    /// Limits the connections to backends that are open at once, and closes idle ones beyond the limit.
    pub fn set_connection_limit(&self, max_backend_connections: usize) {
        self.dispatcher.state().endpoints.set_connection_limit(max_backend_connections);
    }

    /// Notifies the decision module whether another process serves the same clients.
    pub fn set_other_process(&self, other_process: OtherProcess) {
        let processes = match other_process {
            OtherProcess::Absent => ServingProcesses::One,
            OtherProcess::Running => ServingProcesses::Two,
        };
        self.dispatcher.handle(self.dispatcher.state(), Event::ServingProcesses(processes));
    }

    /// Returns whether the endpoint list has ever contained a backend in service.
    #[must_use]
    pub fn has_listed_backend(&self) -> bool {
        self.has_listed_backend.get()
    }

    /// Returns the metrics of this process.
    #[must_use]
    pub fn metrics(&self) -> &Rc<Metrics> {
        &self.dispatcher.metrics
    }

    /// Returns the metrics, with the numbers of backends that are listed and avoided, as a line of JSON.
    ///
    /// # Errors
    ///
    /// Returns an error if the metrics cannot be serialized.
    pub fn metrics_json(&self) -> serde_json::Result<String> {
        let state = self.dispatcher.state();
        let backends = BackendCounts {
            listed: state.decision_module.backends_listed(),
            avoided: state.decision_module.backends_avoided(),
        };
        self.metrics().to_json(backends)
    }
}

impl WatchListener for Engine {
    /// Updates the connection pools from the endpoint list, and notifies the decision module.
    fn on_watch_event(&self, event: WatchEvent) {
        let mut state = self.dispatcher.state();
        let send_deadline = self.send_deadline_from_now();
        state.endpoints.apply_watch_event(&event, send_deadline, &self.settings().proxy);
        if endpoints::lists_in_service(&event) {
            self.has_listed_backend.set(true);
        }
        self.dispatcher.handle(state, PendingEvent::Watch(event));
    }

    fn settings(&self) -> Rc<SettingsSnapshot> {
        Engine::settings(self)
    }

    fn clock(&self) -> &Clock {
        &self.dispatcher.clock
    }

    /// Returns whether the backend is listed or in maintenance, or was removed and may still be used by
    /// attempts.
    fn is_backend_in_use(&self, backend: BackendId) -> bool {
        self.dispatcher.state().endpoints.is_in_use(backend)
    }
}
