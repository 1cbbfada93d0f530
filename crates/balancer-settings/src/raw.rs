//! The settings as operators write them. Field names are the keys of the settings, with `_` for `-`;
//! units are those of the operators' pages. Unknown keys are skipped.

use serde::Deserialize;

/// The settings of one balancer. Only the classes are required, as no request could name a class without
/// them.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub struct RawSettings {
    /// Permitted features, and limits.
    #[serde(default)]
    pub caps: RawCapabilities,
    /// Request classes. Events name a class by its index in this list.
    pub classes: Vec<RawClass>,
    /// Costs that count against the result of a balancer.
    #[serde(default)]
    pub costs: RawCosts,
    /// Index of this balancer among `n_instances`, from 0.
    #[serde(default)]
    pub me: usize,
    /// Number of balancers in the tier.
    pub n_instances: Option<usize>,
    /// Priority weight of a request beyond the quota of its tenant, as a fraction of the weight of its class.
    pub over_share_worth: Option<f64>,
    /// Tenants. Events name a tenant by its index in this list.
    #[serde(default)]
    pub projects: Vec<RawTenant>,
    /// Resolution of timers and clocks, in seconds.
    pub quantum: Option<f64>,
    /// The way in which changes of the endpoint list are received.
    #[serde(default)]
    pub registry_mode: RawRegistryMode,
    /// Figures of the rules between balancers, discovery and backends.
    #[serde(default)]
    pub rules: RawRules,
    /// The way in which load reports are received.
    #[serde(default)]
    pub stats: RawStats,
    /// Number of tiers between the clients and this balancer.
    #[serde(default)]
    pub tier: usize,
    /// Version of the settings. The proxy takes a value that is not a whole number from 0 on as no version
    /// at startup, and rejects such a value on a reload; null counts as absent in both.
    #[serde(default)]
    pub version: serde_json::Value,
    /// Name of the zone that this balancer is in.
    #[serde(default)]
    pub zone: String,
    /// Names of all zones.
    #[serde(default)]
    pub zones: Vec<String>,
}

/// The permitted features and the limits of a balancer. A feature that is not named is not permitted.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case", default)]
pub struct RawCapabilities {
    /// Attempts that have been sent may be cancelled.
    pub cancel: bool,
    /// Longest time in which a connection to a backend is established, in seconds.
    pub connect_timeout: Option<f64>,
    /// Time after which a backend closes an idle connection, in seconds.
    pub idle_close: Option<f64>,
    /// Number of attempts that a request may have.
    pub max_attempts: Option<usize>,
    /// Number of requests that may be open at once.
    pub max_open: Option<usize>,
    /// Longest `Retry-After` that clients honour, in seconds.
    pub max_retry_after: f64,
    /// Backends answer health checks.
    pub probing: bool,
    /// Clients honour `Retry-After`.
    pub retry_after: bool,
    /// A request may have two attempts in flight at once (hedged requests).
    pub second_copies: bool,
}

/// A class of requests.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub struct RawClass {
    /// Name of the class, by which requests refer to it.
    pub name: String,
    /// Latency objective in seconds; the deadline if absent.
    pub on_time: Option<f64>,
    /// Deadline in seconds; the latency objective if absent.
    pub hard_limit: Option<f64>,
    /// Priority weight between latency objective and deadline, as a fraction of `worth`.
    pub late_worth: Option<f64>,
    /// Priority weight of a timely response, relative to the weights of other classes.
    pub worth: Option<f64>,
    /// Effect of a second execution of a request.
    #[serde(default)]
    pub effect: RawEffect,
    /// Backends that share idempotency keys.
    #[serde(default)]
    pub group: RawGroup,
    /// Time for which an idempotency key is remembered, in seconds.
    pub window: Option<f64>,
    /// Requests with the same ordering key run one at a time, in the order of their arrival.
    #[serde(default)]
    pub fifo_by_key: bool,
}

/// The effect of a second execution of a request. An absent or unknown effect counts as harmful.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum RawEffect {
    /// None: the request is safe.
    Free,
    /// None within the group and the window of the idempotency key.
    Guarded,
    /// The request takes effect again.
    #[default]
    #[serde(other)]
    SingleShot,
}

/// The backends that share idempotency keys. An absent or unknown group counts as the narrowest group.
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

/// The costs that count against the result of a balancer, as fractions of the priority weight of an
/// average request.
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

/// A tenant, from whom requests come.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub struct RawTenant {
    /// Name of the tenant, by which requests refer to the tenant.
    pub name: String,
    /// Quota in requests per second, over all balancers of the tier.
    pub quota_per_s: Option<f64>,
}

/// The way in which changes of the endpoint list are received.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum RawRegistryMode {
    /// Discovery pushes changes.
    #[default]
    Automatic,
    /// The decision module polls the list: the module starts each watch, and a failed call ends the watch.
    Subscribe,
}

/// The figures of the rules between balancers, discovery and backends. All times are in seconds.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case", default)]
pub struct RawRules {
    /// Longest time between two polls of the endpoint list.
    pub ask_within: Option<f64>,
    /// Duration of the slow start of a backend.
    pub cold: Option<f64>,
    /// Capacity of a backend at its start, as a fraction of its full capacity.
    pub cold_share: Option<f64>,
    /// Time from the notification that a backend is draining or gone, after which no request is sent there.
    pub drain_grace: Option<f64>,
    /// Multiple of its present capacity beyond which a backend in slow start is overloaded.
    pub fall_multiple: Option<f64>,
    /// Time for which a backend in slow start has to be sent too much to be overloaded.
    pub tip_after: Option<f64>,
    /// Rest of an ordering key after an attempt that may still be running.
    pub settle_after_doubt: Option<f64>,
    /// Longest time until idle connections to a draining backend are closed; no limit if absent.
    pub release_within: Option<f64>,
}

/// The way in which load reports are received.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(default)]
pub struct RawStats {
    /// [`RawStats::ON_HEALTH_CHECKS`] if load reports come with health checks only; other values have no
    /// effect.
    pub how: String,
}

impl RawStats {
    /// Value of `how` where load reports come with health checks only.
    pub const ON_HEALTH_CHECKS: &str = "on_probe";

    /// Returns whether load reports come with health checks only.
    #[must_use]
    pub fn reports_on_health_checks_only(&self) -> bool {
        self.how == Self::ON_HEALTH_CHECKS
    }
}
