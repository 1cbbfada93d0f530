//! The instances of the decision module. Every instance that was ever named is kept, as the simulator may
//! start an instance again under the same name.

use crate::wire::InstanceNames;
use balancer::Balancer;
use std::collections::HashMap;

/// An instance that the simulator has named.
pub(super) struct Instance {
    /// The name of the instance, which replies repeat.
    pub(super) name: String,
    /// The running instance; `None` before a start and after a stop.
    pub(super) running: Option<RunningInstance>,
}

/// An instance that has started and not stopped.
pub(super) struct RunningInstance {
    /// The decision module of the instance.
    pub(super) balancer: Balancer,
    /// The names that events of the instance use.
    pub(super) names: InstanceNames,
}

/// The index of an instance in [`Instances`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct InstanceIndex(usize);

/// All instances that were ever named.
#[derive(Default)]
pub(super) struct Instances {
    instances: Vec<Instance>,
    by_name: HashMap<String, InstanceIndex>,
}

impl Instances {
    /// Returns the index of the instance with this name, which is added if the name is new.
    pub(super) fn select(&mut self, name: &str) -> InstanceIndex {
        if let Some(&index) = self.by_name.get(name) {
            return index;
        }
        let index = InstanceIndex(self.instances.len());
        self.instances.push(Instance { name: name.to_string(), running: None });
        self.by_name.insert(name.to_string(), index);
        index
    }

    /// Returns the instance at an index.
    pub(super) fn get(&self, index: InstanceIndex) -> &Instance {
        &self.instances[index.0]
    }

    /// Returns a mutable reference to the instance at an index.
    pub(super) fn get_mut(&mut self, index: InstanceIndex) -> &mut Instance {
        &mut self.instances[index.0]
    }
}
