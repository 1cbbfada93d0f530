//! Names and fixed contents of the files in `$TMPDIR` that the processes of one listen address share.
//!
//! During an upgrade a process of the old version and one of the new version run on the same address.
//! Each finds the other, its settings and the backends in maintenance through these files. Names and
//! contents are therefore an interface between versions: none of them may change, although some of
//! them use terms that the code no longer uses.
//!
//! | File | Written by | Content |
//! |---|---|---|
//! | `dewpier-LISTEN.seat-0`, `.seat-1` | [`InstanceLock`] | empty, or [`LISTENING_MARK`] |
//! | `dewpier-LISTEN.seat-0.settings`, `.seat-1.settings` | [`InstanceLock`] | fingerprint of the settings |
//! | `dewpier-LISTEN.seat-0.listener`, `.seat-1.listener` | [`ListenerOffer`] | a Unix socket |
//! | `dewpier-LISTEN.seat-0.ids`, `.seat-1.ids` | [`UsedRequestIds`] | claims of request ids, 16 bytes each |
//! | `dewpier-LISTEN.book` | [`MaintenanceStore`] | the maintenance record as JSON |
//! | `dewpier-LISTEN.book.lock` | [`MaintenanceStore`] | empty |
//! | `dewpier-LISTEN.book.new-PID` | [`MaintenanceStore`] | the next record, until it is renamed |
//!
//! [`InstanceLock`]: super::instance_lock::InstanceLock
//! [`ListenerOffer`]: super::listener_handover::ListenerOffer
//! [`MaintenanceStore`]: super::maintenance_store::MaintenanceStore
//! [`UsedRequestIds`]: super::used_request_ids::UsedRequestIds

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Content of the lock file of a process that accepts connections. The other process compares the
/// whole content with this mark.
pub const LISTENING_MARK: &str = "listening";

/// Prefix of all file names, which is the former name of the program.
const FILE_NAME_PREFIX: &str = "dewpier-";
const INSTANCE_LOCK_EXTENSIONS: [&str; 2] = ["seat-0", "seat-1"];
const PUBLISHED_SETTINGS_EXTENSION: &str = "settings";
const LISTENER_OFFER_EXTENSION: &str = "listener";
const USED_REQUEST_IDS_EXTENSION: &str = "ids";
const MAINTENANCE_RECORD_EXTENSION: &str = "book";
const MAINTENANCE_LOCK_EXTENSION: &str = "lock";
const MAINTENANCE_STAGING_EXTENSION_PREFIX: &str = "new-";

/// Returns the common prefix of the paths of all shared files of a listen address. The files are in the
/// temporary folder of the system.
#[must_use]
pub fn base_path(listen: SocketAddr) -> PathBuf {
    std::env::temp_dir().join(format!("{FILE_NAME_PREFIX}{listen}"))
}

/// Returns the paths of the two lock files of an address. A process locks one of the files for as long
/// as it runs.
#[must_use]
pub fn instance_lock_paths(base: &Path) -> [PathBuf; 2] {
    INSTANCE_LOCK_EXTENSIONS.map(|extension| base.with_added_extension(extension))
}

/// Returns the path of the file in which the holder of a lock file publishes the fingerprint of its
/// settings. The fingerprint has a separate file, as other versions compare the whole content of the
/// lock file with [`LISTENING_MARK`].
#[must_use]
pub fn published_settings_path(instance_lock_path: &Path) -> PathBuf {
    instance_lock_path.with_added_extension(PUBLISHED_SETTINGS_EXTENSION)
}

/// Returns the path of the Unix socket on which the holder of a lock file offers its listener.
#[must_use]
pub fn listener_offer_path(instance_lock_path: &Path) -> PathBuf {
    instance_lock_path.with_added_extension(LISTENER_OFFER_EXTENSION)
}

/// Returns the path of the file in which the holder of a lock file records the request ids that it has
/// claimed.
#[must_use]
pub fn used_request_ids_path(instance_lock_path: &Path) -> PathBuf {
    instance_lock_path.with_added_extension(USED_REQUEST_IDS_EXTENSION)
}

/// Returns the path of the file with the maintenance record.
#[must_use]
pub fn maintenance_record_path(base: &Path) -> PathBuf {
    base.with_added_extension(MAINTENANCE_RECORD_EXTENSION)
}

/// Returns the path of the file whose lock serializes changes of the maintenance record.
#[must_use]
pub fn maintenance_lock_path(record_path: &Path) -> PathBuf {
    record_path.with_added_extension(MAINTENANCE_LOCK_EXTENSION)
}

/// Returns the path of the file to which a process writes the next maintenance record, before it
/// replaces the current record by renaming.
#[must_use]
pub fn maintenance_staging_path(record_path: &Path, process_id: u32) -> PathBuf {
    record_path.with_added_extension(format!("{MAINTENANCE_STAGING_EXTENSION_PREFIX}{process_id}"))
}
