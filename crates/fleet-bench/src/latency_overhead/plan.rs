//! Arguments and plan of `fleet-bench added`.

use super::load::WARM_UP_SECONDS;
use crate::error::Error;
use crate::plan::{ProxyRunArgs, check_range, check_run_time, override_with};
use serde::{Deserialize, Serialize};

/// Duration of a measurement in addition to its load, in seconds.
const MEASUREMENT_OVERHEAD_SECONDS: f64 = 1.0;

/// Arguments of `fleet-bench added`.
#[derive(clap::Args, Debug)]
pub struct Args {
    /// Arguments that the commands with real proxies share
    #[command(flatten)]
    pub run: ProxyRunArgs,
    /// Calls per second through the proxy; as many calls are made directly
    #[arg(long, value_delimiter = ',', value_name = "RATE,...")]
    pub rates: Option<Vec<f64>>,
    /// Changes of the endpoint list per second
    #[arg(long, value_delimiter = ',', value_name = "RATE,...")]
    pub changes: Option<Vec<f64>>,
    /// Duration of the measurement of each rate, in seconds
    #[arg(long, value_name = "SECONDS")]
    pub seconds: Option<f64>,
}

/// The plan of a run.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Plan {
    /// Seed of all random draws.
    pub seed: u64,
    /// Sizes of the endpoint list, 1 to 20,000 entries.
    pub listed: Vec<usize>,
    /// Calls per second through the proxy, 1 to 10,000; as many calls are made directly.
    pub rates: Vec<f64>,
    /// Changes of the endpoint list per second, 0 to 1,000.
    pub changes: Vec<f64>,
    /// Duration of the measurement of each rate, 0.5 to 600 s.
    pub seconds: f64,
}

impl Default for Plan {
    fn default() -> Self {
        // In the operators' fleet 5,500 proxies send 620,000 calls per second, which are 113 per proxy. The
        // second rate is ten times that.
        Self {
            seed: 1,
            listed: vec![17, 870, 5_500],
            rates: vec![113.0, 1_130.0],
            changes: vec![0.0],
            seconds: 15.0,
        }
    }
}

/// The load of one measurement.
#[derive(Clone, Copy, Debug)]
pub struct LoadPlan {
    /// Calls per second through the proxy; as many calls are made directly.
    pub rate: f64,
    /// Changes of the endpoint list per second.
    pub changes: f64,
    /// Duration of the measurement after the warm-up, in seconds.
    pub seconds: f64,
}

impl Plan {
    fn quick() -> Self {
        Self { listed: vec![870], seconds: 5.0, ..Self::default() }
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
        override_with(&mut plan.rates, args.rates.as_ref());
        override_with(&mut plan.changes, args.changes.as_ref());
        override_with(&mut plan.seconds, args.seconds.as_ref());
        plan.check()?;
        Ok(plan)
    }

    fn check(&self) -> Result<(), Error> {
        check_range("listed", "1 to 20,000", &(1..=20_000), self.listed.iter().copied())?;
        check_range("rates", "1 to 10,000 a second", &(1.0..=10_000.0), self.rates.iter().copied())?;
        check_range("changes", "0 to 1,000 a second", &(0.0..=1_000.0), self.changes.iter().copied())?;
        check_range("seconds", "0.5 to 600 s", &(0.5..=600.0), [self.seconds])?;
        let measurements = self.listed.len() * self.rates.len() * self.changes.len();
        check_run_time(measurements as f64 * (self.seconds + WARM_UP_SECONDS + MEASUREMENT_OVERHEAD_SECONDS))
    }

    /// Returns the loads that are measured with each list size, in the order of the run.
    #[must_use]
    pub fn loads(&self) -> Vec<LoadPlan> {
        let mut loads = Vec::new();
        for &rate in &self.rates {
            for &changes in &self.changes {
                loads.push(LoadPlan { rate, changes, seconds: self.seconds });
            }
        }
        loads
    }
}
