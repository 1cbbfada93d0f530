//! The command line of the scale tests.

use clap::{Parser, Subcommand};
use fleet_bench::error::Error;
use fleet_bench::report::Report;
use fleet_bench::{control_plane, fleet, latency_overhead, slopes};
use std::io::{self, ErrorKind, Write};
use std::path::PathBuf;
use std::process::ExitCode;
use tracing_subscriber::EnvFilter;

/// Scale tests of the proxy; each command has a limited size and duration.
#[derive(Parser)]
#[command(version)]
struct Cli {
    /// Also write the report as JSON to this file
    #[arg(long, global = true, value_name = "FILE")]
    json: Option<PathBuf>,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Measures how the cost of the decision module grows with the size of a deployment
    Slopes(slopes::Args),
    /// Measures the cost of endpoint lists and settings with real proxies and a stub discovery server
    Control(control_plane::Args),
    /// Simulates a fleet of thousands of balancers with faults, on virtual time
    Fleet(fleet::Args),
    /// Measures the latency that the real proxy adds to a call
    #[command(name = "added")]
    LatencyOverhead(latency_overhead::Args),
}

/// Runs the command, and writes the report as JSON if a file is given.
fn run(cli: &Cli) -> Result<Report, Error> {
    let report = match &cli.command {
        Command::Slopes(args) => slopes::run(args),
        Command::Control(args) => control_plane::run(args),
        Command::Fleet(args) => fleet::run(args),
        Command::LatencyOverhead(args) => latency_overhead::run(args),
    }?;
    if let Some(path) = &cli.json {
        report.write(path)?;
    }
    Ok(report)
}

fn main() -> ExitCode {
    let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new("warn"));
    tracing_subscriber::fmt().with_env_filter(filter).with_writer(io::stderr).init();
    match run(&Cli::parse()).and_then(|report| Ok(writeln!(io::stdout(), "{report}")?)) {
        Ok(()) => ExitCode::SUCCESS,
        // The reader of standard output has closed the pipe.
        Err(Error::Io(error)) if error.kind() == ErrorKind::BrokenPipe => ExitCode::SUCCESS,
        Err(error) => {
            // A failed write to standard error cannot be reported.
            let _ = writeln!(io::stderr(), "fleet-bench: {error}");
            ExitCode::FAILURE
        }
    }
}
