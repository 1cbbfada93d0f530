//! The format of the configuration file. Field names are the keys of the file; units are those of
//! the file. Unknown keys are skipped, and what is absent has a default.

use crate::control::endpoint_list::RawEndpointList;
use serde::Deserialize;

/// The file, except for the endpoint list.
#[derive(Deserialize)]
pub(super) struct RawConfig {
    pub(super) listen: Option<String>,
    pub(super) management: Option<String>,
    pub(super) discovery: Option<String>,
    /// Hexadecimal digits.
    pub(super) seed: Option<String>,
    #[serde(default)]
    pub(super) limits: RawLimits,
    pub(super) settings: RawSettings,
}

/// The endpoint list in the file: by far its longest part, and needed at startup only.
#[derive(Deserialize)]
pub(super) struct RawCachedEndpoints {
    #[serde(default)]
    pub(super) known: RawEndpointList,
}

#[derive(Deserialize, Default)]
#[serde(default)]
pub(super) struct RawLimits {
    /// File descriptors.
    pub(super) sockets: Option<usize>,
    /// Mebibytes.
    pub(super) memory_mb: Option<f64>,
}

/// The settings. Only the classes are required, as no request could name one without them.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(super) struct RawSettings {
    #[serde(default)]
    pub(super) caps: RawCapabilities,
    pub(super) classes: Vec<RawClass>,
    #[serde(default)]
    pub(super) costs: RawCosts,
    /// Index of this proxy among `n_instances`.
    #[serde(default)]
    pub(super) me: usize,
    pub(super) n_instances: Option<usize>,
    /// Priority weight of a request beyond its tenant's quota, as a fraction of that of its class.
    pub(super) over_share_worth: Option<f64>,
    /// The tenants.
    #[serde(default)]
    pub(super) projects: Vec<RawTenant>,
    /// Seconds.
    pub(super) quantum: Option<f64>,
    #[serde(default)]
    pub(super) registry_mode: RawRegistryMode,
    #[serde(default)]
    pub(super) rules: RawRules,
    #[serde(default)]
    pub(super) stats: RawStats,
    #[serde(default)]
    pub(super) tier: usize,
    /// A value that is not a whole number from 0 on counts as no version at startup, and is rejected on a
    /// reload; null counts as absent in both.
    #[serde(default)]
    pub(super) version: serde_json::Value,
    #[serde(default)]
    pub(super) zone: String,
    #[serde(default)]
    pub(super) zones: Vec<String>,
}

/// What the proxy may do, and its limits. What is not allowed explicitly is not allowed.
#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
pub(super) struct RawCapabilities {
    pub(super) cancel: bool,
    /// Seconds.
    pub(super) connect_timeout: Option<f64>,
    /// Seconds.
    pub(super) idle_close: Option<f64>,
    pub(super) max_attempts: Option<usize>,
    /// Open requests.
    pub(super) max_open: Option<usize>,
    /// Seconds.
    pub(super) max_retry_after: f64,
    /// Health checks.
    pub(super) probing: bool,
    pub(super) retry_after: bool,
    /// Hedged requests.
    pub(super) second_copies: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(super) struct RawClass {
    pub(super) name: String,
    /// Latency objective in seconds.
    pub(super) on_time: Option<f64>,
    /// Deadline in seconds.
    pub(super) hard_limit: Option<f64>,
    /// Priority weight between latency objective and deadline, as a fraction of `worth`.
    pub(super) late_worth: Option<f64>,
    /// Priority weight.
    pub(super) worth: Option<f64>,
    #[serde(default)]
    pub(super) effect: RawEffect,
    #[serde(default)]
    pub(super) group: RawGroup,
    /// Seconds for which an idempotency key is remembered.
    pub(super) window: Option<f64>,
    #[serde(default)]
    pub(super) fifo_by_key: bool,
}

/// What a second execution of a request does. An absent or unknown effect counts as harmful.
#[derive(Clone, Copy, Deserialize, Default)]
#[serde(rename_all = "snake_case")]
pub(super) enum RawEffect {
    /// Safe.
    Free,
    /// Idempotent, with an idempotency key.
    Guarded,
    /// Unsafe.
    #[default]
    #[serde(other)]
    SingleShot,
}

/// The backends that share idempotency keys. An absent or unknown group counts as the narrowest.
#[derive(Clone, Copy, Deserialize, Default)]
#[serde(rename_all = "snake_case")]
pub(super) enum RawGroup {
    All,
    Zone,
    #[default]
    #[serde(other)]
    Cell,
}

/// Costs, as fractions of the priority weight of an average request.
#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
pub(super) struct RawCosts {
    pub(super) connection: f64,
    pub(super) cross_zone: f64,
    pub(super) handshake: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(super) struct RawTenant {
    pub(super) name: String,
    /// Requests per second, over all proxies.
    pub(super) quota_per_s: Option<f64>,
}

/// How changes of the endpoint list are received.
#[derive(Deserialize, PartialEq, Default)]
#[serde(rename_all = "snake_case")]
pub(super) enum RawRegistryMode {
    /// Discovery pushes changes: the proxy watches the list all the time.
    #[default]
    Automatic,
    /// The decision module polls the list: it starts each watch, and a failed call ends it.
    Subscribe,
}

/// Rules of the protocol between proxies, discovery and backends. Times are in seconds.
#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
pub(super) struct RawRules {
    /// Longest time between two polls of the endpoint list.
    pub(super) ask_within: Option<f64>,
    /// Duration of the slow start.
    pub(super) cold: Option<f64>,
    /// Initial capacity in the slow start, as a fraction of the full one.
    pub(super) cold_share: Option<f64>,
    pub(super) drain_grace: Option<f64>,
    /// A backend that is warming up is overloaded at this multiple of its capacity, if it lasts.
    pub(super) fall_multiple: Option<f64>,
    /// How long that has to last.
    pub(super) tip_after: Option<f64>,
    /// Rest of an ordering key after an attempt that may still run.
    pub(super) settle_after_doubt: Option<f64>,
    /// Longest time until idle connections to a draining backend are closed.
    pub(super) release_within: Option<f64>,
}

#[derive(Deserialize, Default)]
#[serde(default)]
pub(super) struct RawStats {
    /// How load reports arrive; `on_probe` if with health checks only.
    pub(super) how: String,
}
