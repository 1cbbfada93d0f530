//! A proxy whose configuration file is replaced while the proxy runs.

use crate::error::Error;
use crate::proxy::ProxyProcess;
use crate::shutdown::ShutdownSignal;
use serde::Deserialize;
use serde_json::{Value, json};
use std::time::{Duration, Instant};

/// Interval between two reads of a proxy's `stats`.
pub const STATS_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// The settings section of a proxy's `stats`.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
pub struct SettingsStats {
    /// The version in force, if the file has one.
    pub version: Option<u64>,
    /// Number of files that came into force since the start of the process.
    #[serde(rename = "changed")]
    pub applied: u64,
    /// Number of files that were rejected since the start of the process.
    #[serde(rename = "refused")]
    pub rejected: u64,
}

impl SettingsStats {
    /// Returns the present version, and the counts less those of earlier stats.
    #[must_use]
    pub fn since(self, earlier: Self) -> Self {
        Self {
            version: self.version,
            applied: self.applied.saturating_sub(earlier.applied),
            rejected: self.rejected.saturating_sub(earlier.rejected),
        }
    }
}

/// A proxy and the content of its configuration file.
pub struct ManagedProxy<'a> {
    /// Index of the proxy among the proxies of the rollout.
    pub index: usize,
    /// The process of the proxy.
    pub process: &'a mut ProxyProcess,
    /// The stats at the start of the scenario, or at the start of the process if the process started later.
    pub initial_stats: SettingsStats,
    config: Value,
}

impl<'a> ManagedProxy<'a> {
    /// Reads the configuration file with which a proxy was started.
    ///
    /// # Errors
    ///
    /// Returns [`Error::File`] or [`Error::Json`] if the file cannot be read.
    pub fn new(index: usize, process: &'a mut ProxyProcess) -> Result<Self, Error> {
        let path = process.config_path();
        let text = std::fs::read(&path).map_err(|error| Error::File { path, error })?;
        let config =
            serde_json::from_slice(&text).map_err(|error| Error::Json { what: "configuration", error })?;
        Ok(Self { index, process, initial_stats: SettingsStats::default(), config })
    }

    /// Returns the content of the configuration file with this settings version. Each version also changes a
    /// limit that affects no measurement.
    pub fn config_with_version(&mut self, version: u64) -> String {
        let settings = &mut self.config["settings"];
        settings["version"] = json!(version);
        settings["caps"]["max-open"] = json!(1_000 + version);
        self.config.to_string()
    }

    /// Replaces the configuration file atomically.
    ///
    /// # Errors
    ///
    /// Returns [`Error::File`] if the file cannot be written.
    pub fn write_config(&self, text: &str) -> Result<(), Error> {
        let path = self.process.config_path();
        let temporary = path.with_extension("next");
        let written = std::fs::write(&temporary, text).and_then(|()| std::fs::rename(&temporary, &path));
        written.map_err(|error| Error::File { path, error })
    }

    /// Replaces the configuration file by one with this settings version.
    ///
    /// # Errors
    ///
    /// Returns [`Error::File`] if the file cannot be written.
    pub fn write_version(&mut self, version: u64) -> Result<(), Error> {
        let text = self.config_with_version(version);
        self.write_config(&text)
    }

    /// Replaces the configuration file by one with this settings version, and sends SIGHUP to the proxy.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be written or the process has ended.
    pub fn reload_with_version(&mut self, version: u64) -> Result<(), Error> {
        self.write_version(version)?;
        self.process.reload()
    }

    /// Kills the process. The counts of a restarted process begin at 0.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Io`] if the system does not kill the process.
    pub fn kill(&mut self) -> Result<(), Error> {
        self.initial_stats = SettingsStats::default();
        self.process.kill()
    }

    /// Reads the settings section of the proxy's `stats`.
    ///
    /// # Errors
    ///
    /// Returns an error if the proxy does not respond or its `stats` cannot be parsed.
    pub fn stats(&self) -> Result<SettingsStats, Error> {
        let settings = self.process.stats()?["settings"].take();
        serde_json::from_value(settings).map_err(|error| Error::Json { what: "stats: settings", error })
    }

    /// Waits until the stats fulfil a condition, and returns the time at which they did; `None` if they did
    /// not before the deadline. A proxy that does not respond may be starting, and is polled again.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Interrupted`] once a signal has arrived.
    pub fn wait_for_stats(
        &self,
        shutdown: &ShutdownSignal,
        deadline: Instant,
        condition: impl Fn(&SettingsStats) -> bool,
    ) -> Result<Option<Instant>, Error> {
        loop {
            shutdown.check()?;
            let fulfilled = self.stats().is_ok_and(|stats| condition(&stats));
            let now = Instant::now();
            if now > deadline {
                return Ok(None);
            }
            if fulfilled {
                return Ok(Some(now));
            }
            std::thread::sleep(STATS_POLL_INTERVAL);
        }
    }
}
