//! The metrics that operators read with the management call `stats`.
//!
//! Each request is counted once, when it ends, under the name that its class had when the request arrived.
//! The names of the JSON fields are part of the management protocol and must not change.
//!
//! - `class_table`: the counts of each class, including classes that the settings no longer have

mod class_table;

use self::class_table::{ClassTable, OutcomeCounts};
use super::settings::ProxySettings;
use hyper::StatusCode;
use serde::Serialize;
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// The version of the settings, and the numbers of settings changes since the process started.
#[derive(Clone, Copy, Default, Serialize)]
struct SettingsChanges {
    /// Version of the settings in force, or `None` if the settings have no version.
    version: Option<u64>,
    /// Number of changes that have come into force.
    #[serde(rename = "changed")]
    applied: u64,
    /// Number of configuration files that were rejected.
    #[serde(rename = "refused")]
    rejected: u64,
}

/// The metrics of this process, which start at 0.
#[derive(Serialize)]
pub struct Metrics {
    /// The counts of each class.
    #[serde(rename = "results")]
    classes: RefCell<ClassTable>,
    /// Number of requests that wait for their final response.
    outstanding: Cell<u64>,
    /// Number of attempts that were written completely to a backend.
    forwards: Cell<u64>,
    /// The changes of the settings.
    #[serde(skip)]
    settings_changes: Cell<SettingsChanges>,
}

/// The numbers of backends at one time.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct BackendCounts {
    /// Number of backends in the endpoint list.
    #[serde(rename = "discovered")]
    pub listed: usize,
    /// Number of backends that receive few requests or none because they are outliers or in maintenance.
    #[serde(rename = "ejected")]
    pub avoided: usize,
}

/// The metrics at one time, in the JSON form that the management call `stats` returns.
#[derive(Serialize)]
struct MetricsSnapshot<'a> {
    #[serde(flatten)]
    metrics: &'a Metrics,
    #[serde(flatten)]
    backends: BackendCounts,
    settings: SettingsChanges,
}

impl Metrics {
    /// Creates metrics at 0 for the classes of these settings.
    #[must_use]
    pub fn new(settings: &ProxySettings) -> Rc<Self> {
        let metrics = Self {
            classes: RefCell::default(),
            outstanding: Cell::new(0),
            forwards: Cell::new(0),
            settings_changes: Cell::default(),
        };
        metrics.set_settings(settings);
        Rc::new(metrics)
    }

    /// Counts requests under the classes of `settings` from now on.
    fn set_settings(&self, settings: &ProxySettings) {
        self.classes.borrow_mut().set_in_force(&settings.classes);
        let changes = self.settings_changes.get();
        self.settings_changes.set(SettingsChanges { version: settings.version, ..changes });
    }

    /// Counts a change of the settings. From now on, requests count under the classes of `settings`.
    pub fn count_settings_change(&self, settings: &ProxySettings) {
        self.set_settings(settings);
        let changes = self.settings_changes.get();
        self.settings_changes.set(SettingsChanges { applied: changes.applied + 1, ..changes });
    }

    /// Counts a configuration file that was rejected.
    pub fn count_rejected_settings(&self) {
        let changes = self.settings_changes.get();
        self.settings_changes.set(SettingsChanges { rejected: changes.rejected + 1, ..changes });
    }

    /// Counts an attempt that was written completely to a backend.
    pub fn count_written_attempt(&self) {
        self.forwards.set(self.forwards.get() + 1);
    }

    /// Returns the counter for the requests of a class. The counter stays valid when the class is retired.
    #[must_use]
    pub fn class_metrics(self: &Rc<Self>, name: &str) -> ClassMetrics {
        let outcomes = self.classes.borrow().outcomes_of(name);
        ClassMetrics { metrics: self.clone(), outcomes }
    }

    /// Returns the metrics as one line of JSON, with the numbers of backends from the engine.
    ///
    /// # Errors
    ///
    /// Returns an error if the metrics cannot be serialized.
    pub fn to_json(&self, backends: BackendCounts) -> serde_json::Result<String> {
        let settings = self.settings_changes.get();
        serde_json::to_string(&MetricsSnapshot { metrics: self, backends, settings })
    }
}

/// Counts the requests of a class.
#[derive(Clone)]
pub struct ClassMetrics {
    /// The metrics whose outstanding requests are counted.
    metrics: Rc<Metrics>,
    /// The counts of the class.
    outcomes: Rc<OutcomeCounts>,
}

impl ClassMetrics {
    /// Counts a request that was received completely as outstanding, until the returned value is dropped.
    #[must_use]
    pub fn start_request(&self) -> OutstandingRequest {
        let outstanding = &self.metrics.outstanding;
        outstanding.set(outstanding.get() + 1);
        OutstandingRequest { class: self.clone() }
    }
}

/// A request that counts as outstanding until the value is dropped.
pub struct OutstandingRequest {
    /// The counter of the class of the request.
    class: ClassMetrics,
}

impl OutstandingRequest {
    /// Counts the outcome of the request by the status of its final response. If the client disconnects
    /// before the final response, the value is dropped and no outcome is counted.
    pub fn finish(self, status: StatusCode) {
        self.class.outcomes.count(status);
    }
}

impl Drop for OutstandingRequest {
    fn drop(&mut self) {
        let outstanding = &self.class.metrics.outstanding;
        outstanding.set(outstanding.get() - 1);
    }
}
