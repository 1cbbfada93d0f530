//! The names that lines use, and the indices that stand for these names in the decision module.

use balancer::{ClassIndex, TenantIndex};
use std::collections::HashMap;

/// Indices of names, assigned in the order in which the names first occur.
#[derive(Debug, Default)]
pub struct NameIndex(HashMap<String, u32>);

impl NameIndex {
    /// Returns the index of a name, which is added if the name is new.
    pub fn assign(&mut self, name: &str) -> u32 {
        if let Some(&index) = self.0.get(name) {
            return index;
        }
        let index = self.0.len() as u32;
        self.0.insert(name.to_string(), index);
        index
    }
}

/// The names that events of one instance use, as the settings of the instance define them.
#[derive(Clone, Debug, Default)]
pub struct InstanceNames {
    /// Names of the request classes, in the order of the settings.
    pub(super) classes: Vec<String>,
    /// Names of the tenants, in the order of the settings.
    pub(super) tenants: Vec<String>,
    /// Names of the values of a load report, in the order of the values.
    pub(super) load_report_fields: Vec<String>,
}

impl InstanceNames {
    /// Returns the index of the class with this name.
    pub(super) fn class_index(&self, name: &str) -> Option<ClassIndex> {
        self.classes.iter().position(|class| class == name).map(ClassIndex)
    }

    /// Returns the index of the tenant with this name.
    pub(super) fn tenant_index(&self, name: &str) -> Option<TenantIndex> {
        self.tenants.iter().position(|tenant| tenant == name).map(TenantIndex)
    }
}
