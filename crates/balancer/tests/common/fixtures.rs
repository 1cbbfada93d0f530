//! Settings, classes, tenants and endpoints that many tests use.

use balancer::{BackendId, Effect, Endpoint, RequestClass, Settings, Tenant, Tier};

/// Returns a class with a latency objective of 1 s and a timeout of at most 2 s.
pub fn request_class(effect: Effect) -> RequestClass {
    RequestClass { latency_objective: 1.0, max_timeout: 2.0, effect, ..RequestClass::default() }
}

/// Returns a tenant with a quota in requests per second.
pub fn tenant(name: &str, quota_per_second: f64) -> Tenant {
    Tenant { name: name.to_string(), quota_per_second }
}

/// Returns the settings of an inner balancer with one class of this effect.
pub fn settings_with_effect(effect: Effect) -> Settings {
    Settings { classes: vec![request_class(effect)], tier: Tier(1), ..Settings::default() }
}

/// Returns the settings of an inner balancer with one class of safe requests.
pub fn safe_settings() -> Settings {
    settings_with_effect(Effect::Safe)
}

/// Returns an endpoint in service.
pub fn endpoint(id: u32) -> Endpoint {
    Endpoint { id: BackendId(id), ..Endpoint::default() }
}

/// Returns the endpoints 1 to `count`, all in service.
pub fn endpoints(count: u32) -> Vec<Endpoint> {
    (1..=count).map(endpoint).collect()
}
