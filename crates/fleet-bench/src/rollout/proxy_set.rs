//! The proxies of a rollout. Each version of the settings is sent to all of them.

use super::managed_proxy::{ManagedProxy, SettingsStats};
use crate::error::Error;
use crate::proxy::ProxyProcess;
use crate::resource_usage::ProcessUsage;
use crate::shutdown::ShutdownSignal;
use std::thread::{Builder, ScopedJoinHandle};
use std::time::{Duration, Instant};

/// Maximum time until a change is in force at all proxies, as the operators require.
pub const ROLLOUT_TIMEOUT: Duration = Duration::from_secs(14);

/// The proxies, and the newest version of their settings.
pub struct ProxySet<'a> {
    shutdown: &'a ShutdownSignal,
    proxies: Vec<ManagedProxy<'a>>,
    version: u64,
}

impl<'a> ProxySet<'a> {
    /// Creates a set of these proxies, which must be ready.
    ///
    /// # Errors
    ///
    /// Returns an error if the configuration file of a proxy cannot be read.
    pub fn new(shutdown: &'a ShutdownSignal, processes: &'a mut [ProxyProcess]) -> Result<Self, Error> {
        let processes = processes.iter_mut().enumerate();
        let proxies =
            processes.map(|(index, process)| ManagedProxy::new(index, process)).collect::<Result<_, _>>()?;
        Ok(Self { shutdown, proxies, version: 0 })
    }

    /// Returns the number of proxies.
    #[must_use]
    pub fn len(&self) -> usize {
        self.proxies.len()
    }

    /// Returns the newest version of the settings.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the signal that interrupts all waits.
    #[must_use]
    pub fn shutdown(&self) -> &'a ShutdownSignal {
        self.shutdown
    }

    /// Increases the newest version by `by`, and returns the newest version.
    pub fn advance_version(&mut self, by: usize) -> u64 {
        self.version += by as u64;
        self.version
    }

    /// Runs an action on all proxies in parallel, and returns the results in the order of the proxies.
    ///
    /// # Errors
    ///
    /// Returns the error of the first proxy whose action failed.
    pub fn run_on_all<T: Send>(
        &mut self,
        action: impl Fn(&mut ManagedProxy<'a>) -> Result<T, Error> + Sync,
    ) -> Result<Vec<T>, Error> {
        let action = &action;
        std::thread::scope(|scope| {
            let mut threads = Vec::new();
            for proxy in &mut self.proxies {
                threads.push(Builder::new().spawn_scoped(scope, move || action(proxy))?);
            }
            let join = |thread: ScopedJoinHandle<'_, Result<T, Error>>| {
                thread.join().unwrap_or(Err(Error::Panicked("a rollout thread")))
            };
            threads.into_iter().map(join).collect()
        })
    }

    /// Runs an action on all proxies in parallel, and waits until the stats of each proxy fulfil a condition.
    /// Returns the time of each proxy from the start of the first action until then. `expected` describes the
    /// condition in errors.
    ///
    /// # Errors
    ///
    /// Returns [`Error::RolloutTimeout`] if a proxy takes longer than [`ROLLOUT_TIMEOUT`].
    pub fn run_and_wait(
        &mut self,
        expected: &str,
        action: impl Fn(&mut ManagedProxy<'a>) -> Result<(), Error> + Sync,
        condition: impl Fn(&ManagedProxy<'a>, &SettingsStats) -> bool + Sync,
    ) -> Result<Vec<Duration>, Error> {
        let shutdown = self.shutdown;
        let start = Instant::now();
        let fulfilled_at = self.run_on_all(|proxy| {
            action(proxy)?;
            proxy.wait_for_stats(shutdown, start + ROLLOUT_TIMEOUT, |stats| condition(proxy, stats))
        })?;
        if let Some(first_late) = fulfilled_at.iter().position(Option::is_none) {
            let late = fulfilled_at.iter().filter(|at| at.is_none()).count();
            return Err(self.timeout_error(late, first_late, expected));
        }
        Ok(fulfilled_at.into_iter().flatten().map(|at| at.duration_since(start)).collect())
    }

    fn timeout_error(&self, late: usize, first_late: usize, expected: &str) -> Error {
        let proxy = &self.proxies[first_late];
        let stats = proxy.stats().map_or_else(|error| error.to_string(), |stats| format!("{stats:?}"));
        Error::RolloutTimeout {
            late,
            proxies: self.proxies.len(),
            expected: expected.to_string(),
            timeout_s: ROLLOUT_TIMEOUT.as_secs(),
            address: proxy.process.listen(),
            stats,
        }
    }

    /// Runs an action on all proxies in parallel, and waits until each proxy has the newest version.
    ///
    /// # Errors
    ///
    /// Returns [`Error::RolloutTimeout`] if a proxy takes longer than [`ROLLOUT_TIMEOUT`].
    pub fn roll_out(
        &mut self,
        action: impl Fn(&mut ManagedProxy<'a>) -> Result<(), Error> + Sync,
    ) -> Result<Vec<Duration>, Error> {
        let version = self.version;
        let has_version = |_: &ManagedProxy<'a>, stats: &SettingsStats| stats.version == Some(version);
        self.run_and_wait(&format!("settings version {version}"), action, has_version)
    }

    /// Changes the settings of all proxies to the next version.
    ///
    /// # Errors
    ///
    /// Returns [`Error::RolloutTimeout`] if a proxy takes longer than [`ROLLOUT_TIMEOUT`].
    pub fn roll_out_next(&mut self) -> Result<Vec<Duration>, Error> {
        let version = self.advance_version(1);
        self.roll_out(|proxy| proxy.reload_with_version(version))
    }

    /// Reads the resource usage of all proxies.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Procfs`] if a proxy has ended.
    pub fn usages(&self) -> Result<Vec<ProcessUsage>, Error> {
        self.proxies.iter().map(|proxy| proxy.process.usage()).collect()
    }

    /// Begins a scenario: stores the present stats of each proxy as its initial stats.
    ///
    /// # Errors
    ///
    /// Returns an error if a proxy does not respond.
    pub fn reset_stats(&mut self) -> Result<(), Error> {
        self.run_on_all(|proxy| {
            proxy.initial_stats = proxy.stats()?;
            Ok(())
        })?;
        Ok(())
    }

    /// Returns the numbers of files that all proxies together have applied and rejected since the start of
    /// the scenario.
    ///
    /// # Errors
    ///
    /// Returns an error if a proxy does not respond.
    pub fn file_counts(&mut self) -> Result<FileCounts, Error> {
        let stats = self.run_on_all(|proxy| Ok(proxy.stats()?.since(proxy.initial_stats)))?;
        Ok(FileCounts {
            applied: stats.iter().map(|stats| stats.applied).sum(),
            rejected: stats.iter().map(|stats| stats.rejected).sum(),
        })
    }
}

/// Counts of settings files, summed over all proxies.
#[derive(Clone, Copy, Debug)]
pub struct FileCounts {
    /// Number of files that came into force.
    pub applied: u64,
    /// Number of files that were rejected.
    pub rejected: u64,
}
