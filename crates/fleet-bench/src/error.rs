//! Errors of all commands.

use crate::fleet::checker::Rule;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitStatus;
use thiserror::Error;

/// The error of a command without a report. Each message is one line.
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
    /// A rule of the proxy was broken in a simulated fleet.
    #[error("broken rule: call {call} {rule}; seed {seed}, phase {phase}, machine {machine}, {at:.6} s")]
    Rule {
        /// The violated rule.
        rule: Rule,
        /// Number of the call at its proxy.
        call: u64,
        /// The seed of the run.
        seed: u64,
        /// The phase that was simulated.
        phase: String,
        /// The machine of the proxy.
        machine: usize,
        /// Time of the violation, in seconds of virtual time.
        at: f64,
    },
    /// The proxy's program does not exist.
    #[error("{}: no such program (build it, or name it by --program)", path.display())]
    ProgramMissing {
        /// Path at which the program was expected.
        path: PathBuf,
    },
    /// A started process does not appear in procfs.
    #[error("process {id}: not in procfs")]
    ProcessMissing {
        /// The process id.
        id: u32,
    },
    /// A proxy ended before its readiness.
    #[error("{address}: ended: {status}: {last_log_line}")]
    ProxyEnded {
        /// The proxy's listen address.
        address: SocketAddr,
        /// Exit status of the process.
        status: ExitStatus,
        /// Last line of the proxy's log.
        last_log_line: String,
    },
    /// A proxy was not ready in time.
    #[error("{address}: not ready: {last_log_line}")]
    ProxyNotReady {
        /// The proxy's listen address.
        address: SocketAddr,
        /// Last line of the proxy's log.
        last_log_line: String,
    },
    /// The response of a proxy to `stats` does not follow the protocol.
    #[error("{address}: invalid stats: {response}")]
    InvalidStats {
        /// The proxy's management address.
        address: SocketAddr,
        /// Response of the proxy.
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
        /// Number of late proxies.
        late: usize,
        /// Number of all proxies.
        proxies: usize,
        /// Description of the expected state.
        expected: String,
        /// The timeout, in seconds.
        timeout_s: u64,
        /// The listen address of the first late proxy.
        address: SocketAddr,
        /// Response of that proxy to `stats`.
        stats: String,
    },
    /// The proxies rejected an unexpected number of settings files.
    #[error("settings, {scenario}: {rejected} files were rejected, not {expected}")]
    RejectedFiles {
        /// Name of the scenario.
        scenario: String,
        /// Number of files that the proxies rejected.
        rejected: u64,
        /// Number of files that the proxies were expected to reject.
        expected: u64,
    },
    /// A thread of the measurement panicked.
    #[error("{0} has panicked")]
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
    #[error("procfs: {0}")]
    Procfs(#[from] procfs::ProcError),
    /// A histogram cannot be created.
    #[error("histogram: {0}")]
    Histogram(#[from] hdrhistogram::CreationError),
    /// The real time limit of a run was reached.
    #[error("given up after {limit_s} s")]
    TimeLimit {
        /// The limit, in seconds.
        limit_s: f64,
    },
    /// The system does not report the memory of this process.
    #[error("memory of this process: {0}")]
    Memory(procfs::ProcError),
    /// Ctrl-C or SIGTERM arrived. All that was started has been stopped.
    #[error("ended by a signal: no report")]
    Interrupted,
    /// The system returned an error.
    #[error(transparent)]
    Io(#[from] std::io::Error),
}
