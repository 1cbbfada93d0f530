//! The versioned instance list and its responses to polls.

use crate::instance::{FIRST_LIST_VERSION, Instance, InstanceList, Lifecycle};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::SystemTime;

/// A change of the list. An instance is identified by its index in the list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Change {
    /// The weight of an instance changes.
    Weight {
        /// The index of the instance.
        index: usize,
        /// New weight of the instance, relative to the weights of the others.
        weight: f64,
    },
    /// An instance begins to drain.
    Drain(usize),
    /// A draining instance has restarted and is in service again.
    Restart(usize),
    /// A draining instance is deleted, and a new instance at the same address replaces it.
    Replace(usize),
}

impl Change {
    fn index(self) -> usize {
        match self {
            Self::Weight { index, .. } | Self::Drain(index) | Self::Restart(index) | Self::Replace(index) => {
                index
            }
        }
    }
}

/// The instance list with the version in which each instance last changed.
pub struct VersionedList {
    version: u64,
    instances: Vec<Instance>,
    /// The version in which each instance last changed.
    changed_in: Vec<u64>,
    /// The oldest version since which all changes are retained.
    oldest_retained_version: u64,
    /// Responses with the present version, keyed by the version that the poll names; `None` is the key of the
    /// full list.
    responses: HashMap<Option<u64>, Arc<[u8]>>,
}

impl VersionedList {
    /// Creates a list in its first version.
    pub fn new(instances: Vec<Instance>) -> Self {
        Self {
            version: FIRST_LIST_VERSION,
            changed_in: vec![FIRST_LIST_VERSION; instances.len()],
            instances,
            oldest_retained_version: FIRST_LIST_VERSION,
            responses: HashMap::new(),
        }
    }

    /// Returns the present version.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Applies a change, and increases the version of the list.
    pub fn apply(&mut self, change: Change) {
        self.version += 1;
        let index = change.index();
        match change {
            Change::Weight { weight, .. } => self.instances[index].weight = weight,
            Change::Drain(_) => self.instances[index].lifecycle = Lifecycle::Draining,
            Change::Restart(_) => {
                self.instances[index].lifecycle = Lifecycle::Serving;
                self.instances[index].started_at_ms = unix_time_ms();
            }
            Change::Replace(_) => self.replace(index),
        }
        self.changed_in[index] = self.version;
        self.responses.clear();
    }

    fn replace(&mut self, index: usize) {
        let replacement = Instance {
            instance_id: format!("r-{:08x}", self.version),
            lifecycle: Lifecycle::Serving,
            started_at_ms: unix_time_ms(),
            ..self.instances[index].clone()
        };
        self.instances[index].lifecycle = Lifecycle::Deleted;
        self.instances.push(replacement);
        self.changed_in.push(self.version);
    }

    /// Discards the history of changes. A poll that names an older version gets the full list.
    pub fn discard_history(&mut self) {
        self.oldest_retained_version = self.version;
        self.responses.clear();
    }

    /// Returns the indices of the serving instances.
    pub fn serving(&self) -> Vec<usize> {
        let entries = self.instances.iter().enumerate();
        entries.filter(|(_, entry)| entry.lifecycle == Lifecycle::Serving).map(|(index, _)| index).collect()
    }

    /// Returns the number of entries in the full list.
    pub fn listed(&self) -> usize {
        self.instances.iter().filter(|entry| entry.lifecycle != Lifecycle::Deleted).count()
    }

    /// Returns the HTTP response to a poll that names the version `since`. A poll without a version has no
    /// `since`.
    ///
    /// # Errors
    ///
    /// Returns an error if the list cannot be serialized.
    pub fn response(&mut self, since: Option<u64>) -> Result<Arc<[u8]>, serde_json::Error> {
        let retained = self.oldest_retained_version..=self.version;
        let since = since.filter(|since| retained.contains(since));
        if let Some(response) = self.responses.get(&since) {
            return Ok(response.clone());
        }
        let response = http_response(&serde_json::to_vec(&self.entries_since(since))?);
        self.responses.insert(since, response.clone());
        Ok(response)
    }

    /// Returns the entries that changed after the version `since`, or the full list if `since` is `None`.
    fn entries_since(&self, since: Option<u64>) -> InstanceList<'_> {
        let entries = self.instances.iter().zip(&self.changed_in);
        let selected = entries.filter(|(entry, changed_in)| match since {
            Some(since) => **changed_in > since,
            None => entry.lifecycle != Lifecycle::Deleted,
        });
        let instances = selected.map(|(entry, _)| entry).collect();
        InstanceList { generation: self.version, reset: since.is_none(), instances }
    }
}

fn http_response(body: &[u8]) -> Arc<[u8]> {
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    [head.as_bytes(), body].concat().into()
}

fn unix_time_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since_epoch.map_or(0, |duration| duration.as_millis() as u64)
}
