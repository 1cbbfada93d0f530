//! Applies the maintenance record to the engine: at the start, after each maintenance call, and after
//! each change of the record by another process on the same listen address.

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

/// Interval between two checks of the store for changes by another process.
const STORE_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The error of a maintenance call for a backend that discovery has never listed. The field is the id
/// in the call.
#[derive(Debug, Error, PartialEq, Eq)]
#[error("never listed: {0}")]
pub struct NeverListed(pub String);

/// Keeps the engine up to date with the maintenance store.
pub struct Maintenance {
    store: Rc<MaintenanceStore>,
    discovery: Rc<Discovery>,
    engine: Rc<Engine>,
    /// Ids of the backends in maintenance as of the last notification of the engine.
    applied_in_maintenance: RefCell<BTreeSet<String>>,
}

impl Maintenance {
    /// Notifies the engine of the backends in maintenance, and spawns a task that notifies the engine of each
    /// later change.
    ///
    /// # Panics
    ///
    /// Panics outside of a [`tokio::task::LocalSet`], on which the task is spawned.
    pub fn start(store: Rc<MaintenanceStore>, discovery: Rc<Discovery>, engine: Rc<Engine>) -> Rc<Self> {
        let maintenance =
            Rc::new(Self { store, discovery, engine, applied_in_maintenance: RefCell::default() });
        maintenance.notify_engine();
        tokio::task::spawn_local(maintenance.clone().poll_store());
        maintenance
    }

    /// Puts a backend into maintenance or back into service, and saves the change. Setting the same
    /// state again changes nothing.
    ///
    /// # Errors
    ///
    /// Returns [`NeverListed`] if discovery has never listed the backend to any process on this address.
    pub async fn set_state(&self, backend: &str, state: MaintenanceState) -> Result<(), NeverListed> {
        self.store.refresh();
        if !self.store.record().ever_listed.contains(backend) {
            return Err(NeverListed(backend.to_string()));
        }
        self.store.set_state(backend, state).await;
        self.notify_engine();
        Ok(())
    }

    /// Periodically reads changes by another process and saves changes by this process. Never returns.
    async fn poll_store(self: Rc<Self>) {
        loop {
            tokio::time::sleep(STORE_POLL_INTERVAL).await;
            self.store.refresh();
            self.store.save_pending().await;
            self.notify_engine();
        }
    }

    /// Notifies the engine of the differences between the record and the state applied last.
    fn notify_engine(&self) {
        let in_maintenance = self.store.record().in_maintenance.clone();
        let previous = self.applied_in_maintenance.replace(in_maintenance.clone());
        for backend in previous.symmetric_difference(&in_maintenance) {
            let is_in_maintenance = in_maintenance.contains(backend);
            let change = if is_in_maintenance { MaintenanceChange::Begins } else { MaintenanceChange::Ends };
            let id = self.discovery.backend_id(backend);
            self.engine.change_maintenance(id, change);
        }
    }
}
