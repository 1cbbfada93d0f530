//! The settings of a balancer. Their names in the configuration are those of the protocol page; see
//! `docs/GLOSSARY.md`.

use super::ids::Time;

/// The backends among which repeats of a request are recognised.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdempotencyGroup {
    /// All backends.
    All,
    /// The backends of one zone.
    Zone,
    /// The backends of one cell.
    Cell,
}

/// What a second run of a request would do, and so whether it may be retried.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Effect {
    /// Nothing: it may be retried at will.
    Safe,
    /// It is dropped, by its idempotency key.
    Idempotent {
        /// The backends that know of each other's requests.
        group: IdempotencyGroup,
        /// For how long they remember a request from its first send, in seconds.
        window: Time,
    },
    /// It would take effect again: no second attempt may run.
    Unsafe,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// Its name. What is learned of a class stays with its name when settings change.
    pub name: String,
    /// A response within this time, in seconds, has its full priority weight.
    pub latency_objective: Time,
    /// How long a client waits at most, over all its tries, in seconds.
    pub max_timeout: Time,
    /// The part of the priority weight, from 0 to 1, of a response between objective and deadline.
    pub late_priority_weight: f64,
    /// What a timely response counts, relative to those of other classes.
    pub priority_weight: f64,
    /// What a second run would do.
    pub effect: Effect,
    /// Requests of such classes with one ordering key run singly, in the order of their arrival.
    pub ordered_by_key: bool,
}

impl Default for RequestClass {
    fn default() -> Self {
        Self {
            name: String::new(),
            latency_objective: 0.5,
            max_timeout: 1.0,
            late_priority_weight: 0.0,
            priority_weight: 1.0,
            effect: Effect::Safe,
            ordered_by_key: false,
        }
    }
}

/// One of those that requests come from, where a deployment has several.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Its name. What it has used of its quota stays with its name when settings change.
    pub name: String,
    /// Requests a second within its quota, over all balancers.
    pub quota_per_second: f64,
}

/// The settings that a balancer gets at its start, and whenever they change.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The classes; requests name them by index.
    pub classes: Vec<RequestClass>,
    /// The tenants; requests name them by index.
    pub tenants: Vec<Tenant>,
    /// The priority weight of a request over its tenant's quota, as a part of that of its class.
    pub over_quota_weight: f64,
    /// Number of balancers like this one.
    pub instance_count: usize,
    /// Number of this one among them, from 0.
    pub instance_index: usize,
    /// How many tiers lie between the clients and this balancer; 0 is the entry tier.
    pub tier: usize,
    /// The zone of this balancer, as [`Endpoint::zone`](super::Endpoint::zone) numbers them.
    pub zone: u32,
    /// What each attempt that crosses zones costs, in parts of the priority weight of an average request.
    pub cross_zone_cost: f64,
    /// Open or new connections have a price.
    pub connections_have_cost: bool,
    /// Load reports come with health checks only, and health checks are allowed.
    pub health_checks_for_load_reports: bool,
    /// Attempts that have been written may be cancelled.
    pub cancellation_allowed: bool,
    /// A request may have two attempts in flight at once.
    pub hedging_allowed: bool,
    /// Attempts that a request may have.
    pub max_attempts: usize,
    /// The longest `Retry-After` that clients are sent, in seconds; 0 where they don't honour it.
    pub max_retry_after: Time,
    /// The endpoint list is not pushed and has to be polled.
    pub must_poll_endpoints: bool,
    /// After this time without a poll, in seconds, a balancer is deemed notified of what was listed then.
    pub endpoint_poll_limit: Time,
    /// The part of its capacity, from 0 to 1, that a backend has at its start.
    pub slow_start_initial_capacity: f64,
    /// The time from its start after which a backend has its full capacity, in seconds.
    pub slow_start_duration: Time,
    /// The multiple of its present capacity beyond which a backend in slow start is overloaded.
    pub slow_start_overload_multiple: f64,
    /// The time for which it has to be sent more than that to be overloaded, in seconds.
    pub slow_start_overload_window: Time,
    /// An ordering key rests for this time, in seconds, after an attempt that may still be running.
    pub key_rest_duration: Time,
    /// Idle connections to a draining backend must be closed within this time, in seconds, if stated.
    pub idle_close_limit: Option<Time>,
    /// Least span between two calls of [`Balancer::handle`](crate::Balancer::handle) at different times, in
    /// seconds: the resolution of timers and clocks.
    pub quantum: Time,
}

impl Settings {
    /// The place of the class of this name.
    #[must_use]
    pub fn class_index(&self, name: &str) -> Option<usize> {
        self.classes.iter().position(|class| class.name == name)
    }

    /// The place of the tenant of this name.
    #[must_use]
    pub fn tenant_index(&self, name: &str) -> Option<usize> {
        self.tenants.iter().position(|tenant| tenant.name == name)
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            classes: Vec::new(),
            tenants: Vec::new(),
            over_quota_weight: 1.0,
            instance_count: 1,
            instance_index: 0,
            tier: 0,
            zone: 0,
            cross_zone_cost: 0.0,
            connections_have_cost: false,
            health_checks_for_load_reports: false,
            cancellation_allowed: true,
            hedging_allowed: true,
            max_attempts: 4,
            max_retry_after: 0.0,
            must_poll_endpoints: false,
            endpoint_poll_limit: 10.0,
            slow_start_initial_capacity: 0.1,
            slow_start_duration: 10.0,
            slow_start_overload_multiple: 3.0,
            slow_start_overload_window: 1.0,
            key_rest_duration: 0.0,
            idle_close_limit: None,
            quantum: 0.001,
        }
    }
}
