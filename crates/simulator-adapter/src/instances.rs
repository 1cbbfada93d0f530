//! The instances of the decision module. Owns all that were ever named, as the simulator may start an
//! instance again under its name.

use crate::wire::InstanceNames;
use balancer::Balancer;
use std::collections::HashMap;

/// An instance that has been named.
pub(super) struct Instance {
    pub(super) name: String,
    /// `None` before it starts and after it stops.
    pub(super) running: Option<RunningInstance>,
}

/// An instance that has started.
pub(super) struct RunningInstance {
    pub(super) balancer: Balancer,
    /// The names that its events use.
    pub(super) names: InstanceNames,
}

/// The place of an instance in [`Instances`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct InstanceIndex(usize);

/// All instances that have ever been named.
#[derive(Default)]
pub(super) struct Instances {
    instances: Vec<Instance>,
    by_name: HashMap<String, InstanceIndex>,
}

impl Instances {
    /// The instance of a name, which is added if it is new.
    pub(super) fn select(&mut self, name: &str) -> InstanceIndex {
        if let Some(&index) = self.by_name.get(name) {
            return index;
        }
        let index = InstanceIndex(self.instances.len());
        self.instances.push(Instance { name: name.to_string(), running: None });
        self.by_name.insert(name.to_string(), index);
        index
    }

    pub(super) fn get(&self, index: InstanceIndex) -> &Instance {
        &self.instances[index.0]
    }

    pub(super) fn get_mut(&mut self, index: InstanceIndex) -> &mut Instance {
        &mut self.instances[index.0]
    }
}
