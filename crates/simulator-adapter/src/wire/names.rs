//! The names that lines use, and the ids and indices that the decision module uses in their place.

use balancer::{ClassIndex, TenantIndex, ZoneId};
use std::collections::HashMap;

/// The ids of zones by their names. Ids are assigned in the order in which the names first occur.
#[derive(Debug, Default)]
pub struct ZoneIds(HashMap<String, ZoneId>);

impl ZoneIds {
    /// Returns the id of the zone with this name, which is added if the name is new.
    pub fn assign(&mut self, name: &str) -> ZoneId {
        if let Some(&id) = self.0.get(name) {
            return id;
        }
        let id = ZoneId(self.0.len() as u32);
        self.0.insert(name.to_string(), id);
        id
    }
}

/// The names that events of one instance use, as the settings of the instance define them.
#[derive(Clone, Debug, Default)]
pub struct InstanceNames {
    /// The names of the request classes, in the order of the settings.
    pub(super) classes: Vec<String>,
    /// The names of the tenants, in the order of the settings.
    pub(super) tenants: Vec<String>,
    /// The names of the values of a load report, in the order of the values.
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
