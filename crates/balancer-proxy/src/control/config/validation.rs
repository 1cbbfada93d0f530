//! The checks that only a reload makes. Startup accepts more, as there are no earlier settings to
//! fall back to.

use super::error::ConfigError;
use super::raw::{RawCapabilities, RawClass, RawConfig, RawCosts, RawRules, RawSettings, RawTenant};
use balancer::Settings;
use std::collections::HashSet;
use std::fmt::Display;

/// Returns the value if it is finite and not negative.
pub(super) fn not_negative(field: impl Display, value: f64) -> Result<f64, ConfigError> {
    if value.is_finite() && value >= 0.0 {
        Ok(value)
    } else {
        Err(ConfigError::invalid_value(field, "a number not below 0", value))
    }
}

/// Checks a value that may be absent.
fn check_not_negative(field: impl Display, value: Option<f64>) -> Result<(), ConfigError> {
    value.map_or(Ok(()), |value| not_negative(field, value).map(drop))
}

/// Checks that no two of the names in `settings.{list}` are equal, as they identify their entries.
fn check_distinct<'a>(list: &str, names: impl Iterator<Item = &'a String>) -> Result<(), ConfigError> {
    let mut seen = HashSet::new();
    for (index, name) in names.enumerate() {
        if !seen.insert(name) {
            let field = format_args!("settings.{list}[{index}].name");
            return Err(ConfigError::invalid_value(field, "a name of its own", name));
        }
    }
    Ok(())
}

impl RawConfig {
    /// Checks a file that is read while requests are served. The first fault found is returned.
    pub(super) fn validate_for_reload(&self) -> Result<(), ConfigError> {
        self.settings.check_identity()?;
        check_not_negative("limits.memory_mb", self.limits.memory_mb)?;
        self.settings.check_ranges()
    }
}

impl RawSettings {
    fn check_identity(&self) -> Result<(), ConfigError> {
        if !self.version.is_null() && !self.version.is_u64() {
            return Err(ConfigError::invalid_value("settings.version", "a whole number", &self.version));
        }
        check_distinct("classes", self.classes.iter().map(|class| &class.name))?;
        check_distinct("projects", self.projects.iter().map(|tenant| &tenant.name))?;
        let instances = self.n_instances.unwrap_or(Settings::default().instance_count);
        if self.me >= instances {
            let expected = format_args!("less than n-instances, {instances}");
            return Err(ConfigError::invalid_value("settings.me", expected, self.me));
        }
        Ok(())
    }

    fn check_ranges(&self) -> Result<(), ConfigError> {
        check_not_negative("settings.over-share-worth", self.over_share_worth)?;
        check_not_negative("settings.quantum", self.quantum)?;
        self.caps.check_ranges()?;
        self.costs.check_ranges()?;
        self.rules.check_ranges()?;
        for (index, class) in self.classes.iter().enumerate() {
            class.check_ranges(index)?;
        }
        for (index, tenant) in self.projects.iter().enumerate() {
            tenant.check_ranges(index)?;
        }
        Ok(())
    }
}

impl RawCapabilities {
    /// The timeouts are checked where they are translated, at startup too.
    fn check_ranges(&self) -> Result<(), ConfigError> {
        check_not_negative("settings.caps.max-retry-after", Some(self.max_retry_after))
    }
}

impl RawCosts {
    fn check_ranges(&self) -> Result<(), ConfigError> {
        check_not_negative("settings.costs.connection", Some(self.connection))?;
        check_not_negative("settings.costs.cross-zone", Some(self.cross_zone))?;
        check_not_negative("settings.costs.handshake", Some(self.handshake))
    }
}

impl RawRules {
    /// The grace period is checked where it is translated, at startup too.
    fn check_ranges(&self) -> Result<(), ConfigError> {
        check_not_negative("settings.rules.ask-within", self.ask_within)?;
        check_not_negative("settings.rules.cold", self.cold)?;
        check_not_negative("settings.rules.cold-share", self.cold_share)?;
        check_not_negative("settings.rules.fall-multiple", self.fall_multiple)?;
        check_not_negative("settings.rules.tip-after", self.tip_after)?;
        check_not_negative("settings.rules.settle-after-doubt", self.settle_after_doubt)?;
        check_not_negative("settings.rules.release-within", self.release_within)
    }
}

impl RawClass {
    /// The latency objective and the deadline are checked where they are translated, at startup too.
    fn check_ranges(&self, index: usize) -> Result<(), ConfigError> {
        let check = |key: &str, value: Option<f64>| {
            check_not_negative(format_args!("settings.classes[{index}].{key}"), value)
        };
        check("late-worth", self.late_worth)?;
        check("worth", self.worth)?;
        check("window", self.window)
    }
}

impl RawTenant {
    fn check_ranges(&self, index: usize) -> Result<(), ConfigError> {
        check_not_negative(format_args!("settings.projects[{index}].quota-per-s"), self.quota_per_s)
    }
}
