//! Reloads the configuration while the proxy runs.
//!
//! The file is read and validated completely before any of it is applied. A valid file is applied without
//! an `await`, so that no request is handled with settings from two files. An invalid file changes
//! nothing.
//!
//! During an upgrade two processes share one listen address, and SIGHUP may reach only one of them.
//! Each process therefore publishes the fingerprint of the file that it has applied, through its
//! instance lock. A process that reads a different fingerprint reloads the file without a signal.

use super::config::{Config, ConfigError, FileStamp, LoadMode};
use super::discovery::Discovery;
use super::instance_lock::InstanceLock;
use crate::downstream::server::Server;
use crate::engine::Engine;
use crate::limits::{Capacities, OtherProcess, ProcessLimits};
use crate::log;
use crate::settings::SettingsSnapshot;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

/// The reason for a reload.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ReloadTrigger {
    /// SIGHUP has arrived.
    Signal,
    /// The other process has applied another version of the file, or has ended. A process that has ended
    /// may have received a SIGHUP that this process needs to act on, too.
    OtherProcess,
}

/// The parts of the proxy that a reload changes.
pub struct ReloadTargets {
    /// The server, which gets new capacities.
    pub server: Rc<Server>,
    /// The engine, which gets new settings.
    pub engine: Rc<Engine>,
    /// Discovery, which gets a new address and notifications of new settings.
    pub discovery: Rc<Discovery>,
    /// The lock that detects another process on the address; `None` in a proxy without a management
    /// address or usable lock files.
    pub instance_lock: Option<Rc<InstanceLock>>,
}

/// Applies the configuration file, and divides the limits between the two processes of an upgrade.
pub struct Reloader {
    targets: ReloadTargets,
    /// Number of descriptors reserved for the management address.
    reserved_descriptors: usize,
    /// The addresses that stay as they are until the next start.
    startup_addresses: StartupAddresses,
    /// The limits in force, for all processes on the address together.
    limits: Cell<ProcessLimits>,
    /// Whether another process ran at the last check.
    other_process: Cell<OtherProcess>,
    /// The stamp of the file that was read last, whether the file was applied or rejected.
    last_read_file: Cell<Option<FileStamp>>,
    /// The digest of the file that was applied last.
    applied_digest: Cell<u64>,
}

/// The addresses that a reload does not change.
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
    /// of its file. `file_stamp` is the stamp of the file just before it was read.
    #[must_use]
    pub fn new(
        targets: ReloadTargets,
        config: &Config,
        file_stamp: Option<FileStamp>,
        reserved_descriptors: usize,
    ) -> Self {
        let instance_lock = targets.instance_lock.as_ref();
        let other_process = instance_lock.map_or(OtherProcess::Absent, |lock| lock.other_process());
        let reloader = Self {
            targets,
            reserved_descriptors,
            startup_addresses: StartupAddresses::of(config),
            limits: Cell::new(config.limits),
            other_process: Cell::new(other_process),
            last_read_file: Cell::new(file_stamp),
            applied_digest: Cell::new(config.file_digest),
        };
        reloader.publish_fingerprint();
        reloader
    }

    /// Reloads the configuration file after SIGHUP.
    pub fn reload_on_signal(&self) {
        self.reload(ReloadTrigger::Signal);
    }

    /// Checks whether another process is running, and reloads the configuration file if that process
    /// has applied another version of the file or has ended. Must be called periodically.
    pub fn check_other_process(&self) {
        let Some(instance_lock) = &self.targets.instance_lock else {
            return;
        };
        let other_process = instance_lock.other_process();
        self.set_capacities(other_process);
        self.targets.engine.set_other_process(other_process);
        let previous = self.other_process.replace(other_process);
        let has_ended = previous.is_running() && !other_process.is_running();
        if !has_ended && !instance_lock.other_settings_differ(&self.fingerprint()) {
            return;
        }
        // Each version of the file is read only once, as an invalid version would otherwise be rejected,
        // logged and counted again at every check.
        if FileStamp::of_config_file() != self.last_read_file.get() {
            self.reload(ReloadTrigger::OtherProcess);
        }
    }

    /// Derives the capacities of this process from the limits in force.
    fn set_capacities(&self, other_process: OtherProcess) {
        let limits = self.limits.get().for_this_process(other_process);
        self.targets.server.set_capacities(Capacities::new(limits, self.reserved_descriptors));
    }

    /// Reads the configuration file and applies it. A rejected file is logged and counted.
    fn reload(&self, trigger: ReloadTrigger) {
        // The stamp is taken before the file is read, so that a change during the read is detected
        // later.
        self.last_read_file.set(FileStamp::of_config_file());
        let result = Config::load(LoadMode::Reload).and_then(|config| self.apply(config, trigger));
        if let Err(error) = result {
            self.targets.engine.metrics().count_rejected_settings();
            log!("balancer-proxy: not reloaded: {error}");
        }
    }

    /// Applies the whole configuration.
    ///
    /// # Errors
    ///
    /// Returns an error without any change if the settings may not replace those in force.
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

    /// Puts settings into force, and returns whether they differ from the previous ones.
    ///
    /// # Errors
    ///
    /// Returns an error without any change if the settings may not replace those in force.
    fn apply_settings(&self, mut snapshot: SettingsSnapshot) -> Result<bool, ConfigError> {
        let ReloadTargets { engine, discovery, .. } = &self.targets;
        // A running proxy numbers zones in the order in which they first appeared, so the id in the snapshot
        // is replaced. A zone without an id differs from the zone in force, and gets an id only once these
        // settings have been accepted.
        if let Some(zone) = discovery.find_zone(&snapshot.proxy.zone) {
            snapshot.balancer.zone = zone;
        }
        let in_force = engine.settings();
        snapshot.check_supersedes(&in_force)?;
        if snapshot == *in_force {
            return Ok(false);
        }
        snapshot.balancer.zone = discovery.assign_settings_zone(&snapshot.proxy.zone);
        engine.apply_settings(snapshot);
        discovery.handle_settings_change();
        log!("balancer-proxy: new settings in force{}", version_suffix(&engine.settings()));
        Ok(true)
    }

    /// Puts limits into force, and returns whether they differ from the previous ones.
    fn apply_limits(&self, limits: ProcessLimits) -> bool {
        let changed = self.limits.replace(limits) != limits;
        if changed {
            self.set_capacities(self.other_process.get());
        }
        changed
    }

    /// Returns the fingerprint of the file that this process has applied. The two processes of an
    /// upgrade compare fingerprints byte for byte, so all versions of the program must use the same format.
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

/// Returns the suffix of a log line or fingerprint that states the version of the settings. The suffix is
/// empty if the settings have no version.
fn version_suffix(snapshot: &SettingsSnapshot) -> String {
    snapshot.proxy.version.map_or_else(String::new, |version| format!(", version {version}"))
}
