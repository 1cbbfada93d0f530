//! The translation of [`RawSettings`] into [`Settings`].

use crate::defaults;
use crate::raw::{RawClass, RawEffect, RawGroup, RawRegistryMode, RawSettings, RawTenant};
use balancer::{Effect, IdempotencyGroup, RequestClass, Settings, Tenant, Tier, ZoneId};
use std::fmt::Display;
use thiserror::Error;

/// Description of a valid quantity in error messages.
pub const VALID_QUANTITY: &str = "a number not below 0";

/// A quantity that is negative or not finite.
#[derive(Clone, Debug, PartialEq, Error)]
#[error("{path}: expected {VALID_QUANTITY}, got '{value}'")]
pub struct InvalidQuantity {
    /// Path of the quantity below the settings, such as `classes[0].on-time`.
    pub path: String,
    /// The value found.
    pub value: f64,
}

/// Returns whether a time, a weight or a rate is finite and not negative.
#[must_use]
pub fn is_valid_quantity(value: f64) -> bool {
    value.is_finite() && value >= 0.0
}

/// Returns `value` if it is valid, or an error that states `path`.
fn validate_quantity(path: impl Display, value: f64) -> Result<f64, InvalidQuantity> {
    if is_valid_quantity(value) { Ok(value) } else { Err(InvalidQuantity { path: path.to_string(), value }) }
}

impl RawSettings {
    /// Translates the settings of a balancer in `zone`. The caller must use the same zone ids in endpoint
    /// lists. Absent settings have the values of [`defaults`].
    ///
    /// # Errors
    ///
    /// Returns [`InvalidQuantity`] if a latency objective, a deadline or the window of an idempotent class
    /// is negative or not finite. Other quantities are not checked, because the proxy accepts any value of
    /// them at startup.
    pub fn into_settings(self, zone: ZoneId) -> Result<Settings, InvalidQuantity> {
        let Self { caps, costs, rules, .. } = self;
        let classes = self.classes.into_iter().enumerate();
        Ok(Settings {
            classes: classes.map(|(index, class)| class.into_class(index)).collect::<Result<_, _>>()?,
            tenants: self.projects.into_iter().map(Tenant::from).collect(),
            over_quota_weight: self.over_share_worth.unwrap_or(defaults::OVER_QUOTA_WEIGHT),
            instance_count: self.n_instances.unwrap_or(defaults::INSTANCE_COUNT),
            instance_index: self.me,
            tier: Tier(self.tier),
            zone,
            cross_zone_cost: costs.cross_zone,
            connections_have_cost: costs.connection + costs.handshake > 0.0,
            health_checks_for_load_reports: self.stats.reports_on_health_checks_only() && caps.probing,
            cancellation_allowed: caps.cancel,
            hedging_allowed: caps.second_copies,
            max_attempts: caps.max_attempts.unwrap_or(defaults::MAX_ATTEMPTS),
            max_retry_after: if caps.retry_after { caps.max_retry_after } else { 0.0 },
            must_poll_endpoints: self.registry_mode == RawRegistryMode::Subscribe,
            endpoint_poll_limit: rules.ask_within.unwrap_or(defaults::ENDPOINT_POLL_LIMIT),
            slow_start_initial_capacity: rules.cold_share.unwrap_or(defaults::SLOW_START_INITIAL_CAPACITY),
            slow_start_duration: rules.cold.unwrap_or(defaults::SLOW_START_DURATION),
            slow_start_overload_multiple: rules
                .fall_multiple
                .unwrap_or(defaults::SLOW_START_OVERLOAD_MULTIPLE),
            slow_start_overload_window: rules.tip_after.unwrap_or(defaults::SLOW_START_OVERLOAD_WINDOW),
            key_block_duration: rules.settle_after_doubt.unwrap_or(defaults::KEY_BLOCK_DURATION),
            idle_close_limit: rules.release_within,
            clock_resolution: self.quantum.unwrap_or(defaults::CLOCK_RESOLUTION),
        })
    }
}

impl From<RawTenant> for Tenant {
    fn from(raw: RawTenant) -> Self {
        Self { name: raw.name, quota_per_second: raw.quota_per_s.unwrap_or(defaults::QUOTA_PER_SECOND) }
    }
}

impl RawClass {
    /// Translates the class at `index` in the list of classes.
    fn into_class(self, index: usize) -> Result<RequestClass, InvalidQuantity> {
        let seconds =
            |key: &str, value: f64| validate_quantity(format_args!("classes[{index}].{key}"), value);
        // If a class has only a latency objective or only a deadline, its value is used for both.
        let max_timeout = self.hard_limit.or(self.on_time).unwrap_or(defaults::MAX_TIMEOUT);
        Ok(RequestClass {
            latency_objective: seconds("on-time", self.on_time.unwrap_or(max_timeout))?,
            max_timeout: seconds("hard-limit", max_timeout)?,
            late_priority_weight: self.late_worth.unwrap_or(defaults::LATE_PRIORITY_WEIGHT),
            priority_weight: self.worth.unwrap_or(defaults::PRIORITY_WEIGHT),
            effect: match self.effect {
                RawEffect::Free => Effect::Safe,
                RawEffect::SingleShot => Effect::Unsafe,
                RawEffect::Guarded => Effect::Idempotent {
                    group: self.group.into(),
                    window: seconds("window", self.window.unwrap_or(defaults::IDEMPOTENCY_WINDOW))?,
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
