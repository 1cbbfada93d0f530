//! Measures rollouts of settings. A rollout replaces the configuration file of each proxy, sends SIGHUP, and
//! polls the `stats` of the proxy until the new version is in force. Further scenarios repeat the rollout
//! with faults.

mod managed_proxy;
mod plan;
mod proxy_set;
mod scenario;

pub use plan::{Plan, RolloutArgs};

use crate::discovery::{Availability, Discovery};
use crate::error::Error;
use crate::latency::LatencyHistogram;
use crate::proxy::ProxyProcess;
use crate::report::{Report, Table, Value};
use crate::resource_usage::MachineLoad;
use crate::shutdown::ShutdownSignal;
use managed_proxy::STATS_POLL_INTERVAL;
use proxy_set::{FileCounts, ProxySet, ROLLOUT_TIMEOUT};
use scenario::{InvalidFile, KillTime, Measurement, UNOBSERVED_CHANGES_PER_SECOND};
use std::time::Duration;

/// Maximum latency that a histogram distinguishes; no rollout takes longer.
const MAX_RECORDED_LATENCY: Duration = Duration::from_secs(600);

const ROLLOUT_COLUMNS: [&str; 11] = [
    "rollout",
    "changes",
    "proxies",
    "50%, ms",
    "99%, ms",
    "all, ms",
    "all / 14 s",
    "applied per proxy",
    "rejected",
    "processor time, ms/change",
    "machine stalled, %",
];

/// Runs all scenarios with these proxies, which must be ready and poll this discovery server.
///
/// # Errors
///
/// Returns [`Error::RolloutTimeout`] if a proxy does not reach the newest version in time, and
/// [`Error::RejectedFiles`] if proxies reject an unexpected number of files.
pub fn run(
    plan: &Plan,
    shutdown: &ShutdownSignal,
    processes: &mut [ProxyProcess],
    discovery: &Discovery,
    report: &mut Report,
) -> Result<(), Error> {
    let name = "Settings rollouts: time until a change is in force, and cost for each proxy";
    let proxies = ProxySet::new(shutdown, processes)?;
    let mut runner = ScenarioRunner { proxies, table: Table::new(name, &ROLLOUT_COLUMNS) };
    runner.run_without_faults(plan)?;
    runner.run_invalid_files()?;
    runner.run_silent_discovery(discovery)?;
    runner.run_killed_proxies()?;
    report.tables.push(runner.table);
    report.notes.push(format!(
        "Times are from the start of a change, or of the burst, before the first file is written, until \
         stats show the version; stats are polled every {} ms. Processor time of a change is the excess over \
         an idle proxy; a negative value is within the noise of the machine.",
        STATS_POLL_INTERVAL.as_millis()
    ));
    Ok(())
}

/// A scenario, whose results are a row of the report.
struct Scenario {
    name: &'static str,
    changes: usize,
    /// Number of files that each proxy must reject.
    rejected_per_proxy: u64,
}

impl Scenario {
    fn new(name: &'static str, changes: usize) -> Self {
        Self { name, changes, rejected_per_proxy: 0 }
    }
}

/// Runs the scenarios and collects their rows.
struct ScenarioRunner<'a> {
    proxies: ProxySet<'a>,
    table: Table,
}

impl<'a> ScenarioRunner<'a> {
    fn run_without_faults(&mut self, plan: &Plan) -> Result<(), Error> {
        let changes = plan.changes;
        let per_second = plan.changes_per_second;
        self.run(&Scenario::new("paced", changes), |proxies| {
            scenario::roll_out_paced(proxies, changes, per_second)
        })?;
        let unobserved = (changes as f64 / per_second * UNOBSERVED_CHANGES_PER_SECOND).ceil() as usize;
        self.run(&Scenario::new("20/s, not observed", unobserved), |proxies| {
            scenario::roll_out_unobserved(proxies, unobserved)
        })?;
        self.run(&Scenario::new("one burst", changes), |proxies| scenario::roll_out_burst(proxies, changes))
    }

    fn run_invalid_files(&mut self) -> Result<(), Error> {
        let invalid_files = [
            ("truncated file first", InvalidFile::Truncated),
            ("older version first", InvalidFile::OlderVersion),
        ];
        for (name, invalid) in invalid_files {
            let scenario = Scenario { name, changes: 1, rejected_per_proxy: 1 };
            self.run(&scenario, |proxies| scenario::roll_out_after_invalid_file(proxies, invalid))?;
        }
        Ok(())
    }

    fn run_silent_discovery(&mut self, discovery: &Discovery) -> Result<(), Error> {
        discovery.set_availability(Availability::Silent);
        self.run(&Scenario::new("discovery silent", 1), |proxies| Ok(proxies.roll_out_next()?.into()))?;
        discovery.set_availability(Availability::Up);
        Ok(())
    }

    fn run_killed_proxies(&mut self) -> Result<(), Error> {
        let kill_times = [
            ("tenth killed after the signal", KillTime::AfterSignal),
            ("tenth killed, file replaced while down", KillTime::BeforeFile),
            ("tenth killed, file replaced after restart", KillTime::RestartedBeforeFile),
        ];
        for (name, kill_time) in kill_times {
            self.run(&Scenario::new(name, 1), |proxies| scenario::roll_out_with_kills(proxies, kill_time))?;
        }
        Ok(())
    }

    /// Runs one scenario, checks the number of rejected files, and adds a row to the table.
    fn run(
        &mut self,
        scenario: &Scenario,
        run: impl FnOnce(&mut ProxySet<'a>) -> Result<Measurement, Error>,
    ) -> Result<(), Error> {
        tracing::info!("running the settings rollout `{}`", scenario.name);
        let machine = MachineLoad::now()?;
        self.proxies.reset_stats()?;
        let measurement = run(&mut self.proxies)?;
        let files = self.proxies.file_counts()?;
        let machine_stall_fraction = MachineLoad::now()?.stall_fraction_since(&machine);
        let expected = scenario.rejected_per_proxy * self.proxies.len() as u64;
        if files.rejected != expected {
            let scenario = scenario.name.to_string();
            return Err(Error::RejectedFiles { scenario, rejected: files.rejected, expected });
        }
        let row = self.row(scenario, &measurement, files, machine_stall_fraction)?;
        self.table.add_row(row);
        Ok(())
    }

    fn row(
        &self,
        scenario: &Scenario,
        measurement: &Measurement,
        files: FileCounts,
        machine_stall_fraction: f64,
    ) -> Result<[Value; ROLLOUT_COLUMNS.len()], Error> {
        let proxies = self.proxies.len();
        let mut latencies = LatencyHistogram::with_max(MAX_RECORDED_LATENCY)?;
        latencies.extend(measurement.latencies.iter().copied());
        let last_ms = latencies.quantile_ms(1.0);
        Ok([
            scenario.name.into(),
            scenario.changes.into(),
            proxies.into(),
            latencies.quantile_ms(0.5).into(),
            latencies.quantile_ms(0.99).into(),
            last_ms.into(),
            (last_ms / 1e3 / ROLLOUT_TIMEOUT.as_secs_f64()).into(),
            (files.applied as f64 / proxies as f64).into(),
            (files.rejected as usize).into(),
            measurement.processor_ms.into(),
            (100.0 * machine_stall_fraction).into(),
        ])
    }
}
