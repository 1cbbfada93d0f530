//! What the proxy counts for those who run it: each request once, where it ends.

use super::config::WireSettings;
use hyper::StatusCode;
use serde::{Serialize, Serializer};
use std::cell::Cell;
use std::rc::Rc;

/// How many requests of a class ended how.
#[derive(Default, Serialize)]
struct Results {
    succeeded: Cell<u64>,
    declined: Cell<u64>,
    aborted: Cell<u64>,
}

/// The counts of this process, from 0 at its start.
#[derive(Serialize)]
pub struct Figures {
    #[serde(serialize_with = "by_name")]
    results: Vec<(String, Results)>,
    outstanding: Cell<u64>,
    forwards: Cell<u64>,
}

/// The figures at one moment, in the form that is answered.
#[derive(Serialize)]
struct Snapshot<'a> {
    #[serde(flatten)]
    figures: &'a Figures,
    discovered: usize,
    ejected: usize,
}

fn by_name<S: Serializer>(results: &[(String, Results)], to: S) -> Result<S::Ok, S::Error> {
    to.collect_map(results.iter().map(|(name, results)| (name, results)))
}

impl Figures {
    /// All at 0, for these classes.
    pub fn new(wire: &WireSettings) -> Rc<Self> {
        let results = wire.classes.iter().map(|name| (name.clone(), Results::default())).collect();
        Rc::new(Self { results, outstanding: Cell::new(0), forwards: Cell::new(0) })
    }

    /// An attempt has been written whole to a backend.
    pub fn forwarded(&self) {
        self.forwards.set(self.forwards.get() + 1);
    }

    /// A request of a class has come whole.
    pub fn taken(self: &Rc<Self>, class: usize) -> Taken {
        self.outstanding.set(self.outstanding.get() + 1);
        Taken { figures: self.clone(), class }
    }

    /// One line of JSON, with what the decision module says of the list.
    pub fn line(&self, discovered: usize, ejected: usize) -> serde_json::Result<String> {
        serde_json::to_string(&Snapshot { figures: self, discovered, ejected })
    }
}

/// A request that is outstanding, until this is dropped.
pub struct Taken {
    figures: Rc<Figures>,
    class: usize,
}

impl Taken {
    /// The client has got this as its final answer. Without it, the client left.
    pub fn ended(self, status: StatusCode) {
        let Some((_, results)) = self.figures.results.get(self.class) else {
            return;
        };
        let count = match status {
            StatusCode::OK => &results.succeeded,
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => &results.declined,
            _ => &results.aborted,
        };
        count.set(count.get() + 1);
    }
}

impl Drop for Taken {
    fn drop(&mut self) {
        self.figures.outstanding.set(self.figures.outstanding.get() - 1);
    }
}
