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

/// Retired classes in the metrics, those that were removed last. The counts of earlier ones are
/// dropped: the metrics must stay bounded where each change of the settings brings new names.
const MAX_RETIRED_CLASSES: usize = 64;

/// How the requests of a class ended.
#[derive(Default, Serialize)]
struct OutcomeCounts {
    /// Final status 200.
    succeeded: Cell<u64>,
    /// Final status 429 or 503: not executed, and safe to send again.
    declined: Cell<u64>,
    /// Any other final status.
    aborted: Cell<u64>,
}

impl OutcomeCounts {
    fn is_empty(&self) -> bool {
        [&self.succeeded, &self.declined, &self.aborted].iter().all(|count| count.get() == 0)
    }
}

/// The counts of one class name.
struct ClassCounts {
    name: String,
    outcomes: Rc<OutcomeCounts>,
}

impl ClassCounts {
    /// It has counts, or requests that are yet to be counted.
    fn is_used(&self) -> bool {
        !self.outcomes.is_empty() || Rc::strong_count(&self.outcomes) > 1
    }
}

/// The classes that are counted.
#[derive(Default)]
struct ClassTable {
    /// Classes of the settings in force, in the order of the settings.
    in_force: Vec<ClassCounts>,
    /// Classes that the settings no longer have, the one removed last at the end.
    retired: Vec<ClassCounts>,
}

impl ClassTable {
    fn iter(&self) -> impl Iterator<Item = &ClassCounts> {
        self.in_force.iter().chain(&self.retired)
    }

    /// Replaces the classes in force. Counts stay with their names.
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

/// Changes of the settings since the process started.
#[derive(Clone, Copy, Default, Serialize)]
struct SettingsChanges {
    /// Version of the settings in force, if they have one.
    version: Option<u64>,
    /// Changes that came into force.
    #[serde(rename = "changed")]
    applied: u64,
    /// Files that were rejected.
    #[serde(rename = "refused")]
    rejected: u64,
}

/// The metrics of this process, from 0 at its start.
#[derive(Serialize)]
pub struct Metrics {
    #[serde(rename = "results")]
    classes: RefCell<ClassTable>,
    /// Requests without a final response.
    outstanding: Cell<u64>,
    /// Attempts that were written completely to a backend.
    forwards: Cell<u64>,
    #[serde(skip)]
    settings_changes: Cell<SettingsChanges>,
}

/// The metrics at one moment, in the form of `stats`.
#[derive(Serialize)]
struct Snapshot<'a> {
    #[serde(flatten)]
    metrics: &'a Metrics,
    discovered: usize,
    ejected: usize,
    settings: SettingsChanges,
}

impl Metrics {
    /// Metrics at 0 for the classes of these settings.
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

    /// Counts a change of the settings, and counts requests under its classes from now on.
    pub fn settings_applied(&self, settings: &ProxySettings) {
        self.set_settings(settings);
        let changes = self.settings_changes.get();
        self.settings_changes.set(SettingsChanges { applied: changes.applied + 1, ..changes });
    }

    /// Counts a file of settings that was rejected.
    pub fn settings_rejected(&self) {
        let changes = self.settings_changes.get();
        self.settings_changes.set(SettingsChanges { rejected: changes.rejected + 1, ..changes });
    }

    /// Counts an attempt that was written completely to a backend.
    pub fn attempt_written(&self) {
        self.forwards.set(self.forwards.get() + 1);
    }

    /// Where the requests of a class are counted. It stays valid when the class is retired.
    #[must_use]
    pub fn for_class(self: &Rc<Self>, name: &str) -> ClassMetrics {
        let classes = self.classes.borrow();
        let class = classes.iter().find(|class| class.name == name);
        let outcomes = class.map(|class| class.outcomes.clone()).unwrap_or_default();
        ClassMetrics { metrics: self.clone(), outcomes }
    }

    /// One line of JSON. `discovered` and `ejected` are the numbers of backends that are listed, and of
    /// those in maintenance or outliers, which receive few requests or none.
    ///
    /// # Errors
    ///
    /// Fails if the serializer does.
    pub fn to_json(&self, discovered: usize, ejected: usize) -> serde_json::Result<String> {
        let settings = self.settings_changes.get();
        serde_json::to_string(&Snapshot { metrics: self, discovered, ejected, settings })
    }
}

/// Counts the requests of a class.
#[derive(Clone)]
pub struct ClassMetrics {
    metrics: Rc<Metrics>,
    outcomes: Rc<OutcomeCounts>,
}

impl ClassMetrics {
    /// Counts a request that was received completely, and is outstanding from now on.
    #[must_use]
    pub fn request_started(&self) -> OutstandingRequest {
        let outstanding = &self.metrics.outstanding;
        outstanding.set(outstanding.get() + 1);
        OutstandingRequest { class: self.clone() }
    }
}

/// A request that counts as outstanding until this is dropped.
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
