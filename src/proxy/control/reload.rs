//! Settings that change while the proxy runs: the file is read and checked whole, then all of it is
//! taken over in one turn, with no wait in between, or none of it.
//!
//! A signal may reach one of two processes only. Each tells the other which file it goes by, and
//! who sees another one there reads the file for itself, the same way.

use super::config::{Config, ConfigError, FileStamp, LoadMode};
use super::discovery::Discovery;
use super::instance_lock::InstanceLock;
use crate::log;
use crate::proxy::downstream::server::Server;
use crate::proxy::engine::Engine;
use crate::proxy::limits::{Capacities, ProcessLimits};
use crate::proxy::settings::SettingsSnapshot;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

/// Why the file is read.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Cause {
    /// SIGHUP.
    Signal,
    /// The other process goes by another file, or has gone, perhaps with a signal meant for both.
    Other,
}

/// Takes over what the file says, and shares the limits with the other process.
pub struct Reloader {
    server: Rc<Server>,
    engine: Rc<Engine>,
    discovery: Rc<Discovery>,
    seat: Option<Rc<InstanceLock>>,
    limits: Cell<ProcessLimits>,
    /// Descriptors for other use than clients and backends.
    kept: usize,
    /// What stays as it was at the start.
    listen: SocketAddr,
    management: Option<SocketAddr>,
    /// Another process is there.
    beside: Cell<bool>,
    /// The file that was looked at last.
    stamp: Cell<Option<FileStamp>>,
    /// Of the file that was taken over last.
    digest: Cell<u64>,
}

impl Reloader {
    /// One for what was started by this configuration, the file of which had this stamp.
    pub fn new(
        config: &Config,
        stamp: Option<FileStamp>,
        kept: usize,
        server: Rc<Server>,
        engine: Rc<Engine>,
        discovery: Rc<Discovery>,
        seat: Option<Rc<InstanceLock>>,
    ) -> Self {
        let reload = Self {
            server,
            engine,
            discovery,
            beside: Cell::new(seat.as_ref().is_some_and(|seat| seat.is_shared())),
            seat,
            limits: Cell::new(config.limits),
            kept,
            listen: config.listen,
            management: config.management,
            stamp: Cell::new(stamp),
            digest: Cell::new(config.file_digest),
        };
        reload.publish();
        reload
    }

    /// SIGHUP has come.
    pub fn on_signal(&self) {
        self.read(Cause::Signal);
    }

    /// Looks whether another process is there, and by what it goes.
    pub fn check_other_process(&self) {
        let Some(seat) = &self.seat else {
            return;
        };
        let shared = seat.is_shared();
        self.set_capacities(shared);
        self.engine.second_process(shared);
        let gone = self.beside.replace(shared) && !shared;
        // One file is read once, whatever is found in it: a bad one doesn't get better.
        if (gone || seat.other_settings_differ(&self.edition()))
            && FileStamp::of_config_file() != self.stamp.get()
        {
            self.read(Cause::Other);
        }
    }

    fn set_capacities(&self, shared: bool) {
        self.server.set_capacities(Capacities::new(self.limits.get().share(shared), self.kept));
    }

    fn read(&self, cause: Cause) {
        // Before it is read: what comes meanwhile has another one.
        self.stamp.set(FileStamp::of_config_file());
        if let Err(error) = Config::load(LoadMode::Reload).and_then(|config| self.apply(config, cause)) {
            self.engine.metrics().settings_rejected();
            log!("balancer-proxy: not reloaded: {error}");
        }
    }

    /// Takes all of it over, unless it is from before what is in force.
    fn apply(&self, config: Config, cause: Cause) -> Result<(), ConfigError> {
        let mut terms = config.snapshot;
        terms.settings.zone = self.discovery.zone_index(&terms.proxy.zone);
        let old = self.engine.settings();
        terms.check_supersedes(&old)?;
        let settled = terms != *old;
        if settled {
            self.engine.apply_settings(terms);
            self.discovery.settings_changed();
            log!("balancer-proxy: new settings in force{}", version(&self.engine.settings()));
        }
        let limited = self.limits.replace(config.limits) != config.limits;
        if limited {
            self.set_capacities(self.beside.get());
        }
        // A signal that changes nothing else asks for the list anew, as it always has.
        let again = cause == Cause::Signal && !settled && !limited;
        if self.discovery.address() != config.discovery || again {
            self.discovery.change_address(config.discovery);
        }
        if (config.listen, config.management) != (self.listen, self.management) {
            log!("balancer-proxy: listen and management stay as they are until the next start");
        }
        self.digest.set(config.file_digest);
        self.publish();
        Ok(())
    }

    /// The file that this process goes by, in the words that the other one compares.
    fn edition(&self) -> String {
        format!("{:016x}{}\n", self.digest.get(), version(&self.engine.settings()))
    }

    fn publish(&self) {
        if let Some(seat) = &self.seat {
            let told = seat.publish_settings(&self.edition());
            told.unwrap_or_else(|error| {
                log!("balancer-proxy: the other process is not told of settings: {error}")
            });
        }
    }
}

fn version(terms: &SettingsSnapshot) -> String {
    terms.proxy.version.map_or_else(String::new, |version| format!(", version {version}"))
}
