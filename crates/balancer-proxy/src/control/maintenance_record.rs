//! The maintenance record: the backends that were ever listed, and those in maintenance.

use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Whether operators have taken a backend out of service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MaintenanceState {
    /// The backend receives no new requests.
    InMaintenance,
    /// The backend receives requests as its health and the endpoint list allow.
    InService,
}

/// The content of the maintenance store, saved as JSON.
///
/// Processes of other versions read and write the same file, so the keys `listed` and `out` must not change
/// (see [`state_files`](super::state_files)).
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MaintenanceRecord {
    /// Ids of all backends that discovery has ever listed.
    #[serde(rename = "listed")]
    pub ever_listed: BTreeSet<String>,
    /// Ids of the backends in maintenance.
    #[serde(rename = "out")]
    pub in_maintenance: BTreeSet<String>,
}

impl MaintenanceRecord {
    /// Sets the state of the backend with this id. Setting the same state again changes nothing.
    pub fn set_state(&mut self, backend: &str, state: MaintenanceState) {
        match state {
            MaintenanceState::InMaintenance => self.in_maintenance.insert(backend.to_string()),
            MaintenanceState::InService => self.in_maintenance.remove(backend),
        };
    }
}
