//! Reloads the configuration while the proxy runs.
//!
//! The file is read and validated completely. Then all of it is applied in one turn of the event loop,
//! without an `await` in between, or none of it.
//!
//! During an upgrade two processes share one address, and SIGHUP may reach only one of them. Each
//! therefore publishes a fingerprint of the file that it has applied through its instance lock. A
//! process that sees another fingerprint there reloads the file by itself.

use super::config::{Config, ConfigError, FileStamp, LoadMode};
use super::discovery::Discovery;
use super::instance_lock::InstanceLock;
use crate::downstream::server::Server;
use crate::engine::{Engine, SecondProcess};
use crate::limits::{Capacities, ProcessLimits};
use crate::log;
use crate::settings::SettingsSnapshot;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

/// Why the file is read.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ReloadTrigger {
    /// SIGHUP.
    Signal,
    /// The other process has applied another file, or has ended, perhaps with a signal that was meant
    /// for both.
    OtherProcess,
}

/// The parts of the proxy that a reload changes.
pub struct ReloadTargets {
    /// Gets new capacities.
    pub server: Rc<Server>,
    /// Gets new settings.
    pub engine: Rc<Engine>,
    /// Gets a new address, and is notified of new settings.
    pub discovery: Rc<Discovery>,
    /// Shows whether a second process is running; absent in a proxy that cannot be upgraded.
    pub instance_lock: Option<Rc<InstanceLock>>,
}

/// Applies the configuration file, and divides the limits between the two processes of an upgrade.
pub struct Reloader {
    targets: ReloadTargets,
    /// Descriptors reserved for other use than clients and backends.
    reserved_descriptors: usize,
    /// The addresses that hold until the next start.
    startup_addresses: StartupAddresses,
    limits: Cell<ProcessLimits>,
    second_process_running: Cell<bool>,
    /// The file that was read last, whether it was applied or rejected.
    last_read_file: Cell<Option<FileStamp>>,
    /// Digest of the file that was applied last.
    applied_digest: Cell<u64>,
}

/// Addresses that a reload does not change.
#[derive(PartialEq)]
struct StartupAddresses {
    listen: SocketAddr,
    management: Option<SocketAddr>,
}

impl StartupAddresses {
    fn of(config: &Config) -> Self {
        Self { listen: config.listen, management: config.management }
    }
}

impl Reloader {
    /// Creates the reloader of a proxy that was started with `config`, and publishes the fingerprint
    /// of its file. `file` is the stamp that the file had just before it was read.
    #[must_use]
    pub fn new(
        targets: ReloadTargets,
        config: &Config,
        file: Option<FileStamp>,
        reserved_descriptors: usize,
    ) -> Self {
        let second_process_running = targets.instance_lock.as_ref().is_some_and(|lock| lock.is_shared());
        let reloader = Self {
            targets,
            reserved_descriptors,
            startup_addresses: StartupAddresses::of(config),
            limits: Cell::new(config.limits),
            second_process_running: Cell::new(second_process_running),
            last_read_file: Cell::new(file),
            applied_digest: Cell::new(config.file_digest),
        };
        reloader.publish_fingerprint();
        reloader
    }

    /// Reloads the file after SIGHUP.
    pub fn on_signal(&self) {
        self.reload(ReloadTrigger::Signal);
    }

    /// Checks whether a second process is running, and reloads the file if that process has applied
    /// another one or has ended. To be called regularly.
    pub fn check_other_process(&self) {
        let Some(instance_lock) = &self.targets.instance_lock else {
            return;
        };
        let is_running = instance_lock.is_shared();
        self.set_capacities(is_running);
        let second_process = if is_running { SecondProcess::Running } else { SecondProcess::Absent };
        self.targets.engine.set_second_process(second_process);
        let was_running = self.second_process_running.replace(is_running);
        let has_ended = was_running && !is_running;
        if !has_ended && !instance_lock.other_settings_differ(&self.fingerprint()) {
            return;
        }
        // Each version of the file is read once, also if it was rejected: it is still as bad.
        if FileStamp::of_config_file() != self.last_read_file.get() {
            self.reload(ReloadTrigger::OtherProcess);
        }
    }

    fn set_capacities(&self, second_process_running: bool) {
        let limits = self.limits.get().share(second_process_running);
        self.targets.server.set_capacities(Capacities::new(limits, self.reserved_descriptors));
    }

    fn reload(&self, trigger: ReloadTrigger) {
        // The stamp is taken before the file is read, so that a change during the read shows later.
        self.last_read_file.set(FileStamp::of_config_file());
        let result = Config::load(LoadMode::Reload).and_then(|config| self.apply(config, trigger));
        if let Err(error) = result {
            self.targets.engine.metrics().settings_rejected();
            log!("balancer-proxy: not reloaded: {error}");
        }
    }

    /// Applies the whole configuration, or nothing if its settings are older than those in force.
    fn apply(&self, config: Config, trigger: ReloadTrigger) -> Result<(), ConfigError> {
        let addresses = StartupAddresses::of(&config);
        let settings_changed = self.apply_settings(config.snapshot)?;
        let limits_changed = self.apply_limits(config.limits);
        // SIGHUP without other changes fetches the endpoint list again.
        let refetch_list = trigger == ReloadTrigger::Signal && !settings_changed && !limits_changed;
        if refetch_list || self.targets.discovery.address() != config.discovery {
            self.targets.discovery.change_address(config.discovery);
        }
        if addresses != self.startup_addresses {
            log!("balancer-proxy: listen and management stay as they are until the next start");
        }
        self.applied_digest.set(config.file_digest);
        self.publish_fingerprint();
        Ok(())
    }

    /// Puts settings into force; returns whether they differ from those before.
    fn apply_settings(&self, mut snapshot: SettingsSnapshot) -> Result<bool, ConfigError> {
        let ReloadTargets { engine, discovery, .. } = &self.targets;
        // A running proxy has numbered its zones already.
        snapshot.balancer.zone = discovery.zone_index(&snapshot.proxy.zone);
        let in_force = engine.settings();
        snapshot.check_supersedes(&in_force)?;
        if snapshot == *in_force {
            return Ok(false);
        }
        engine.apply_settings(snapshot);
        discovery.settings_changed();
        log!("balancer-proxy: new settings in force{}", version_suffix(&engine.settings()));
        Ok(true)
    }

    /// Puts limits into force; returns whether they differ from those before.
    fn apply_limits(&self, limits: ProcessLimits) -> bool {
        let changed = self.limits.replace(limits) != limits;
        if changed {
            self.set_capacities(self.second_process_running.get());
        }
        changed
    }

    /// Identifies the file that this process has applied. Both processes of an upgrade compare it
    /// byte for byte, so that its form is the same in all versions of the program.
    fn fingerprint(&self) -> String {
        let version = version_suffix(&self.targets.engine.settings());
        format!("{:016x}{version}\n", self.applied_digest.get())
    }

    fn publish_fingerprint(&self) {
        let Some(instance_lock) = &self.targets.instance_lock else {
            return;
        };
        if let Err(error) = instance_lock.publish_fingerprint(&self.fingerprint()) {
            log!("balancer-proxy: cannot publish settings to the other process: {error}");
        }
    }
}

/// The version of the settings as it stands at the end of a log line or fingerprint; empty if they
/// have none.
fn version_suffix(snapshot: &SettingsSnapshot) -> String {
    snapshot.proxy.version.map_or_else(String::new, |version| format!(", version {version}"))
}
