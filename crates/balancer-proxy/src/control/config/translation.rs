//! Translates the file's terms into those of the proxy and the decision module, with the defaults
//! of what is absent.

use super::error::ConfigError;
use super::raw::{
    RawClass, RawEffect, RawGroup, RawLimits, RawRegistryMode, RawSettings, RawStats, RawTenant,
};
use super::validation::not_negative;
use crate::control::endpoint_list::zone_index;
use crate::limits::ProcessLimits;
use crate::settings::{ProxySettings, SettingsSnapshot};
use balancer::{Effect, IdempotencyGroup, RequestClass, Settings, Tenant};
use std::time::Duration;

/// Memory of the process, in mebibytes.
const DEFAULT_MEMORY_MB: f64 = 192.0;
/// File descriptors of the process.
const DEFAULT_DESCRIPTORS: usize = 1024;
/// A second is long for a backend that is near.
const DEFAULT_CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Shorter than the time after which most backends close an idle connection, so that one is given up first.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// The grace period in the example of the protocol.
const DEFAULT_DRAIN_GRACE_PERIOD: Duration = Duration::from_secs(1);
/// Seed of the decision module, as it is written in the file.
const DEFAULT_SEED: &str = "0";

const BYTES_PER_MEBIBYTE: f64 = 1_048_576.0;

/// Parses the seed of the decision module's random numbers.
pub(super) fn parse_seed(text: Option<&str>) -> Result<u64, ConfigError> {
    let text = text.unwrap_or(DEFAULT_SEED);
    u64::from_str_radix(text, 16).map_err(|_| ConfigError::invalid_value("seed", "hex digits", text))
}

/// A duration given in seconds, or its default.
fn duration(field: &str, seconds: Option<f64>, default: Duration) -> Result<Duration, ConfigError> {
    let Some(seconds) = seconds else {
        return Ok(default);
    };
    Duration::try_from_secs_f64(seconds)
        .map_err(|_| ConfigError::invalid_value(field, "seconds, not below 0", seconds))
}

impl RawLimits {
    pub(super) fn into_process_limits(self) -> ProcessLimits {
        let memory_bytes = self.memory_mb.unwrap_or(DEFAULT_MEMORY_MB) * BYTES_PER_MEBIBYTE;
        ProcessLimits {
            file_descriptors: self.sockets.unwrap_or(DEFAULT_DESCRIPTORS),
            memory_bytes: memory_bytes as usize,
        }
    }
}

impl RawSettings {
    pub(super) fn into_snapshot(mut self) -> Result<SettingsSnapshot, ConfigError> {
        let zone = zone_index(&mut self.zones, &self.zone);
        let proxy = self.proxy_settings()?;
        let settings = self.module_settings(zone)?;
        Ok(SettingsSnapshot { balancer: settings, proxy })
    }

    fn proxy_settings(&self) -> Result<ProxySettings, ConfigError> {
        Ok(ProxySettings {
            version: self.version.as_u64(),
            classes: self.classes.iter().map(|class| class.name.clone()).collect(),
            tenants: self.projects.iter().map(|tenant| tenant.name.clone()).collect(),
            zones: self.zones.clone(),
            zone: self.zone.clone(),
            connect_timeout: duration(
                "settings.caps.connect-timeout",
                self.caps.connect_timeout,
                DEFAULT_CONNECT_TIMEOUT,
            )?,
            idle_timeout: duration("settings.caps.idle-close", self.caps.idle_close, DEFAULT_IDLE_TIMEOUT)?,
            drain_grace_period: duration(
                "settings.rules.drain-grace",
                self.rules.drain_grace,
                DEFAULT_DRAIN_GRACE_PERIOD,
            )?,
            max_open_requests: self.caps.max_open.unwrap_or(usize::MAX),
        })
    }

    /// The settings of the decision module, for a proxy in the zone of this index.
    fn module_settings(self, zone: u32) -> Result<Settings, ConfigError> {
        let default = Settings::default();
        let Self { caps, costs, rules, .. } = self;
        let classes = self.classes.into_iter().enumerate();
        Ok(Settings {
            classes: classes.map(|(index, class)| class.into_class(index)).collect::<Result<_, _>>()?,
            tenants: self.projects.into_iter().map(Tenant::from).collect(),
            over_quota_weight: self.over_share_worth.unwrap_or(default.over_quota_weight),
            instance_count: self.n_instances.unwrap_or(default.instance_count),
            instance_index: self.me,
            tier: self.tier,
            zone,
            cross_zone_cost: costs.cross_zone,
            connections_have_cost: costs.connection + costs.handshake > 0.0,
            health_checks_for_load_reports: self.stats.reports_on_health_checks_only() && caps.probing,
            cancellation_allowed: caps.cancel,
            hedging_allowed: caps.second_copies,
            max_attempts: caps.max_attempts.unwrap_or(default.max_attempts),
            max_retry_after: if caps.retry_after { caps.max_retry_after } else { 0.0 },
            must_poll_endpoints: self.registry_mode == RawRegistryMode::Subscribe,
            endpoint_poll_limit: rules.ask_within.unwrap_or(default.endpoint_poll_limit),
            slow_start_initial_capacity: rules.cold_share.unwrap_or(default.slow_start_initial_capacity),
            slow_start_duration: rules.cold.unwrap_or(default.slow_start_duration),
            slow_start_overload_multiple: rules.fall_multiple.unwrap_or(default.slow_start_overload_multiple),
            slow_start_overload_window: rules.tip_after.unwrap_or(default.slow_start_overload_window),
            key_rest_duration: rules.settle_after_doubt.unwrap_or(default.key_rest_duration),
            idle_close_limit: rules.release_within,
            quantum: self.quantum.unwrap_or(default.quantum),
        })
    }
}

impl RawStats {
    fn reports_on_health_checks_only(&self) -> bool {
        self.how == "on_probe"
    }
}

impl From<RawTenant> for Tenant {
    fn from(raw: RawTenant) -> Self {
        Self { name: raw.name, quota_per_second: raw.quota_per_s.unwrap_or(f64::MAX) }
    }
}

impl RawClass {
    /// The class at `index` of the file's list.
    fn into_class(self, index: usize) -> Result<RequestClass, ConfigError> {
        let seconds =
            |key: &str, value: f64| not_negative(format_args!("settings.classes[{index}].{key}"), value);
        let default = RequestClass::default();
        // If only one of latency objective and maximum timeout is given, it is both.
        let max_timeout = self.hard_limit.or(self.on_time).unwrap_or(default.max_timeout);
        Ok(RequestClass {
            latency_objective: seconds("on-time", self.on_time.unwrap_or(max_timeout))?,
            max_timeout: seconds("hard-limit", max_timeout)?,
            late_priority_weight: self.late_worth.unwrap_or(default.late_priority_weight),
            priority_weight: self.worth.unwrap_or(default.priority_weight),
            effect: match self.effect {
                RawEffect::Free => Effect::Safe,
                RawEffect::SingleShot => Effect::Unsafe,
                RawEffect::Guarded => Effect::Idempotent {
                    group: self.group.into(),
                    window: seconds("window", self.window.unwrap_or(0.0))?,
                },
            },
            ordered_by_key: self.fifo_by_key,
            name: self.name,
        })
    }
}

impl From<RawGroup> for IdempotencyGroup {
    fn from(raw: RawGroup) -> Self {
        match raw {
            RawGroup::All => Self::All,
            RawGroup::Zone => Self::Zone,
            RawGroup::Cell => Self::Cell,
        }
    }
}
