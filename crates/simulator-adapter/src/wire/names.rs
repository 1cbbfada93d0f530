//! The names that lines use, and the indices that stand for them in the interface.

use std::collections::HashMap;

/// Indices of names, assigned in the order in which the names first occur.
#[derive(Debug, Default)]
pub struct NameIndex(HashMap<String, u32>);

impl NameIndex {
    /// The index of a name, which is added if it is new.
    pub fn index(&mut self, name: &str) -> u32 {
        if let Some(&index) = self.0.get(name) {
            return index;
        }
        let index = self.0.len() as u32;
        self.0.insert(name.to_string(), index);
        index
    }
}

/// The names that the events of an instance use, as its settings define them.
#[derive(Clone, Debug, Default)]
pub struct InstanceNames {
    /// The classes, in the order of the settings.
    pub(super) classes: Vec<String>,
    /// The tenants, in the order of the settings.
    pub(super) tenants: Vec<String>,
    /// The values of a load report, in their order.
    pub(super) load_report_fields: Vec<String>,
}
