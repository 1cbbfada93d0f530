//! The module alone: what each of its events costs, against what grows with the size.

use crate::error::Error;
use crate::plan;
use crate::report::Report;
use serde::{Deserialize, Serialize};
use std::path::PathBuf;

/// Arguments of `fleetlab slopes`.
#[derive(clap::Args, Debug)]
pub struct Args {
    /// Experiment file (TOML): the plan; arguments given beside it go before it
    #[arg(long, value_name = "FILE")]
    pub experiment: Option<PathBuf>,
    /// Seed of all random draws
    #[arg(long)]
    pub seed: Option<u64>,
}

/// What is run.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Plan {
    /// Seed of all random draws.
    pub seed: u64,
}

impl Default for Plan {
    fn default() -> Self {
        Self { seed: 1 }
    }
}

/// Runs it.
pub fn run(args: &Args) -> Result<Report, Error> {
    let mut plan: Plan = plan::read(args.experiment.as_deref())?;
    plan.seed = args.seed.unwrap_or(plan.seed);
    Report::new("slopes", plan.seed, &plan)
}
