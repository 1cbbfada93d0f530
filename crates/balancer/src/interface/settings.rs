//! The settings of a balancer. The configuration uses the names of the protocol page instead;
//! `docs/GLOSSARY.md` relates both.

use super::ids::{ClassIndex, TenantIndex, Tier, Time, ZoneId};

/// The group of backends that share idempotency keys: each backend of the group detects a repeat of a request
/// that another one has processed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdempotencyGroup {
    /// All backends.
    All,
    /// The backends of one zone.
    Zone,
    /// The backends of one cell.
    Cell,
}

/// The effect of processing a request twice, which determines whether the request may be retried.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Effect {
    /// A repeat has no effect. The request may be retried without restriction.
    Safe,
    /// Backends detect a repeat by the idempotency key of the request, and do not process the repeat.
    Idempotent {
        /// The backends that detect a repeat.
        group: IdempotencyGroup,
        /// The time from the first send during which the backends detect a repeat, in seconds.
        window: Time,
    },
    /// A repeat would take effect again. A request must not be processed twice.
    Unsafe,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// The name of the class. When settings change, a class with the same name keeps its observations.
    pub name: String,
    /// The time within which a response has its full priority weight, in seconds.
    pub latency_objective: Time,
    /// The longest time that a client waits for a response, over all attempts, in seconds.
    pub max_timeout: Time,
    /// The priority weight of a response between latency objective and deadline, as a fraction of the full
    /// priority weight, from 0 to 1.
    pub late_priority_weight: f64,
    /// The priority weight of a timely response, relative to the weights of other classes.
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

/// A source of requests with its own quota, in a deployment with several such sources.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// The name of the tenant. When settings change, a tenant with the same name keeps its remaining quota.
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
    /// The number of balancers that share the backends of this balancer, including this balancer.
    pub instance_count: usize,
    /// The index of this balancer among the balancers that share its backends, from 0.
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
    /// Whether the balancer requests health checks to obtain load reports. True where load reports come with
    /// health checks only, and health checks are allowed.
    pub health_checks_for_load_reports: bool,
    /// Whether attempts that have been written may be cancelled.
    pub cancellation_allowed: bool,
    /// Whether a request may have two attempts in flight at once.
    pub hedging_allowed: bool,
    /// The maximum number of attempts of a request.
    pub max_attempts: usize,
    /// The longest `Retry-After` that is sent to clients, in seconds; 0 where clients do not honour it.
    pub max_retry_after: Time,
    /// Whether the endpoint list has to be polled because discovery does not push changes.
    pub must_poll_endpoints: bool,
    /// The longest time between two polls of the endpoint list, in seconds. After this time, a balancer
    /// counts as notified of a change even if it has not polled.
    pub endpoint_poll_limit: Time,
    /// The capacity of a backend at its start, as a fraction of its full capacity, from 0 to 1.
    pub slow_start_initial_capacity: f64,
    /// The time from the start of a backend until the backend has its full capacity, in seconds.
    pub slow_start_duration: Time,
    /// The multiple of its present capacity beyond which a backend in slow start is overloaded.
    pub slow_start_overload_multiple: f64,
    /// The time for which a backend in slow start must be sent more than the overload multiple before it is
    /// overloaded, in seconds.
    pub slow_start_overload_window: Time,
    /// The time for which no request of an ordering key is dispatched after an attempt of the key that may
    /// still be running, in seconds.
    pub key_block_duration: Time,
    /// The time within which idle connections to a draining backend must be closed, in seconds; `None` if
    /// they may stay open.
    pub idle_close_limit: Option<Time>,
    /// The resolution of timers and clocks, in seconds: the least difference between two distinct times that
    /// are passed to [`Balancer::handle`](crate::Balancer::handle).
    pub clock_resolution: Time,
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
            key_block_duration: 0.0,
            idle_close_limit: None,
            clock_resolution: 0.001,
        }
    }
}
