//! The metrics that operators read with the management call `stats`.
//!
//! Each request is counted once, where it ends, under the name that its class had when it arrived.
//! The names of the JSON fields are part of the management protocol and stay as they are.

use super::settings::ProxySettings;
use hyper::StatusCode;
use serde::{Serialize, Serializer};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;

/// Largest number of retired classes in the metrics. The counts of classes that were removed earlier
/// are dropped, as the metrics would grow without a bound where each change of the settings has new
/// names.
const MAX_RETIRED_CLASSES: usize = 64;

/// The numbers of requests of a class, by the outcome.
#[derive(Default, Serialize)]
struct OutcomeCounts {
    /// Requests with the final status 200.
    succeeded: Cell<u64>,
    /// Requests with the final status 429 or 503: not executed, and safe to send again.
    declined: Cell<u64>,
    /// Requests with any other final status.
    aborted: Cell<u64>,
}

impl OutcomeCounts {
    fn is_empty(&self) -> bool {
        [&self.succeeded, &self.declined, &self.aborted].iter().all(|count| count.get() == 0)
    }
}

/// The name of a class and its counts.
struct ClassCounts {
    name: String,
    outcomes: Rc<OutcomeCounts>,
}

impl ClassCounts {
    /// Returns whether the class has counts, or open requests that will be counted later.
    fn is_used(&self) -> bool {
        !self.outcomes.is_empty() || Rc::strong_count(&self.outcomes) > 1
    }
}

/// The classes that are counted.
#[derive(Default)]
struct ClassTable {
    /// Classes of the settings in force, in the order of the settings.
    in_force: Vec<ClassCounts>,
    /// Classes that the settings no longer have, in the order of their removal, at most
    /// [`MAX_RETIRED_CLASSES`].
    retired: Vec<ClassCounts>,
}

impl ClassTable {
    fn iter(&self) -> impl Iterator<Item = &ClassCounts> {
        self.in_force.iter().chain(&self.retired)
    }

    /// Replaces the classes in force. A class that had counts under the same name keeps them.
    fn set_in_force(&mut self, names: &[String]) {
        let mut previous = std::mem::take(&mut self.retired);
        previous.append(&mut self.in_force);
        self.in_force = with_previous_counts(names, &previous);

        let names: HashSet<&String> = names.iter().collect();
        previous.retain(|class| !names.contains(&class.name) && class.is_used());
        let excess = previous.len().saturating_sub(MAX_RETIRED_CLASSES);
        previous.drain(..excess);
        self.retired = previous;
    }
}

/// Returns classes with these names, with the counts that `previous` has for them.
fn with_previous_counts(names: &[String], previous: &[ClassCounts]) -> Vec<ClassCounts> {
    let mut counts_by_name = HashMap::new();
    for class in previous {
        counts_by_name.entry(&class.name).or_insert(&class.outcomes);
    }
    let counts_of = |name: &String| ClassCounts {
        name: name.clone(),
        outcomes: counts_by_name.get(name).map(|outcomes| Rc::clone(outcomes)).unwrap_or_default(),
    };
    names.iter().map(counts_of).collect()
}

impl Serialize for ClassTable {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_map(self.iter().map(|class| (&class.name, &*class.outcomes)))
    }
}

/// The numbers of settings changes since the process started.
#[derive(Clone, Copy, Default, Serialize)]
struct SettingsChanges {
    /// Version of the settings in force, if they have a version.
    version: Option<u64>,
    /// Number of changes that came into force.
    #[serde(rename = "changed")]
    applied: u64,
    /// Number of configuration files that were rejected.
    #[serde(rename = "refused")]
    rejected: u64,
}

/// The metrics of this process, from 0 at its start.
#[derive(Serialize)]
pub struct Metrics {
    /// The counts of each class.
    #[serde(rename = "results")]
    classes: RefCell<ClassTable>,
    /// Number of requests that wait for their final response.
    outstanding: Cell<u64>,
    /// Number of attempts that were written completely to a backend.
    forwards: Cell<u64>,
    #[serde(skip)]
    settings_changes: Cell<SettingsChanges>,
}

/// The numbers of backends at one moment.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct BackendCounts {
    /// Number of backends that the endpoint list has.
    #[serde(rename = "discovered")]
    pub listed: usize,
    /// Number of backends that receive few requests or none, as they are outliers or in maintenance.
    #[serde(rename = "ejected")]
    pub avoided: usize,
}

/// The metrics at one moment, in the form of `stats`.
#[derive(Serialize)]
struct Snapshot<'a> {
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

    fn set_settings(&self, settings: &ProxySettings) {
        self.classes.borrow_mut().set_in_force(&settings.classes);
        let changes = self.settings_changes.get();
        self.settings_changes.set(SettingsChanges { version: settings.version, ..changes });
    }

    /// Counts a change of the settings. From now on, requests count under the classes of `settings`.
    pub fn settings_applied(&self, settings: &ProxySettings) {
        self.set_settings(settings);
        let changes = self.settings_changes.get();
        self.settings_changes.set(SettingsChanges { applied: changes.applied + 1, ..changes });
    }

    /// Counts a configuration file that was rejected.
    pub fn settings_rejected(&self) {
        let changes = self.settings_changes.get();
        self.settings_changes.set(SettingsChanges { rejected: changes.rejected + 1, ..changes });
    }

    /// Counts an attempt that was written completely to a backend.
    pub fn attempt_written(&self) {
        self.forwards.set(self.forwards.get() + 1);
    }

    /// Returns the counter of the requests of a class, which stays valid when the class is retired.
    #[must_use]
    pub fn for_class(self: &Rc<Self>, name: &str) -> ClassMetrics {
        let classes = self.classes.borrow();
        let class = classes.iter().find(|class| class.name == name);
        let outcomes = class.map(|class| class.outcomes.clone()).unwrap_or_default();
        ClassMetrics { metrics: self.clone(), outcomes }
    }

    /// Returns the metrics as one line of JSON, with the numbers of backends, which the engine knows.
    ///
    /// # Errors
    ///
    /// Fails if the metrics can't be serialized.
    pub fn to_json(&self, backends: BackendCounts) -> serde_json::Result<String> {
        let settings = self.settings_changes.get();
        serde_json::to_string(&Snapshot { metrics: self, backends, settings })
    }
}

/// Counts the requests of a class.
#[derive(Clone)]
pub struct ClassMetrics {
    metrics: Rc<Metrics>,
    outcomes: Rc<OutcomeCounts>,
}

impl ClassMetrics {
    /// Counts a request that was received completely, and that is outstanding from now on.
    #[must_use]
    pub fn request_started(&self) -> OutstandingRequest {
        let outstanding = &self.metrics.outstanding;
        outstanding.set(outstanding.get() + 1);
        OutstandingRequest { class: self.clone() }
    }
}

/// A request that counts as outstanding until the value is dropped.
pub struct OutstandingRequest {
    class: ClassMetrics,
}

impl OutstandingRequest {
    /// Counts the outcome of the request, whose client has received its final response. If the client
    /// disconnects before that, the value is dropped and no outcome is counted.
    pub fn finish(self, status: StatusCode) {
        let outcomes = &self.class.outcomes;
        let count = match status {
            StatusCode::OK => &outcomes.succeeded,
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => &outcomes.declined,
            _ => &outcomes.aborted,
        };
        count.set(count.get() + 1);
    }
}

impl Drop for OutstandingRequest {
    fn drop(&mut self) {
        let outstanding = &self.class.metrics.outstanding;
        outstanding.set(outstanding.get() - 1);
    }
}
