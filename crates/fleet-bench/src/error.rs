//! The error type of all commands.

use crate::fleet::checker::Rule;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitStatus;
use thiserror::Error;

/// The error of a command that returns no report. Each message is one line.
#[derive(Debug, Error)]
pub enum Error {
    /// A file cannot be read, written or run.
    #[error("{}: {error}", path.display())]
    File {
        /// Path of the file.
        path: PathBuf,
        /// The error of the system.
        error: std::io::Error,
    },
    /// An experiment file is not TOML or has an unknown key.
    #[error("{}: {message}", path.display())]
    Experiment {
        /// Path of the experiment file.
        path: PathBuf,
        /// Description of the error, with the number of the line.
        message: String,
    },
    /// The value of an argument is invalid.
    #[error("{name}: expected {expected}, got {got}")]
    Argument {
        /// Name of the argument.
        name: &'static str,
        /// The values that are accepted.
        expected: &'static str,
        /// The value that was given.
        got: String,
    },
    /// A number is out of range.
    #[error("{name}: expected {min} to {max}, got {got}")]
    Range {
        /// Name of the number.
        name: &'static str,
        /// Lowest accepted value.
        min: f64,
        /// Highest accepted value.
        max: f64,
        /// The value that was given.
        got: f64,
    },
    /// A simulated proxy violated a rule.
    #[error("broken rule: call {call} {rule}; seed {seed}, phase {phase}, machine {machine}, {at:.6} s")]
    Rule {
        /// Violated rule.
        rule: Rule,
        /// Number of the call at its proxy.
        call: u64,
        /// Seed of the run.
        seed: u64,
        /// Simulated phase.
        phase: String,
        /// Machine of the proxy.
        machine: usize,
        /// Time of the violation, in seconds of virtual time.
        at: f64,
    },
    /// The proxy's program does not exist.
    #[error("{}: no such program; build it, or give its path with --program", path.display())]
    ProgramMissing {
        /// Path at which the program was expected.
        path: PathBuf,
    },
    /// A started process has no entry in procfs.
    #[error("the started process {id} has no entry in procfs")]
    ProcessMissing {
        /// The process id.
        id: u32,
    },
    /// A proxy ended before it was ready.
    #[error("proxy {address} ended before it was ready: {status}; last log line: {last_log_line}")]
    ProxyEnded {
        /// The proxy's listen address.
        address: SocketAddr,
        /// Exit status of the process.
        status: ExitStatus,
        /// The last line of the proxy's log.
        last_log_line: String,
    },
    /// A proxy was not ready in time.
    #[error("proxy {address} was not ready in time; last log line: {last_log_line}")]
    ProxyNotReady {
        /// The proxy's listen address.
        address: SocketAddr,
        /// The last line of the proxy's log.
        last_log_line: String,
    },
    /// The response of a proxy to `stats` does not follow the protocol.
    #[error("proxy with management address {address} sent an invalid response to `stats`: {response}")]
    InvalidStats {
        /// The proxy's management address.
        address: SocketAddr,
        /// Response of the proxy.
        response: String,
    },
    /// A proxy did not poll discovery in time.
    #[error("a proxy did not poll discovery in time")]
    NoDiscoveryPoll,
    /// No request reached the stub backends.
    #[error("no request reached the stub backends")]
    NoBackendRequests,
    /// Proxies did not reach the expected state of their settings in time.
    #[error("{late} of {proxies} proxies not at {expected} within {timeout_s} s; {address}: {stats}")]
    RolloutTimeout {
        /// Number of late proxies.
        late: usize,
        /// Number of all proxies.
        proxies: usize,
        /// Expected state of the settings.
        expected: String,
        /// The timeout, in seconds.
        timeout_s: u64,
        /// The listen address of the first late proxy.
        address: SocketAddr,
        /// Response of that proxy to `stats`.
        stats: String,
    },
    /// The proxies rejected an unexpected number of settings files.
    #[error("settings rollout `{scenario}`: proxies rejected {rejected} files, expected {expected}")]
    RejectedFiles {
        /// Name of the scenario.
        scenario: String,
        /// Number of files that the proxies rejected.
        rejected: u64,
        /// Number of files that the proxies were expected to reject.
        expected: u64,
    },
    /// A thread of the measurement panicked.
    #[error("{0} panicked")]
    Panicked(&'static str),
    /// A value cannot be converted to or from JSON.
    #[error("{what}: {error}")]
    Json {
        /// Name of the value.
        what: &'static str,
        /// The error of the conversion.
        error: serde_json::Error,
    },
    /// Procfs cannot be read.
    #[error("cannot read procfs: {0}")]
    Procfs(#[from] procfs::ProcError),
    /// A histogram cannot be created.
    #[error("cannot create a histogram: {0}")]
    Histogram(#[from] hdrhistogram::CreationError),
    /// A run reached its limit of real time.
    #[error("stopped at the time limit of {limit_s} s")]
    TimeLimit {
        /// The limit, in seconds.
        limit_s: f64,
    },
    /// The memory of this process cannot be read from procfs.
    #[error("cannot read the memory of this process: {0}")]
    Memory(procfs::ProcError),
    /// Ctrl-C or SIGTERM arrived. All processes that the run started have been stopped.
    #[error("stopped by a signal without a report")]
    Interrupted,
    /// The system returned an error.
    #[error(transparent)]
    Io(#[from] std::io::Error),
}
