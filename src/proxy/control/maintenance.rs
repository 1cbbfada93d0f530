//! Takes backends in and out of maintenance, as the maintenance store says.

use super::discovery::Discovery;
use super::maintenance_store::{MaintenanceRecord, MaintenanceStore};
use crate::proxy::engine::Engine;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;

/// How often the book is looked at for what the other process has written.
const BEAT: Duration = Duration::from_millis(100);

/// A call that can't be done.
#[derive(Debug, Error, PartialEq, Eq)]
#[error("never listed: {0}")]
pub struct NeverListed(pub String);

/// Tells the engine what the book says.
pub struct Maintenance {
    book: Rc<MaintenanceStore>,
    discovery: Rc<Discovery>,
    engine: Rc<Engine>,
    /// What the engine has been told.
    told: RefCell<BTreeSet<String>>,
}

impl Maintenance {
    /// Tells the engine at once, and from then on of each change.
    pub fn start(book: Rc<MaintenanceStore>, discovery: Rc<Discovery>, engine: Rc<Engine>) -> Rc<Self> {
        let maintenance = Rc::new(Self { book, discovery, engine, told: RefCell::default() });
        maintenance.notify_engine();
        tokio::task::spawn_local(maintenance.clone().follow());
        maintenance
    }

    /// Takes a backend out, or lets it serve again. Doing so twice changes nothing.
    pub async fn set_maintenance(&self, name: &str, out: bool) -> Result<(), NeverListed> {
        self.book.refresh();
        if !self.book.pages.borrow().listed.contains(name) {
            return Err(NeverListed(name.to_string()));
        }
        let change = |pages: &mut MaintenanceRecord| match out {
            true => drop(pages.out.insert(name.to_string())),
            false => drop(pages.out.remove(name)),
        };
        self.book.update(change).await;
        self.notify_engine();
        Ok(())
    }

    async fn follow(self: Rc<Self>) {
        loop {
            tokio::time::sleep(BEAT).await;
            self.book.refresh();
            if self.book.unsaved.get() {
                self.book.update(|_| ()).await;
            }
            self.notify_engine();
        }
    }

    fn notify_engine(&self) {
        let out = self.book.pages.borrow().out.clone();
        let told = self.told.replace(out.clone());
        for name in told.symmetric_difference(&out) {
            self.engine.set_maintenance(self.discovery.backend_id(name), out.contains(name));
        }
    }
}
