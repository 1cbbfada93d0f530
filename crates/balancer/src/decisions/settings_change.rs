//! Settings that change while requests are open.

use crate::interface::Settings;
use crate::state::Balancer;
use std::sync::Arc;

/// Both assign the same subsets, so that the members stay.
fn have_same_subsets(old: &Settings, new: &Settings) -> bool {
    old.instance_count == new.instance_count
        && old.instance_index == new.instance_index
        && old.tier == new.tier
        && old.zone == new.zone
        && (old.cross_zone_cost > 0.0) == (new.cross_zone_cost > 0.0)
}

impl Balancer {
    /// Applies settings, completely and at once. What was learned of a class or a tenant stays with
    /// its name, and calls end by the settings with which they arrived.
    pub(super) fn apply_settings(&mut self, settings: Settings) {
        let new = Arc::new(settings);
        let old = std::mem::replace(&mut self.settings, new.clone());
        for call in self.calls.values_mut() {
            let class = new.class_index(&call.request_class().name);
            call.learned_class = class.unwrap_or(new.classes.len());
            call.tenant = call.tenant.and_then(|tenant| new.tenant_index(&old.tenants[tenant].name));
        }
        let classes: Vec<_> = new.classes.iter().map(|class| old.class_index(&class.name)).collect();
        let tenants: Vec<_> = new.tenants.iter().map(|tenant| old.tenant_index(&tenant.name)).collect();
        self.apply_classes(&new, &classes);
        self.apply_quotas(&new, &tenants);
        if !have_same_subsets(&old, &new) {
            self.subset.members.clear();
        }
        self.assign_subset();
    }
}
