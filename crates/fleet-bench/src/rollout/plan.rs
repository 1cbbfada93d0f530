//! Arguments and plan of settings rollouts.

use crate::error::Error;
use crate::plan::{check_bounds, override_with};
use serde::{Deserialize, Serialize};

/// Arguments of settings rollouts.
#[derive(clap::Args, Debug)]
pub struct RolloutArgs {
    /// Number of settings changes; if above 0, settings rollouts are measured instead of endpoint lists
    #[arg(long, value_name = "N")]
    pub settings_changes: Option<usize>,
    /// Number of proxies whose settings change
    #[arg(long, value_name = "N")]
    pub settings_proxies: Option<usize>,
    /// Settings changes per second
    #[arg(long, alias = "settings-pace", value_name = "RATE")]
    pub settings_rate: Option<f64>,
}

/// The plan of the settings rollouts.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Plan {
    /// Number of settings changes, 0 to 1,000; with 0 there are no rollouts.
    pub changes: usize,
    /// Number of proxies, 1 to 200.
    pub proxies: usize,
    /// Settings changes per second, 0.1 to 100.
    #[serde(rename = "rate", alias = "pace")]
    pub changes_per_second: f64,
}

impl Default for Plan {
    fn default() -> Self {
        // The rate is far above that of the fleet: 13,000 configuration changes a day are 0.15 per second.
        Self { changes: 0, proxies: 50, changes_per_second: 2.0 }
    }
}

impl Plan {
    /// Returns whether rollouts are run.
    #[must_use]
    pub fn is_enabled(&self) -> bool {
        self.changes > 0
    }

    /// Replaces values of the plan by the arguments that were given.
    pub fn override_with(&mut self, args: &RolloutArgs) {
        override_with(&mut self.changes, args.settings_changes.as_ref());
        override_with(&mut self.proxies, args.settings_proxies.as_ref());
        override_with(&mut self.changes_per_second, args.settings_rate.as_ref());
    }

    /// Checks that all values are in range.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Range`] with the first value that is out of range.
    pub fn check(&self) -> Result<(), Error> {
        let changes = self.changes as f64;
        check_bounds("settings-changes", &(0.0..=1_000.0), changes)?;
        check_bounds("settings-proxies", &(1.0..=200.0), self.proxies as f64)?;
        check_bounds("settings-rate", &(0.1..=100.0), self.changes_per_second)?;
        // All scenarios together take about three times as long, and must take less than an hour.
        check_bounds(
            "settings-changes / settings-rate, s",
            &(0.0..=1_000.0),
            changes / self.changes_per_second,
        )
    }
}
