//! The scenarios of a settings rollout: changes without faults, and changes with each kind of fault.

use super::managed_proxy::ManagedProxy;
use super::proxy_set::ProxySet;
use crate::error::Error;
use crate::resource_usage::ProcessUsage;
use std::time::{Duration, Instant};

/// Changes per second in the scenario that measures processor time. At the rate of the fleet, the cost of a
/// change would be smaller than the variation of an idle proxy's processor time.
pub const UNOBSERVED_CHANGES_PER_SECOND: f64 = 20.0;
/// Time in which the proxies complete the work of the previous scenario.
const IDLE_SETTLE_TIME: Duration = Duration::from_secs(1);
/// One in this many proxies is killed.
const PROXIES_PER_KILL: usize = 10;

/// Results of a scenario.
pub struct Measurement {
    /// The time until the version was in force, for each change and proxy.
    pub latencies: Vec<Duration>,
    /// Processor time per applied change in milliseconds, if measured. Noise may make the value negative.
    pub processor_ms: Option<f64>,
}

impl From<Vec<Duration>> for Measurement {
    fn from(latencies: Vec<Duration>) -> Self {
        Self { latencies, processor_ms: None }
    }
}

/// Time at which a tenth of the proxies are killed.
#[derive(Clone, Copy)]
pub enum KillTime {
    /// Immediately after SIGHUP. The restarted proxy reads the new file at its start.
    AfterSignal,
    /// Before the file is replaced. The file is replaced while the proxy is down.
    BeforeFile,
    /// Before the file is replaced. The file is replaced, and SIGHUP sent, once the restarted proxy is ready.
    RestartedBeforeFile,
}

/// A file that must be rejected.
#[derive(Clone, Copy)]
pub enum InvalidFile {
    /// The first half of the next version.
    Truncated,
    /// The version before the version in force.
    OlderVersion,
}

/// Rolls out several changes at a constant rate, and waits until each change is in force.
///
/// # Errors
///
/// Returns an error if a proxy fails or a signal has arrived.
pub fn roll_out_paced(
    proxies: &mut ProxySet<'_>,
    changes: usize,
    per_second: f64,
) -> Result<Measurement, Error> {
    let interval = Duration::from_secs_f64(1.0 / per_second);
    let mut latencies = Vec::new();
    let start = Instant::now();
    for number in 0..changes {
        proxies.shutdown().sleep_until(start + interval * number as u32)?;
        latencies.extend(proxies.roll_out_next()?);
    }
    Ok(latencies.into())
}

/// Rolls out several changes at a high rate, and measures their processor time beyond that of an idle time of
/// the same length. The scenario reads no `stats` meanwhile, as a response to `stats` costs more processor
/// time than a change.
///
/// # Errors
///
/// Returns an error if a proxy fails or a signal has arrived.
pub fn roll_out_unobserved(proxies: &mut ProxySet<'_>, changes: usize) -> Result<Measurement, Error> {
    let interval = Duration::from_secs_f64(1.0 / UNOBSERVED_CHANGES_PER_SECOND);
    let duration = interval * changes as u32;
    proxies.shutdown().sleep(IDLE_SETTLE_TIME)?;
    let before = proxies.usages()?;
    proxies.shutdown().sleep(duration)?;
    let start = Instant::now();
    let idle = proxies.usages()?;
    for number in 0..changes {
        proxies.shutdown().sleep_until(start + interval * number as u32)?;
        let version = proxies.advance_version(1);
        proxies.run_on_all(|proxy| proxy.reload_with_version(version))?;
    }
    proxies.shutdown().sleep_until(start + duration)?;
    let after = proxies.usages()?;
    proxies.roll_out(|_| Ok(()))?;
    // Several signals that arrive before the first is handled lead to one reload.
    let applied = proxies.file_counts()?.applied;
    let seconds = processor_seconds_beyond_idle(&before, &idle, &after);
    Ok(Measurement { latencies: Vec::new(), processor_ms: Some(1e3 * (seconds / applied as f64)) })
}

/// Returns the processor time between `idle` and `after` beyond that of the idle time between `before` and
/// `idle`, in seconds, summed over all proxies.
fn processor_seconds_beyond_idle(
    before: &[ProcessUsage],
    idle: &[ProcessUsage],
    after: &[ProcessUsage],
) -> f64 {
    let mut sum = 0.0;
    for ((before, idle), after) in before.iter().zip(idle).zip(after) {
        let seconds = after.at.duration_since(idle.at).as_secs_f64();
        sum += (after.cores_since(idle) - idle.cores_since(before)) * seconds;
    }
    sum
}

/// Rolls out several changes without a pause.
///
/// # Errors
///
/// Returns an error if a proxy fails or a signal has arrived.
pub fn roll_out_burst(proxies: &mut ProxySet<'_>, changes: usize) -> Result<Measurement, Error> {
    let first = proxies.version() + 1;
    let last = proxies.advance_version(changes);
    let reload_each_version = |proxy: &mut ManagedProxy<'_>| {
        (first..=last).try_for_each(|version| proxy.reload_with_version(version))
    };
    Ok(proxies.roll_out(reload_each_version)?.into())
}

/// Rolls out one change after an invalid file. The proxies must reject the invalid file, and keep the old
/// version in force.
///
/// # Errors
///
/// Returns an error if a proxy fails or a signal has arrived.
pub fn roll_out_after_invalid_file(
    proxies: &mut ProxySet<'_>,
    invalid: InvalidFile,
) -> Result<Measurement, Error> {
    let version = proxies.version();
    proxies.run_and_wait(
        &format!("one file rejected and settings version {version}"),
        |proxy| {
            let text = match invalid {
                InvalidFile::Truncated => first_half(&proxy.config_with_version(version + 1)),
                InvalidFile::OlderVersion => proxy.config_with_version(version - 1),
            };
            proxy.write_config(&text)?;
            proxy.process.reload()
        },
        |proxy, stats| stats.rejected == proxy.initial_stats.rejected + 1 && stats.version == Some(version),
    )?;
    Ok(proxies.roll_out_next()?.into())
}

fn first_half(text: &str) -> String {
    text.chars().take(text.chars().count() / 2).collect()
}

/// Rolls out one change while a tenth of the proxies are killed and restarted.
///
/// # Errors
///
/// Returns an error if a proxy fails or a signal has arrived.
pub fn roll_out_with_kills(proxies: &mut ProxySet<'_>, kill_time: KillTime) -> Result<Measurement, Error> {
    let version = proxies.advance_version(1);
    let shutdown = proxies.shutdown();
    let latencies = proxies.roll_out(|proxy| {
        if proxy.index % PROXIES_PER_KILL != 0 {
            return proxy.reload_with_version(version);
        }
        match kill_time {
            KillTime::AfterSignal => {
                proxy.reload_with_version(version)?;
                proxy.kill()?;
                proxy.process.restart()
            }
            KillTime::BeforeFile => {
                proxy.kill()?;
                proxy.write_version(version)?;
                proxy.process.restart()
            }
            KillTime::RestartedBeforeFile => {
                proxy.kill()?;
                proxy.process.restart()?;
                proxy.process.wait_until_ready(shutdown)?;
                proxy.reload_with_version(version)
            }
        }
    })?;
    Ok(latencies.into())
}
