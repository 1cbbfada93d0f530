//! Why a command can't be run or did not end.

use crate::fleet::checker::Rule;
use std::path::PathBuf;
use thiserror::Error;

/// Why there is no report. Each is told in one line.
#[derive(Debug, Error)]
pub enum Error {
    /// A file that can't be read or written.
    #[error("{}: {error}", path.display())]
    File {
        /// Which.
        path: PathBuf,
        /// What the system said.
        error: std::io::Error,
    },
    /// An experiment file that is no TOML, or names what is not known.
    #[error("{}: {message}", path.display())]
    Experiment {
        /// Which.
        path: PathBuf,
        /// What is wrong, and where.
        message: String,
    },
    /// An argument that makes no sense.
    #[error("{name}: expected {expected}, got {got}")]
    Argument {
        /// Which.
        name: &'static str,
        /// What it should have been.
        expected: &'static str,
        /// What it was.
        got: String,
    },
    /// A number beyond its bounds.
    #[error("{name}: expected {least} to {most}, got {got}")]
    Range {
        /// Which.
        name: &'static str,
        /// The least that is taken.
        least: f64,
        /// The most.
        most: f64,
        /// What it was.
        got: f64,
    },
    /// A rule of the program that was broken in a hollow fleet.
    #[error("broken rule: call {call} {rule}; seed {seed}, phase {phase}, machine {machine}, {at:.6} s")]
    Rule {
        /// Which.
        rule: Rule,
        /// The call, by its number at its proxy.
        call: u64,
        /// The seed of the run.
        seed: u64,
        /// What was played.
        phase: String,
        /// The machine of the proxy.
        machine: usize,
        /// When, in seconds of virtual time.
        at: f64,
    },
    /// What the measurement needs is not there or does not work.
    #[error("{0}")]
    Failed(String),
    /// Ctrl-C or SIGTERM; what was started has been stopped.
    #[error("ended by a signal: no report")]
    Interrupted,
    /// The system refused something.
    #[error(transparent)]
    Io(#[from] std::io::Error),
}
