//! The balancer settings of the simulated callers.

use super::plan::Plan;
use super::topology::Topology;
use balancer::{ClassIndex, Effect, IdempotencyGroup, RequestClass, Settings, Tier};

/// The class of safe requests.
pub const SAFE_CLASS: ClassIndex = ClassIndex(0);
/// The class of idempotent requests.
pub const IDEMPOTENT_CLASS: ClassIndex = ClassIndex(1);
/// The class of unsafe requests.
pub const UNSAFE_CLASS: ClassIndex = ClassIndex(2);
/// The effect of each request class, indexed by the class.
pub const CLASS_EFFECTS: [Effect; 3] =
    [Effect::Safe, Effect::Idempotent { group: IdempotencyGroup::All, window: 5.0 }, Effect::Unsafe];

/// Returns the settings of the caller at `caller_index` in the list of callers of a service.
#[must_use]
pub fn caller_settings(plan: &Plan, topology: &Topology, service: usize, caller_index: usize) -> Settings {
    let callers = &topology.services[service].callers;
    let machine = &topology.machines[callers[caller_index]];
    let class = |effect| RequestClass { max_timeout: plan.call_timeout, effect, ..RequestClass::default() };
    Settings {
        classes: CLASS_EFFECTS.map(class).into(),
        instance_count: callers.len(),
        instance_index: caller_index,
        tier: Tier(topology.services[machine.service].layer),
        zone: machine.zone,
        cross_zone_cost: plan.cross_zone_cost,
        slow_start_initial_capacity: plan.slow_start_initial_capacity,
        slow_start_duration: plan.slow_start_duration,
        slow_start_overload_multiple: plan.overload_multiple,
        slow_start_overload_window: plan.overload_window,
        ..Settings::default()
    }
}
