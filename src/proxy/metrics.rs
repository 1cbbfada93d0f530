//! What the proxy counts for those who run it: each request once, where it ends, by the name of the
//! class that it was taken under.

use super::settings::ProxySettings;
use hyper::StatusCode;
use serde::{Serialize, Serializer};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;

/// So many classes that are no more are kept in the figures, those that went last. What went before
/// is lost from them: where every change brings new names, they must not grow for ever.
const MOST_RETIRED: usize = 64;

/// How many requests of a class ended how.
#[derive(Default, Serialize)]
struct Results {
    succeeded: Cell<u64>,
    declined: Cell<u64>,
    aborted: Cell<u64>,
}

impl Results {
    fn any(&self) -> bool {
        [&self.succeeded, &self.declined, &self.aborted].iter().any(|count| count.get() > 0)
    }
}

type ByName = Vec<(String, Rc<Results>)>;

/// The classes that are counted.
#[derive(Default)]
struct Classes {
    in_force: ByName,
    /// Those that are no more, with counts or with requests that will count, the latest last.
    retired: ByName,
}

/// What has become of the settings that came since the start.
#[derive(Clone, Copy, Default, Serialize)]
struct Changes {
    /// Of those in force.
    version: Option<u64>,
    /// OutstandingRequest over.
    changed: u64,
    /// Files that were not.
    refused: u64,
}

/// The counts of this process, from 0 at its start.
#[derive(Serialize)]
pub struct Metrics {
    #[serde(rename = "results", serialize_with = "by_name")]
    classes: RefCell<Classes>,
    outstanding: Cell<u64>,
    forwards: Cell<u64>,
    #[serde(skip)]
    changes: Cell<Changes>,
}

/// The figures at one moment, in the form that is answered.
#[derive(Serialize)]
struct Snapshot<'a> {
    #[serde(flatten)]
    figures: &'a Metrics,
    discovered: usize,
    ejected: usize,
    settings: Changes,
}

fn by_name<S: Serializer>(classes: &RefCell<Classes>, to: S) -> Result<S::Ok, S::Error> {
    let classes = classes.borrow();
    to.collect_map(classes.in_force.iter().chain(&classes.retired).map(|(name, results)| (name, &**results)))
}

impl Metrics {
    /// All at 0, for these classes.
    pub fn new(wire: &ProxySettings) -> Rc<Self> {
        let figures = Self {
            classes: RefCell::default(),
            outstanding: Cell::new(0),
            forwards: Cell::new(0),
            changes: Cell::default(),
        };
        figures.keep_to(wire);
        Rc::new(figures)
    }

    /// From now on these are the classes. What has been counted stays with their names.
    fn keep_to(&self, wire: &ProxySettings) {
        let Classes { in_force, retired } = self.classes.take();
        let had: ByName = retired.into_iter().chain(in_force).collect();
        let by_name: HashMap<_, _> = had.iter().rev().map(|(name, results)| (name, results)).collect();
        let counted = |name: &String| by_name.get(name).copied().cloned().unwrap_or_default();
        let in_force = wire.classes.iter().map(|name| (name.clone(), counted(name))).collect();
        let names: HashSet<_> = wire.classes.iter().collect();
        let still = |(name, results): &(String, Rc<Results>)| {
            !names.contains(name) && (results.any() || Rc::strong_count(results) > 1)
        };
        let mut retired: ByName = had.into_iter().filter(still).collect();
        retired.drain(..retired.len().saturating_sub(MOST_RETIRED));
        self.classes.replace(Classes { in_force, retired });
        self.changes.set(Changes { version: wire.version, ..self.changes.get() });
    }

    /// Other settings have come into force.
    pub fn settings_applied(&self, wire: &ProxySettings) {
        self.keep_to(wire);
        let changes = self.changes.get();
        self.changes.set(Changes { changed: changes.changed + 1, ..changes });
    }

    /// A file could not be taken over.
    pub fn settings_rejected(&self) {
        let changes = self.changes.get();
        self.changes.set(Changes { refused: changes.refused + 1, ..changes });
    }

    /// An attempt has been written whole to a backend.
    pub fn attempt_written(&self) {
        self.forwards.set(self.forwards.get() + 1);
    }

    /// Where the requests of a class are counted, whatever becomes of the class.
    pub fn for_class(self: &Rc<Self>, class: &str) -> ClassMetrics {
        let classes = self.classes.borrow();
        let found = classes.in_force.iter().chain(&classes.retired).find(|(name, _)| name == class);
        let results = found.map(|(_, results)| results.clone()).unwrap_or_default();
        ClassMetrics { figures: self.clone(), results }
    }

    /// One line of JSON, with what the decision module says of the list.
    pub fn to_json(&self, discovered: usize, ejected: usize) -> serde_json::Result<String> {
        let settings = self.changes.get();
        serde_json::to_string(&Snapshot { figures: self, discovered, ejected, settings })
    }
}

/// The counts of a class.
#[derive(Clone)]
pub struct ClassMetrics {
    figures: Rc<Metrics>,
    results: Rc<Results>,
}

impl ClassMetrics {
    /// A request has come whole.
    pub fn request_started(&self) -> OutstandingRequest {
        self.figures.outstanding.set(self.figures.outstanding.get() + 1);
        OutstandingRequest(self.clone())
    }
}

/// A request that is outstanding, until this is dropped.
pub struct OutstandingRequest(ClassMetrics);

impl OutstandingRequest {
    /// The client has got this as its final answer. Without it, the client left.
    pub fn finish(self, status: StatusCode) {
        let results = &self.0.results;
        let count = match status {
            StatusCode::OK => &results.succeeded,
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => &results.declined,
            _ => &results.aborted,
        };
        count.set(count.get() + 1);
    }
}

impl Drop for OutstandingRequest {
    fn drop(&mut self) {
        let outstanding = &self.0.figures.outstanding;
        outstanding.set(outstanding.get() - 1);
    }
}
