//! Why a command fails.

use crate::fleet::checker::Rule;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitStatus;
use thiserror::Error;

/// Why there is no report. Each message is one line.
#[derive(Debug, Error)]
pub enum Error {
    /// A file cannot be read, written or run.
    #[error("{}: {error}", path.display())]
    File {
        /// Its path.
        path: PathBuf,
        /// The error of the system.
        error: std::io::Error,
    },
    /// An experiment file is not TOML or has an unknown key.
    #[error("{}: {message}", path.display())]
    Experiment {
        /// Its path.
        path: PathBuf,
        /// What is wrong, with the line.
        message: String,
    },
    /// An argument is invalid.
    #[error("{name}: expected {expected}, got {got}")]
    Argument {
        /// Its name.
        name: &'static str,
        /// The values that are accepted.
        expected: &'static str,
        /// The value that was given.
        got: String,
    },
    /// A number is out of range.
    #[error("{name}: expected {least} to {most}, got {got}")]
    Range {
        /// Its name.
        name: &'static str,
        /// The lowest value that is accepted.
        least: f64,
        /// The highest value that is accepted.
        most: f64,
        /// The value that was given.
        got: f64,
    },
    /// A rule of the proxy was broken in a simulated fleet.
    #[error("broken rule: call {call} {rule}; seed {seed}, phase {phase}, machine {machine}, {at:.6} s")]
    Rule {
        /// The rule.
        rule: Rule,
        /// The number of the call at its proxy.
        call: u64,
        /// The seed of the run.
        seed: u64,
        /// The phase that was simulated.
        phase: String,
        /// The machine of the proxy.
        machine: usize,
        /// When, in seconds of virtual time.
        at: f64,
    },
    /// The proxy's program does not exist.
    #[error("{}: no such program (build it, or name it by --proxy)", path.display())]
    ProgramMissing {
        /// Where it was expected.
        path: PathBuf,
    },
    /// A started process does not appear in procfs.
    #[error("process {id}: not in procfs")]
    ProcessMissing {
        /// The process id.
        id: u32,
    },
    /// A proxy ended before it was ready.
    #[error("{address}: ended: {status}: {last_log_line}")]
    ProxyEnded {
        /// The proxy's listen address.
        address: SocketAddr,
        /// Its exit status.
        status: ExitStatus,
        /// The last line that it logged.
        last_log_line: String,
    },
    /// A proxy was not ready in time.
    #[error("{address}: not ready: {last_log_line}")]
    ProxyNotReady {
        /// The proxy's listen address.
        address: SocketAddr,
        /// The last line that it logged.
        last_log_line: String,
    },
    /// A proxy's response to `stats` is not what the protocol says.
    #[error("{address}: invalid stats: {response}")]
    InvalidStats {
        /// The proxy's management address.
        address: SocketAddr,
        /// The response.
        response: String,
    },
    /// A proxy has not polled discovery in time.
    #[error("a proxy has not polled discovery")]
    NoDiscoveryPoll,
    /// No request has reached the stub backends.
    #[error("no request has reached the backends")]
    NoBackendRequests,
    /// Proxies did not reach the expected state of their settings in time.
    #[error("{late} of {proxies} proxies not at {expected} within {timeout_s} s; {address}: {stats}")]
    RolloutTimeout {
        /// How many did not.
        late: usize,
        /// How many proxies there are.
        proxies: usize,
        /// The expected state.
        expected: String,
        /// The timeout, in seconds.
        timeout_s: u64,
        /// The listen address of the first late proxy.
        address: SocketAddr,
        /// What the `stats` of that proxy say.
        stats: String,
    },
    /// The proxies rejected another number of settings files than they should.
    #[error("settings, {scenario}: {rejected} files were rejected, not {expected}")]
    RejectedFiles {
        /// The scenario.
        scenario: String,
        /// How many files the proxies rejected.
        rejected: u64,
        /// How many they should have rejected.
        expected: u64,
    },
    /// A thread of the measurement panicked.
    #[error("{0} has panicked")]
    Panicked(&'static str),
    /// A value cannot be converted to or from JSON.
    #[error("{what}: {error}")]
    Json {
        /// What the value is.
        what: &'static str,
        /// The error of the conversion.
        error: serde_json::Error,
    },
    /// Procfs cannot be read.
    #[error("procfs: {0}")]
    Procfs(#[from] procfs::ProcError),
    /// A histogram cannot be created.
    #[error("histogram: {0}")]
    Histogram(#[from] hdrhistogram::CreationError),
    /// Any other failure of the measurement.
    #[error("{0}")]
    Failed(String),
    /// Ctrl-C or SIGTERM arrived. All that was started has been stopped.
    #[error("ended by a signal: no report")]
    Interrupted,
    /// The system returned an error.
    #[error(transparent)]
    Io(#[from] std::io::Error),
}
