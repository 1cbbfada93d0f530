//! Settings that change while the proxy runs: the file is read and checked whole, then all of it is
//! taken over in one turn, with no wait in between, or none of it.
//!
//! A signal may reach one of two processes only. Each tells the other which file it goes by, and
//! who sees another one there reads the file for itself, the same way.

use super::config::{self, Config, ConfigError, Stamp, Terms, Wins};
use super::discovery::Discovery;
use super::engine::Engine;
use super::limits::{Caps, Limits};
use super::seat::Seat;
use super::server::Server;
use crate::log;
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
pub struct Reload {
    server: Rc<Server>,
    engine: Rc<Engine>,
    discovery: Rc<Discovery>,
    seat: Option<Rc<Seat>>,
    limits: Cell<Limits>,
    /// Descriptors for other use than clients and backends.
    kept: usize,
    /// What stays as it was at the start.
    listen: SocketAddr,
    management: Option<SocketAddr>,
    /// Another process is there.
    beside: Cell<bool>,
    /// The file that was looked at last.
    stamp: Cell<Option<Stamp>>,
    /// Of the file that was taken over last.
    digest: Cell<u64>,
}

impl Reload {
    /// One for what was started by this configuration, the file of which had this stamp.
    pub fn new(
        config: &Config,
        stamp: Option<Stamp>,
        kept: usize,
        server: Rc<Server>,
        engine: Rc<Engine>,
        discovery: Rc<Discovery>,
        seat: Option<Rc<Seat>>,
    ) -> Self {
        let reload = Self {
            server,
            engine,
            discovery,
            beside: Cell::new(seat.as_ref().is_some_and(|seat| seat.shared())),
            seat,
            limits: Cell::new(config.limits),
            kept,
            listen: config.listen,
            management: config.management,
            stamp: Cell::new(stamp),
            digest: Cell::new(config.digest),
        };
        reload.tell();
        reload
    }

    /// SIGHUP has come.
    pub fn signalled(&self) {
        self.read(Cause::Signal);
    }

    /// Looks whether another process is there, and by what it goes.
    pub fn look(&self) {
        let Some(seat) = &self.seat else {
            return;
        };
        let shared = seat.shared();
        self.keep_to(shared);
        self.engine.beside(shared);
        let gone = self.beside.replace(shared) && !shared;
        // One file is read once, whatever is found in it: a bad one doesn't get better.
        if (gone || seat.differs(&self.edition())) && config::stamp() != self.stamp.get() {
            self.read(Cause::Other);
        }
    }

    fn keep_to(&self, shared: bool) {
        self.server.keep_to(Caps::new(self.limits.get().part(shared), self.kept));
    }

    fn read(&self, cause: Cause) {
        // Before it is read: what comes meanwhile has another one.
        self.stamp.set(config::stamp());
        if let Err(error) = Config::from_env(Wins::File).and_then(|config| self.take_over(config, cause)) {
            self.engine.figures().refused();
            log!("dewpier: not reloaded: {error}");
        }
    }

    /// Takes all of it over, unless it is from before what is in force.
    fn take_over(&self, config: Config, cause: Cause) -> Result<(), ConfigError> {
        let mut terms = config.terms;
        terms.settings.zone = self.discovery.zone(&terms.wire.zone);
        let old = self.engine.terms();
        terms.follow(&old)?;
        let settled = terms != *old;
        if settled {
            self.engine.settle(terms);
            self.discovery.settle();
            log!("dewpier: new settings in force{}", version(&self.engine.terms()));
        }
        let limited = self.limits.replace(config.limits) != config.limits;
        if limited {
            self.keep_to(self.beside.get());
        }
        // A signal that changes nothing else asks for the list anew, as it always has.
        let again = cause == Cause::Signal && !settled && !limited;
        if self.discovery.address() != config.discovery || again {
            self.discovery.move_to(config.discovery);
        }
        if (config.listen, config.management) != (self.listen, self.management) {
            log!("dewpier: listen and management stay as they are until the next start");
        }
        self.digest.set(config.digest);
        self.tell();
        Ok(())
    }

    /// The file that this process goes by, in the words that the other one compares.
    fn edition(&self) -> String {
        format!("{:016x}{}\n", self.digest.get(), version(&self.engine.terms()))
    }

    fn tell(&self) {
        if let Some(seat) = &self.seat {
            let told = seat.tell(&self.edition());
            told.unwrap_or_else(|error| log!("dewpier: the other process is not told of settings: {error}"));
        }
    }
}

fn version(terms: &Terms) -> String {
    terms.wire.version.map_or_else(String::new, |version| format!(", version {version}"))
}
