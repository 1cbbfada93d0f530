//! The scenarios. Some of their decisions are close to the thresholds of the balancer's tuning constants, so
//! that a change of any of the constants by 1% alters at least one action.

mod backends;
mod overload;
mod requests;

use crate::scenario::{Behaviour, Change, Scenario, endpoint};
use balancer::{
    BackendId, Effect, Endpoint, IdempotencyGroup, MaintenanceChange, RequestClass, Settings, Status, Tenant,
    Time,
};

/// Returns all scenarios.
pub fn all() -> Vec<Scenario> {
    vec![
        overload::entry_overload(),
        overload::lower_tier_overload(),
        requests::effects_with_failures(),
        requests::ordered_keys(),
        requests::streamed_bodies(),
        backends::slow_start_by_own_rate(),
        backends::slow_start_by_reported_rates(),
        backends::polled_endpoint_list(),
        backends::cross_zone_cost(),
        requests::changing_settings(),
        backends::hung_and_outlying_backends(),
        overload::connections_with_cost(),
        overload::retries_under_overload(),
        requests::quiet_balancer(),
        requests::brief_timeouts(),
        overload::busy_entry_balancer(),
        requests::stalled_bodies(),
        backends::overloaded_discovery(),
    ]
}

fn class(name: &str, effect: Effect) -> RequestClass {
    RequestClass {
        name: name.to_string(),
        latency_objective: 0.3,
        max_timeout: 0.8,
        late_priority_weight: 0.3,
        effect,
        ..RequestClass::default()
    }
}

fn idempotent_effect(group: IdempotencyGroup, window: Time) -> Effect {
    Effect::Idempotent { group, window }
}

/// Returns a class of each effect.
fn classes() -> Vec<RequestClass> {
    vec![
        class("read", Effect::Safe),
        RequestClass { late_priority_weight: 0.0, ..class("write", Effect::Unsafe) },
        RequestClass { priority_weight: 4.0, ..class("put", idempotent_effect(IdempotencyGroup::All, 0.5)) },
        class("zone", idempotent_effect(IdempotencyGroup::Zone, 0.3)),
        RequestClass {
            latency_objective: 0.2,
            ..class("cell", idempotent_effect(IdempotencyGroup::Cell, 0.2))
        },
    ]
}

fn tenant(name: &str, quota_per_second: f64) -> Tenant {
    Tenant { name: name.to_string(), quota_per_second }
}

fn settings() -> Settings {
    Settings { classes: classes(), instance_count: 4, instance_index: 1, ..Settings::default() }
}

fn set_behaviour(id: u32, behaviour: Behaviour) -> Change {
    Change::Behaviour(BackendId(id), behaviour)
}

fn set_latency_factor(id: u32, latency_factor: f64) -> Change {
    set_behaviour(id, Behaviour::Serves { latency_factor })
}

fn change_maintenance(id: u32, change: MaintenanceChange) -> Change {
    Change::Maintenance(BackendId(id), change)
}

fn set_status(id: u32, status: Status) -> Change {
    Change::List(Endpoint { status, ..endpoint(id) })
}

fn set_start_time(id: u32, at: Time) -> Change {
    Change::List(Endpoint { started_at: Some(at), ..endpoint(id) })
}
