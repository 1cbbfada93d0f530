//! Reads and checks the plan of a command: the experiment file, and the arguments that override its values.

use crate::error::Error;
use serde::de::DeserializeOwned;
use std::fmt::Display;
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};

/// Maximum duration of a run, in seconds.
const MAX_RUN_SECONDS: f64 = 3_600.0;

/// Source of the plan of a command.
#[derive(clap::Args, Clone, Debug, Default)]
pub struct PlanSource {
    /// Experiment file (TOML) with the plan; other arguments override its values
    #[arg(long, value_name = "FILE")]
    pub experiment: Option<PathBuf>,
    /// Seed of all random draws
    #[arg(long)]
    pub seed: Option<u64>,
}

impl PlanSource {
    /// Reads the plan of a command from the experiment file, or returns the default plan without a file.
    ///
    /// # Errors
    ///
    /// Returns [`Error::File`] if the file cannot be read, and [`Error::Experiment`] if the file is not a
    /// plan of this command.
    pub fn read<P: DeserializeOwned + Default>(&self) -> Result<P, Error> {
        self.experiment.as_deref().map_or_else(|| Ok(P::default()), read_experiment)
    }
}

/// Reads an experiment file. An unknown key is an error, as the run would otherwise ignore a misspelt key and
/// measure something else.
fn read_experiment<P: DeserializeOwned>(path: &Path) -> Result<P, Error> {
    let text =
        std::fs::read_to_string(path).map_err(|error| Error::File { path: path.to_path_buf(), error })?;
    toml::from_str(&text).map_err(|error| {
        // The message of the TOML library has several lines.
        let line = error.span().map_or(0, |span| 1 + text[..span.start].matches('\n').count());
        let message = format!("line {line}: {}", error.message().replace('\n', " "));
        Error::Experiment { path: path.to_path_buf(), message }
    })
}

/// Arguments of the commands that start real proxies.
#[derive(clap::Args, Debug)]
pub struct ProxyRunArgs {
    /// The source of the plan
    #[command(flatten)]
    pub source: PlanSource,
    /// Run a small plan that takes less than half a minute
    #[arg(long, conflicts_with = "experiment")]
    pub quick: bool,
    /// Sizes of the endpoint list
    #[arg(long, value_delimiter = ',', value_name = "N,...")]
    pub listed: Option<Vec<usize>>,
    /// Program of the proxy [default: `balancer-proxy` in the directory of this program]
    #[arg(long, value_name = "FILE")]
    pub program: Option<PathBuf>,
}

impl ProxyRunArgs {
    /// Returns `quick` if the argument `--quick` is given, and otherwise the plan from [`PlanSource::read`].
    ///
    /// # Errors
    ///
    /// Returns the errors of [`PlanSource::read`].
    pub fn read<P: DeserializeOwned + Default>(&self, quick: P) -> Result<P, Error> {
        if self.quick { Ok(quick) } else { self.source.read() }
    }
}

/// Replaces a value of a plan by the value of an argument, if the argument was given.
pub fn override_with<T: Clone>(value: &mut T, argument: Option<&T>) {
    if let Some(argument) = argument {
        value.clone_from(argument);
    }
}

/// Checks that values of a plan are in range.
///
/// # Errors
///
/// Returns [`Error::Argument`] with the first value that is out of range.
pub fn check_range<T: PartialOrd + Display>(
    name: &'static str,
    expected: &'static str,
    range: &RangeInclusive<T>,
    values: impl IntoIterator<Item = T>,
) -> Result<(), Error> {
    match values.into_iter().find(|value| !range.contains(value)) {
        Some(value) => Err(Error::Argument { name, expected, got: value.to_string() }),
        None => Ok(()),
    }
}

/// Checks that a value of a plan is within its bounds.
///
/// # Errors
///
/// Returns [`Error::Range`] if the value is out of its bounds.
pub fn check_bounds(name: &'static str, bounds: &RangeInclusive<f64>, got: f64) -> Result<(), Error> {
    if bounds.contains(&got) {
        return Ok(());
    }
    Err(Error::Range { name, min: *bounds.start(), max: *bounds.end(), got })
}

/// Checks that a plan takes at most an hour.
///
/// # Errors
///
/// Returns [`Error::Argument`] if the plan takes longer.
pub fn check_run_time(seconds: f64) -> Result<(), Error> {
    if seconds > MAX_RUN_SECONDS {
        let got = format!("{seconds:.0} s");
        return Err(Error::Argument { name: "plan", expected: "at most an hour", got });
    }
    Ok(())
}
