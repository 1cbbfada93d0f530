//! Settings that change while the proxy runs: the file is read and checked whole, then all of it is
//! taken over in one turn, with no wait in between, or none of it.

use super::config::{Config, ConfigError, Terms, Wins};
use super::discovery::Discovery;
use super::engine::Engine;
use super::limits::{Caps, Limits};
use super::seat::Seat;
use super::server::Server;
use crate::log;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

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
}

impl Reload {
    /// One for what was started by this configuration.
    pub fn new(
        config: &Config,
        kept: usize,
        server: Rc<Server>,
        engine: Rc<Engine>,
        discovery: Rc<Discovery>,
        seat: Option<Rc<Seat>>,
    ) -> Self {
        Self {
            server,
            engine,
            discovery,
            beside: Cell::new(seat.as_ref().is_some_and(|seat| seat.shared())),
            seat,
            limits: Cell::new(config.limits),
            kept,
            listen: config.listen,
            management: config.management,
        }
    }

    /// SIGHUP has come.
    pub fn signalled(&self) {
        if let Err(error) = Config::from_env(Wins::File).and_then(|config| self.take_over(config)) {
            self.engine.figures().refused();
            log!("dewpier: not reloaded: {error}");
        }
    }

    /// Looks whether another process is there.
    pub fn look(&self) {
        let Some(seat) = &self.seat else {
            return;
        };
        let shared = seat.shared();
        self.keep_to(shared);
        self.engine.beside(shared);
        self.beside.set(shared);
    }

    fn keep_to(&self, shared: bool) {
        self.server.keep_to(Caps::new(self.limits.get().part(shared), self.kept));
    }

    /// Takes all of it over, unless it is from before what is in force.
    fn take_over(&self, config: Config) -> Result<(), ConfigError> {
        let mut terms = config.terms;
        terms.settings.zone = self.discovery.zone(&terms.wire.zone);
        let old = self.engine.terms();
        terms.follow(&old)?;
        let changed = terms != *old;
        if changed {
            self.engine.settle(terms);
            self.discovery.settle(&self.engine.terms().settings);
            log!("dewpier: new settings in force{}", version(&self.engine.terms()));
        }
        if self.limits.replace(config.limits) != config.limits {
            self.keep_to(self.beside.get());
        }
        // A signal that changes nothing else asks for the list anew, as it always has.
        if self.discovery.address() != config.discovery || !changed {
            self.discovery.move_to(config.discovery);
        }
        if (config.listen, config.management) != (self.listen, self.management) {
            log!("dewpier: listen and management stay as they are until the next start");
        }
        Ok(())
    }
}

fn version(terms: &Terms) -> String {
    terms.wire.version.map_or_else(String::new, |version| format!(", version {version}"))
}
