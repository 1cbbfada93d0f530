//! Applies the maintenance record to the engine: at the start, at each maintenance call, and whenever
//! the other process of the same address has changed the record.

use super::discovery::Discovery;
use super::maintenance_record::MaintenanceState;
use super::maintenance_store::MaintenanceStore;
use crate::engine::Engine;
use balancer::MaintenanceChange;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;

/// How often the store is checked for changes by the other process.
const STORE_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// A maintenance call names a backend that discovery has never listed.
#[derive(Debug, Error, PartialEq, Eq)]
#[error("never listed: {0}")]
pub struct NeverListed(pub String);

/// Keeps the engine at what the maintenance store says.
pub struct Maintenance {
    store: Rc<MaintenanceStore>,
    discovery: Rc<Discovery>,
    engine: Rc<Engine>,
    /// Ids of the backends that the engine has in maintenance.
    notified: RefCell<BTreeSet<String>>,
}

impl Maintenance {
    /// Notifies the engine at once, and of each change from then on.
    pub fn start(store: Rc<MaintenanceStore>, discovery: Rc<Discovery>, engine: Rc<Engine>) -> Rc<Self> {
        let maintenance = Rc::new(Self { store, discovery, engine, notified: RefCell::default() });
        maintenance.notify_engine();
        tokio::task::spawn_local(maintenance.clone().poll_store());
        maintenance
    }

    /// Puts a backend into maintenance or back into service, and saves that. Setting the same state
    /// again changes nothing.
    ///
    /// # Errors
    ///
    /// Fails if no process of this address has ever had the backend listed.
    pub async fn set_state(&self, backend: &str, state: MaintenanceState) -> Result<(), NeverListed> {
        self.store.refresh();
        if !self.store.record().ever_listed.contains(backend) {
            return Err(NeverListed(backend.to_string()));
        }
        self.store.set_state(backend, state).await;
        self.notify_engine();
        Ok(())
    }

    async fn poll_store(self: Rc<Self>) {
        loop {
            tokio::time::sleep(STORE_POLL_INTERVAL).await;
            self.store.refresh();
            self.store.save_pending().await;
            self.notify_engine();
        }
    }

    fn notify_engine(&self) {
        let in_maintenance = self.store.record().in_maintenance.clone();
        let notified = self.notified.replace(in_maintenance.clone());
        for backend in notified.symmetric_difference(&in_maintenance) {
            let begins = in_maintenance.contains(backend);
            let change = if begins { MaintenanceChange::Begins } else { MaintenanceChange::Ends };
            self.engine.change_maintenance(self.discovery.backend_id(backend), change);
        }
    }
}
