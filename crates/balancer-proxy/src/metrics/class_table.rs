//! The request counts of the classes in the settings in force and of retired classes.

use hyper::StatusCode;
use serde::{Serialize, Serializer};
use std::cell::Cell;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;

/// Largest number of retired classes in the metrics. The counts of classes that were removed earlier are
/// dropped, because the metrics would grow without bound if each change of the settings introduced new names.
const MAX_RETIRED_CLASSES: usize = 64;

/// The numbers of requests of a class, by their outcome.
#[derive(Default, Serialize)]
pub(super) struct OutcomeCounts {
    /// Requests with the final status 200.
    succeeded: Cell<u64>,
    /// Requests with the final status 429 or 503, which were not executed and are safe to retry.
    declined: Cell<u64>,
    /// Requests with any other final status.
    aborted: Cell<u64>,
}

impl OutcomeCounts {
    /// Counts a request with this final status.
    pub(super) fn count(&self, status: StatusCode) {
        let count = match status {
            StatusCode::OK => &self.succeeded,
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => &self.declined,
            _ => &self.aborted,
        };
        count.set(count.get() + 1);
    }

    fn is_empty(&self) -> bool {
        [&self.succeeded, &self.declined, &self.aborted].iter().all(|count| count.get() == 0)
    }
}

/// The name of a class and its counts.
struct ClassCounts {
    /// The name of the class.
    name: String,
    /// The counts, which open requests of the class share.
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
pub(super) struct ClassTable {
    /// Classes of the settings in force, in the order of the settings.
    in_force: Vec<ClassCounts>,
    /// Classes that the settings no longer have, in the order of their removal, at most
    /// [`MAX_RETIRED_CLASSES`].
    retired: Vec<ClassCounts>,
}

impl ClassTable {
    /// Returns the counts of the class with this name. For an unknown class, returns new counts that are not
    /// part of the table.
    pub(super) fn outcomes_of(&self, name: &str) -> Rc<OutcomeCounts> {
        let class = self.iter().find(|class| class.name == name);
        class.map(|class| class.outcomes.clone()).unwrap_or_default()
    }

    fn iter(&self) -> impl Iterator<Item = &ClassCounts> {
        self.in_force.iter().chain(&self.retired)
    }

    /// Replaces the classes in force. A new class keeps the counts that the table has under its name.
    pub(super) fn set_in_force(&mut self, names: &[String]) {
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

/// Returns classes with these names. Each class has the counts that `previous` has under its name.
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
