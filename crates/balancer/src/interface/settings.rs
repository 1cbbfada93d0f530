//! The settings of a balancer. Their names in the configuration are those of the protocol page; see
//! `docs/GLOSSARY.md`.

use super::ids::{ClassIndex, TenantIndex, Tier, Time, ZoneId};

/// The backends that recognise a repeat of a request which one of them has processed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdempotencyGroup {
    /// All backends.
    All,
    /// The backends of one zone.
    Zone,
    /// The backends of one cell.
    Cell,
}

/// The effect of processing a request twice, which decides whether the request may be retried.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Effect {
    /// A repeat has no effect, and the request may be retried freely.
    Safe,
    /// A repeat is recognised by the idempotency key of the request, and dropped.
    Idempotent {
        /// The backends that recognise a repeat.
        group: IdempotencyGroup,
        /// The time after the first send for which the backends remember a request, in seconds.
        window: Time,
    },
    /// A repeat would take effect again, so that no second attempt may be processed.
    Unsafe,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// The name of the class. Observations of a class stay with its name when settings change.
    pub name: String,
    /// The time within which a response has its full priority weight, in seconds.
    pub latency_objective: Time,
    /// The longest time that a client waits, over all its attempts, in seconds.
    pub max_timeout: Time,
    /// The fraction of its priority weight, from 0 to 1, that a response between objective and deadline
    /// has.
    pub late_priority_weight: f64,
    /// The weight of a timely response relative to those of other classes.
    pub priority_weight: f64,
    /// The effect of processing a request twice.
    pub effect: Effect,
    /// Whether requests with the same ordering key are processed one at a time, in the order of their
    /// arrival.
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

/// A source of requests with a quota of its own, where a deployment has several.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// The name of the tenant. The quota that a tenant has used stays with its name when settings change.
    pub name: String,
    /// The quota in requests per second, over all balancers.
    pub quota_per_second: f64,
}

/// The settings of a balancer, given at its start and at each change.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The classes, to which requests refer by index.
    pub classes: Vec<RequestClass>,
    /// The tenants, to which requests refer by index.
    pub tenants: Vec<Tenant>,
    /// The priority weight of a request over the quota of its tenant, as a fraction of the weight of its
    /// class.
    pub over_quota_weight: f64,
    /// The number of balancers of the service that this one belongs to.
    pub instance_count: usize,
    /// The index of this balancer among them, from 0.
    pub instance_index: usize,
    /// The tier of this balancer.
    pub tier: Tier,
    /// The zone of this balancer.
    pub zone: ZoneId,
    /// The cost of an attempt that crosses zones, as a fraction of the priority weight of an average
    /// request.
    pub cross_zone_cost: f64,
    /// Whether open or new connections have a cost.
    pub connections_have_cost: bool,
    /// Whether load reports come with health checks only, and health checks are allowed.
    pub health_checks_for_load_reports: bool,
    /// Whether attempts that have been written may be cancelled.
    pub cancellation_allowed: bool,
    /// Whether a request may have two attempts in flight at once.
    pub hedging_allowed: bool,
    /// The greatest number of attempts of a request.
    pub max_attempts: usize,
    /// The longest `Retry-After` that clients are sent, in seconds; 0 where clients do not honour one.
    pub max_retry_after: Time,
    /// Whether the endpoint list has to be polled, as discovery does not push changes.
    pub must_poll_endpoints: bool,
    /// The time after which a balancer that has not polled is deemed notified of a change, in seconds.
    pub endpoint_poll_limit: Time,
    /// The fraction of its capacity, from 0 to 1, that a backend has at its start.
    pub slow_start_initial_capacity: f64,
    /// The time from its start after which a backend has its full capacity, in seconds.
    pub slow_start_duration: Time,
    /// The multiple of its present capacity beyond which a backend in slow start is overloaded.
    pub slow_start_overload_multiple: f64,
    /// The time for which a backend has to be sent more than that multiple to be overloaded, in seconds.
    pub slow_start_overload_window: Time,
    /// The time for which an ordering key rests after an attempt that may still be running, in seconds.
    pub key_rest_duration: Time,
    /// The time within which idle connections to a draining backend must be closed, in seconds; None if
    /// they may stay open.
    pub idle_close_limit: Option<Time>,
    /// The least span between two calls of [`Balancer::handle`](crate::Balancer::handle) at different
    /// times, in seconds: the resolution of timers and clocks.
    pub quantum: Time,
}

impl Settings {
    /// Returns the class with this index.
    ///
    /// # Panics
    /// If the settings have no class with this index.
    #[must_use]
    pub fn class(&self, index: ClassIndex) -> &RequestClass {
        &self.classes[index.0]
    }

    /// Returns the tenant with this index.
    ///
    /// # Panics
    /// If the settings have no tenant with this index.
    #[must_use]
    pub fn tenant(&self, index: TenantIndex) -> &Tenant {
        &self.tenants[index.0]
    }

    /// Returns the longest timeout of all classes, in seconds.
    #[must_use]
    pub fn longest_timeout(&self) -> Time {
        self.classes.iter().map(|class| class.max_timeout).fold(0.0, f64::max)
    }

    /// Returns the index of the class with this name.
    #[must_use]
    pub fn class_index(&self, name: &str) -> Option<ClassIndex> {
        self.classes.iter().position(|class| class.name == name).map(ClassIndex)
    }

    /// Returns the index of the tenant with this name.
    #[must_use]
    pub fn tenant_index(&self, name: &str) -> Option<TenantIndex> {
        self.tenants.iter().position(|tenant| tenant.name == name).map(TenantIndex)
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
            tier: Tier::ENTRY,
            zone: ZoneId::default(),
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
