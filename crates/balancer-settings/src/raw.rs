//! The settings as operators write them. The field names are the keys of the settings, with `_` in place of
//! `-`, and the units are the units of the operators' pages. Unknown keys are ignored.

use serde::Deserialize;

/// The settings of one balancer. Only the classes are required, because each request refers to a class.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub struct RawSettings {
    /// Permitted features, and limits.
    #[serde(default)]
    pub caps: RawCapabilities,
    /// Request classes. Events refer to a class by its index in this list.
    pub classes: Vec<RawClass>,
    /// Costs of connections and of attempts that cross zones.
    #[serde(default)]
    pub costs: RawCosts,
    /// Index of this balancer among `n_instances`, from 0.
    #[serde(default)]
    pub me: usize,
    /// Number of balancers in the tier.
    pub n_instances: Option<usize>,
    /// Priority weight of a request beyond the quota of its tenant, as a fraction of the weight of its class.
    pub over_share_worth: Option<f64>,
    /// Tenants. Events refer to a tenant by its index in this list.
    #[serde(default)]
    pub projects: Vec<RawTenant>,
    /// Resolution of timers and clocks, in seconds.
    pub quantum: Option<f64>,
    /// Method by which the balancer receives changes of the endpoint list.
    #[serde(default)]
    pub registry_mode: RawRegistryMode,
    /// Time limits, fractions and multiples of the rules between balancers, discovery and backends.
    #[serde(default)]
    pub rules: RawRules,
    /// Method by which the balancer receives load reports.
    #[serde(default)]
    pub stats: RawStats,
    /// Number of tiers between the clients and this balancer.
    #[serde(default)]
    pub tier: usize,
    /// Version of the settings, a non-negative integer. At startup the proxy treats any other value as an
    /// absent version. On a reload the proxy rejects such a value. Null counts as absent in both cases.
    #[serde(default)]
    pub version: serde_json::Value,
    /// Name of the zone of this balancer.
    #[serde(default)]
    pub zone: String,
    /// Names of all zones.
    #[serde(default)]
    pub zones: Vec<String>,
}

/// The permitted features and the limits of a balancer. An absent feature is not permitted.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case", default)]
pub struct RawCapabilities {
    /// Whether attempts that have been sent may be cancelled.
    pub cancel: bool,
    /// Timeout for the establishment of a connection to a backend, in seconds.
    pub connect_timeout: Option<f64>,
    /// Time after which a backend closes an idle connection, in seconds.
    pub idle_close: Option<f64>,
    /// Maximum number of attempts of a request.
    pub max_attempts: Option<usize>,
    /// Maximum number of requests that are open at the same time.
    pub max_open: Option<usize>,
    /// Longest `Retry-After` that clients honour, in seconds.
    pub max_retry_after: f64,
    /// Whether backends answer health checks.
    pub probing: bool,
    /// Whether clients honour `Retry-After`.
    pub retry_after: bool,
    /// Whether a request may have two attempts in flight at the same time (hedged attempts).
    pub second_copies: bool,
}

/// A class of requests.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub struct RawClass {
    /// Name by which requests refer to the class.
    pub name: String,
    /// Latency objective in seconds; the deadline if absent.
    pub on_time: Option<f64>,
    /// Deadline in seconds; the latency objective if absent.
    pub hard_limit: Option<f64>,
    /// Priority weight of a response between latency objective and deadline, as a fraction of `worth`.
    pub late_worth: Option<f64>,
    /// Priority weight of a timely response, relative to the weights of other classes.
    pub worth: Option<f64>,
    /// Effect of processing a request twice.
    #[serde(default)]
    pub effect: RawEffect,
    /// Backends that share idempotency keys.
    #[serde(default)]
    pub group: RawGroup,
    /// Time for which backends store an idempotency key, in seconds.
    pub window: Option<f64>,
    /// Whether requests with the same ordering key are processed one at a time, in the order of their
    /// arrival.
    #[serde(default)]
    pub fifo_by_key: bool,
}

/// The effect of processing a request twice. An absent or unknown effect counts as [`RawEffect::SingleShot`].
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum RawEffect {
    /// A repeat has no effect: the request is safe.
    Free,
    /// A repeat has no effect within the group and the window of the idempotency key: the request is
    /// idempotent.
    Guarded,
    /// A repeat takes effect again: the request is unsafe.
    #[default]
    #[serde(other)]
    SingleShot,
}

/// The backends that share idempotency keys. An absent or unknown group counts as the smallest group,
/// [`RawGroup::Cell`].
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum RawGroup {
    /// All backends.
    All,
    /// The backends of one zone.
    Zone,
    /// The backends of one cell.
    #[default]
    #[serde(other)]
    Cell,
}

/// The costs of connections and of attempts that cross zones, as fractions of the priority weight of an
/// average request. The costs count against the result of a balancer.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case", default)]
pub struct RawCosts {
    /// Cost of open connections to backends.
    pub connection: f64,
    /// Cost of an attempt that crosses zones.
    pub cross_zone: f64,
    /// Cost of a new connection to a backend.
    pub handshake: f64,
}

/// A tenant, which is a source of requests with its own quota.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub struct RawTenant {
    /// Name by which requests refer to the tenant.
    pub name: String,
    /// Quota in requests per second, over all balancers of the tier; no limit if absent.
    pub quota_per_s: Option<f64>,
}

/// The method by which a balancer receives changes of the endpoint list.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum RawRegistryMode {
    /// Discovery pushes changes.
    #[default]
    Automatic,
    /// The balancer polls the list. The balancer starts each watch, and a failed call to discovery ends the
    /// watch.
    Subscribe,
}

/// The time limits, fractions and multiples of the rules between balancers, discovery and backends. All times
/// are in seconds.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case", default)]
pub struct RawRules {
    /// Longest time between two polls of the endpoint list.
    pub ask_within: Option<f64>,
    /// Duration of the slow start of a backend.
    pub cold: Option<f64>,
    /// Capacity of a backend at its start, as a fraction of its full capacity.
    pub cold_share: Option<f64>,
    /// Time from the notification that a backend is draining or removed, during which requests may still be
    /// sent to the backend.
    pub drain_grace: Option<f64>,
    /// Multiple of its present capacity above which a backend in slow start is overloaded.
    pub fall_multiple: Option<f64>,
    /// Time for which a backend in slow start must be sent more than the overload multiple before it is
    /// overloaded.
    pub tip_after: Option<f64>,
    /// Time for which no request of an ordering key is dispatched after an attempt of the key that may
    /// still be running.
    pub settle_after_doubt: Option<f64>,
    /// Time within which idle connections to a draining backend must be closed; no limit if absent.
    pub release_within: Option<f64>,
}

/// The method by which a balancer receives load reports.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(default)]
pub struct RawStats {
    /// [`RawStats::ON_HEALTH_CHECKS`] if load reports come with health checks only; other values have no
    /// effect.
    pub how: String,
}

impl RawStats {
    /// Value of `how` that states that load reports come with health checks only.
    pub const ON_HEALTH_CHECKS: &str = "on_probe";

    /// Returns whether load reports come with health checks only.
    #[must_use]
    pub fn reports_on_health_checks_only(&self) -> bool {
        self.how == Self::ON_HEALTH_CHECKS
    }
}
