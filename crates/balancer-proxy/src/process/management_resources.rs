//! The listener and the state files that only a proxy with a management address has.

use crate::control::instance_lock::InstanceLock;
use crate::control::maintenance_store::MaintenanceStore;
use crate::control::{management, state_files};
use crate::log;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use tokio::net::TcpListener;

/// The resources that only a proxy with a management address has.
pub(super) struct ManagementResources {
    /// The listener of the management address.
    pub(super) listener: TcpListener,
    /// The lock that detects a second process on the listen address. `None` if the lock files cannot be used:
    /// the proxy then runs as if it were the only process.
    pub(super) instance_lock: Option<Rc<InstanceLock>>,
    /// The store of the backends in maintenance.
    pub(super) maintenance_store: Rc<MaintenanceStore>,
}

impl ManagementResources {
    /// Binds the management address, acquires the instance lock of the `listen` address and opens its
    /// maintenance store.
    ///
    /// # Errors
    ///
    /// Returns an error if the management address cannot be bound.
    pub(super) async fn open(management: SocketAddr, listen: SocketAddr) -> io::Result<Self> {
        let listener = management::bind(management).await?;
        log!("balancer-proxy: management on {}", listener.local_addr()?);
        let base = state_files::base_path(listen);
        let instance_lock = match InstanceLock::acquire(&base).await {
            Ok(lock) => Some(Rc::new(lock)),
            Err(error) => {
                log_state_file_error(&base, &error);
                None
            }
        };
        let maintenance_store = MaintenanceStore::open(&base);
        Ok(Self { listener, instance_lock, maintenance_store })
    }
}

/// Announces to the other process that this process accepts connections. Without the announcement the
/// other process treats this process as absent and keeps accepting connections.
pub(super) fn announce_listening(instance_lock: &InstanceLock, listen: SocketAddr) {
    if let Err(error) = instance_lock.announce_listening() {
        log_state_file_error(&state_files::base_path(listen), &error);
    }
}

/// Logs that the instance lock files whose paths start with `base` cannot be used.
fn log_state_file_error(base: &Path, error: &io::Error) {
    log!(
        "balancer-proxy: cannot use lock files {}.*: {error}; two processes might not detect each other",
        base.display()
    );
}
