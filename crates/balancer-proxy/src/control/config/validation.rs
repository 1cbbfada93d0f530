//! The checks that only a reload makes. Startup accepts more values, as a proxy that starts has no earlier
//! settings to fall back on.

use super::error::ConfigError;
use super::raw::RawConfig;
use balancer_settings::{
    RawClass, RawCosts, RawRules, RawSettings, VALID_QUANTITY, defaults, is_valid_quantity,
};
use std::collections::HashSet;
use std::fmt::Display;

/// Checks that a quantity is valid or absent.
fn check_not_negative(field: impl Display, value: Option<f64>) -> Result<(), ConfigError> {
    match value {
        Some(value) if !is_valid_quantity(value) => {
            Err(ConfigError::invalid_value(field, VALID_QUANTITY, value))
        }
        _ => Ok(()),
    }
}

/// Checks that the names in `settings.{list}` are distinct, as requests refer to an entry by its name.
fn check_distinct<'a>(list: &str, names: impl Iterator<Item = &'a String>) -> Result<(), ConfigError> {
    let mut seen = HashSet::new();
    for (index, name) in names.enumerate() {
        if !seen.insert(name) {
            let field = format_args!("settings.{list}[{index}].name");
            return Err(ConfigError::invalid_value(field, "a unique name", name));
        }
    }
    Ok(())
}

impl RawConfig {
    /// Checks a file that a reload has read.
    ///
    /// # Errors
    ///
    /// Returns [`ConfigError::InvalidValue`] with the first invalid value.
    pub(super) fn validate_for_reload(&self) -> Result<(), ConfigError> {
        check_identity(&self.settings)?;
        check_not_negative("limits.memory_mb", self.limits.memory_mb)?;
        check_ranges(&self.settings)
    }
}

/// Checks the version, the names of classes and tenants, and the index of this proxy.
fn check_identity(settings: &RawSettings) -> Result<(), ConfigError> {
    if !settings.version.is_null() && !settings.version.is_u64() {
        return Err(ConfigError::invalid_value("settings.version", "a whole number", &settings.version));
    }
    check_distinct("classes", settings.classes.iter().map(|class| &class.name))?;
    check_distinct("projects", settings.projects.iter().map(|tenant| &tenant.name))?;
    let instances = settings.n_instances.unwrap_or(defaults::INSTANCE_COUNT);
    if settings.me >= instances {
        let expected = format_args!("less than n-instances, {instances}");
        return Err(ConfigError::invalid_value("settings.me", expected, settings.me));
    }
    Ok(())
}

/// Checks the quantities that startup accepts unchecked. The timeouts, the grace period, the latency
/// objectives and the deadlines are checked where they are translated, at startup too.
fn check_ranges(settings: &RawSettings) -> Result<(), ConfigError> {
    check_not_negative("settings.over-share-worth", settings.over_share_worth)?;
    check_not_negative("settings.quantum", settings.quantum)?;
    check_not_negative("settings.caps.max-retry-after", Some(settings.caps.max_retry_after))?;
    check_costs(&settings.costs)?;
    check_rules(&settings.rules)?;
    for (index, class) in settings.classes.iter().enumerate() {
        check_class(index, class)?;
    }
    for (index, tenant) in settings.projects.iter().enumerate() {
        check_not_negative(format_args!("settings.projects[{index}].quota-per-s"), tenant.quota_per_s)?;
    }
    Ok(())
}

/// Checks the quantities of `settings.costs`.
fn check_costs(costs: &RawCosts) -> Result<(), ConfigError> {
    check_not_negative("settings.costs.connection", Some(costs.connection))?;
    check_not_negative("settings.costs.cross-zone", Some(costs.cross_zone))?;
    check_not_negative("settings.costs.handshake", Some(costs.handshake))
}

/// Checks the quantities of `settings.rules`, except for the grace period.
fn check_rules(rules: &RawRules) -> Result<(), ConfigError> {
    check_not_negative("settings.rules.ask-within", rules.ask_within)?;
    check_not_negative("settings.rules.cold", rules.cold)?;
    check_not_negative("settings.rules.cold-share", rules.cold_share)?;
    check_not_negative("settings.rules.fall-multiple", rules.fall_multiple)?;
    check_not_negative("settings.rules.tip-after", rules.tip_after)?;
    check_not_negative("settings.rules.settle-after-doubt", rules.settle_after_doubt)?;
    check_not_negative("settings.rules.release-within", rules.release_within)
}

/// Checks the quantities of the class at an index.
fn check_class(index: usize, class: &RawClass) -> Result<(), ConfigError> {
    let check = |key: &str, value: Option<f64>| {
        check_not_negative(format_args!("settings.classes[{index}].{key}"), value)
    };
    check("late-worth", class.late_worth)?;
    check("worth", class.worth)?;
    check("window", class.window)
}
