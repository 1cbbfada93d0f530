//! Arguments and plan of `fleet-bench control`.

use crate::discovery::Availability;
use crate::error::Error;
use crate::plan::{ProxyRunArgs, check_range, check_run_time, override_with};
use crate::proxy::RegistryMode;
use crate::rollout;
use clap::ValueEnum;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Maximum time after a window in which proxies may acknowledge the changes of the window.
pub const ACKNOWLEDGEMENT_TIMEOUT: Duration = Duration::from_secs(2);
/// Duration of the observation of polls after an outage of discovery.
pub const RECOVERY_WINDOW: Duration = Duration::from_secs(6);
/// Delay of a slow response of discovery. A proxy stops waiting for discovery earlier.
const SLOW_RESPONSE_DELAY: Duration = Duration::from_secs(10);
/// Number of windows that are measured in addition to those of the plan's rates: one without changes, and
/// one at the rate of the fleet.
const BASELINE_WINDOWS: usize = 2;

/// Arguments of `fleet-bench control`.
#[derive(clap::Args, Debug)]
pub struct Args {
    /// Arguments that the commands with real proxies share
    #[command(flatten)]
    pub run: ProxyRunArgs,
    /// Numbers of proxies, each combined with each size of the list
    #[arg(long, value_delimiter = ',', value_name = "N,...")]
    pub proxies: Option<Vec<usize>>,
    /// Changes of the list per second, measured in addition to no changes and the rate of the fleet
    #[arg(long, value_delimiter = ',', value_name = "RATE,...")]
    pub rates: Option<Vec<f64>>,
    /// Duration of the measurement of each rate, in seconds
    #[arg(long, value_name = "SECONDS")]
    pub window: Option<f64>,
    /// Outages of discovery to simulate, one after another; without a value no outage is simulated
    #[arg(long, alias = "absences", value_delimiter = ',', value_name = "KIND,...", num_args = 0..)]
    pub outages: Option<Vec<Outage>>,
    /// Arguments of the settings rollouts
    #[command(flatten)]
    pub settings: rollout::RolloutArgs,
}

/// An outage of discovery: the kind of the failure, and the list that discovery sends afterwards.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize, ValueEnum)]
#[serde(rename_all = "kebab-case")]
pub enum Outage {
    /// Discovery refuses connections, and afterwards sends the changes
    Refusing,
    /// Discovery refuses connections, and afterwards sends the full list to all proxies
    #[serde(alias = "refusing-whole")]
    #[value(alias = "refusing-whole")]
    RefusingFullList,
    /// Discovery does not respond, and afterwards sends the changes
    Silent,
    /// Discovery does not respond, and afterwards sends the full list to all proxies
    #[serde(alias = "silent-whole")]
    #[value(alias = "silent-whole")]
    SilentFullList,
    /// Discovery responds later than any proxy waits, and afterwards sends the changes
    Slow,
    /// Discovery responds later than any proxy waits, and afterwards sends the full list to all proxies
    #[serde(alias = "slow-whole")]
    #[value(alias = "slow-whole")]
    SlowFullList,
}

impl Outage {
    /// Returns the availability of the server during the outage.
    #[must_use]
    pub fn availability(self) -> Availability {
        match self {
            Self::Refusing | Self::RefusingFullList => Availability::Refusing,
            Self::Silent | Self::SilentFullList => Availability::Silent,
            Self::Slow | Self::SlowFullList => Availability::Slow(SLOW_RESPONSE_DELAY),
        }
    }

    /// Returns whether the server discards its history, and sends the full list to all proxies after the
    /// outage.
    #[must_use]
    pub fn discards_history(self) -> bool {
        matches!(self, Self::RefusingFullList | Self::SilentFullList | Self::SlowFullList)
    }

    /// Returns the name of the outage on the command line and in reports.
    #[must_use]
    pub fn name(self) -> String {
        self.to_possible_value().map_or_else(String::new, |value| value.get_name().to_string())
    }
}

/// The plan of a run.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Plan {
    /// Seed of all random draws.
    pub seed: u64,
    /// Sizes of the endpoint list, 2 to 20,000 entries.
    pub listed: Vec<usize>,
    /// Numbers of proxies, 1 to 300, each combined with each size of the list.
    pub proxies: Vec<usize>,
    /// Changes of the list per second, 0.01 to 1,000, measured in addition to no changes and the rate of
    /// the fleet.
    pub rates: Vec<f64>,
    /// Duration of the measurement of each rate, 0.5 to 600 s.
    pub window: f64,
    /// Outages of discovery, one after another.
    #[serde(alias = "absences")]
    pub outages: Vec<Outage>,
    /// Duration of an outage, 0.5 to 600 s.
    #[serde(alias = "away")]
    pub outage_seconds: f64,
    /// Sizes of the list that are also measured in the registry mode `subscribe`, with the lowest number
    /// of proxies above 1.
    pub subscribe: Vec<usize>,
    /// Rollouts of settings to proxies that have the first of the lists.
    pub settings: rollout::Plan,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            seed: 1,
            listed: vec![17, 870, 5_500],
            proxies: vec![50],
            rates: vec![1.0, 10.0, 100.0],
            window: 2.5,
            outages: vec![Outage::RefusingFullList, Outage::Silent],
            outage_seconds: 3.0,
            subscribe: vec![870],
            settings: rollout::Plan::default(),
        }
    }
}

/// Size and registry mode of a group of proxies that have the same endpoint list.
#[derive(Clone, Copy, Debug)]
pub struct GroupSize {
    /// Number of entries in the list.
    pub listed: usize,
    /// Number of proxies that have the list.
    pub proxies: usize,
    /// Mode in which the proxies obtain the list.
    pub registry_mode: RegistryMode,
}

impl Plan {
    fn quick() -> Self {
        Self {
            listed: vec![17, 870],
            proxies: vec![5],
            rates: vec![10.0],
            window: 1.0,
            outages: vec![Outage::RefusingFullList],
            outage_seconds: 2.0,
            subscribe: Vec::new(),
            ..Self::default()
        }
    }

    /// Reads the plan from the experiment file or the defaults, and applies the arguments.
    ///
    /// # Errors
    ///
    /// Returns an error if the experiment file cannot be read or a value is out of range.
    pub fn read(args: &Args) -> Result<Self, Error> {
        let run = &args.run;
        let mut plan = run.read(Self::quick())?;
        override_with(&mut plan.seed, run.source.seed.as_ref());
        override_with(&mut plan.listed, run.listed.as_ref());
        override_with(&mut plan.proxies, args.proxies.as_ref());
        override_with(&mut plan.rates, args.rates.as_ref());
        override_with(&mut plan.window, args.window.as_ref());
        override_with(&mut plan.outages, args.outages.as_ref());
        plan.settings.override_with(&args.settings);
        plan.check()?;
        Ok(plan)
    }

    fn check(&self) -> Result<(), Error> {
        self.settings.check()?;
        let list_sizes = self.listed.iter().chain(&self.subscribe).copied();
        check_range("listed", "2 to 20,000", &(2..=20_000), list_sizes)?;
        if self.settings.is_enabled() && self.listed.is_empty() {
            let expected = "one at least, for changes of settings";
            return Err(Error::Argument { name: "listed", expected, got: "none".to_string() });
        }
        check_range("proxies", "1 to 300", &(1..=300), self.proxies.iter().copied())?;
        check_range("rates", "0.01 to 1,000 a second", &(0.01..=1_000.0), self.rates.iter().copied())?;
        check_range("window", "0.5 to 600 s", &(0.5..=600.0), [self.window])?;
        check_range("outage-seconds", "0.5 to 600 s", &(0.5..=600.0), [self.outage_seconds])?;
        check_run_time(self.groups().len() as f64 * self.max_seconds_per_group())
    }

    fn max_seconds_per_group(&self) -> f64 {
        let windows = (self.rates.len() + BASELINE_WINDOWS) as f64;
        let outages = self.outages.len() as f64;
        windows * (self.window + ACKNOWLEDGEMENT_TIMEOUT.as_secs_f64())
            + outages * (self.outage_seconds + RECOVERY_WINDOW.as_secs_f64())
    }

    /// Returns the groups of proxies that are measured, in the order of the run.
    #[must_use]
    pub fn groups(&self) -> Vec<GroupSize> {
        let mut groups = Vec::new();
        for &listed in &self.listed {
            for &proxies in &self.proxies {
                groups.push(GroupSize { listed, proxies, registry_mode: RegistryMode::Automatic });
            }
        }
        let proxies = self.proxies.iter().copied().filter(|proxies| *proxies > 1).min().unwrap_or(1);
        for &listed in &self.subscribe {
            groups.push(GroupSize { listed, proxies, registry_mode: RegistryMode::Subscribe });
        }
        groups
    }

    /// Returns the group of proxies whose settings change; `None` if the costs of lists are measured instead.
    #[must_use]
    pub fn rollout_group(&self) -> Option<GroupSize> {
        let listed = *self.listed.first().filter(|_| self.settings.is_enabled())?;
        let proxies = self.settings.proxies;
        Some(GroupSize { listed, proxies, registry_mode: RegistryMode::Automatic })
    }
}
