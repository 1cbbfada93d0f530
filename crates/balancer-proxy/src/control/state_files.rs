//! Names and fixed contents of the files in `$TMPDIR` that the processes of one listen address share.
//!
//! During an upgrade a process of the old version and one of the new version run on the same address.
//! Each finds the other, its settings and the backends in maintenance through these files. Names and
//! contents are therefore an interface between versions: none of them may change, although some of
//! them use words that the code itself no longer uses.
//!
//! | File | Written by | Content |
//! |---|---|---|
//! | `dewpier-LISTEN.seat-0`, `.seat-1` | [`InstanceLock`] | empty, or [`LISTENING_MARK`] |
//! | `dewpier-LISTEN.seat-0.settings`, `.seat-1.settings` | [`InstanceLock`] | fingerprint of the settings |
//! | `dewpier-LISTEN.book` | [`MaintenanceStore`] | [`MaintenanceRecord`] as JSON |
//! | `dewpier-LISTEN.book.lock` | [`MaintenanceStore`] | empty |
//! | `dewpier-LISTEN.book.new-PID` | [`MaintenanceStore`] | the next record, until it is renamed |
//!
//! [`InstanceLock`]: super::instance_lock::InstanceLock
//! [`MaintenanceStore`]: super::maintenance_store::MaintenanceStore
//! [`MaintenanceRecord`]: super::maintenance_record::MaintenanceRecord

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Content of the lock file of a process that accepts connections. The other process compares the
/// whole content with it.
pub const LISTENING_MARK: &str = "listening";

/// Start of all file names: the name that the program once had.
const FILE_NAME_PREFIX: &str = "dewpier-";
const INSTANCE_LOCK_EXTENSIONS: [&str; 2] = ["seat-0", "seat-1"];
const PUBLISHED_SETTINGS_EXTENSION: &str = "settings";
const MAINTENANCE_RECORD_EXTENSION: &str = "book";
const MAINTENANCE_LOCK_EXTENSION: &str = "lock";
const MAINTENANCE_STAGING_EXTENSION_PREFIX: &str = "new-";

/// The path that all shared files of a listen address start with, in the system's temporary folder.
#[must_use]
pub fn base_path(listen: SocketAddr) -> PathBuf {
    std::env::temp_dir().join(format!("{FILE_NAME_PREFIX}{listen}"))
}

/// The two lock files of an address. A process holds one of them for as long as it runs.
#[must_use]
pub fn instance_lock_paths(base: &Path) -> [PathBuf; 2] {
    INSTANCE_LOCK_EXTENSIONS.map(|extension| base.with_added_extension(extension))
}

/// The file in which the holder of a lock file publishes the settings that it uses. They have a file
/// of their own, because older versions compare the lock file's content with [`LISTENING_MARK`].
#[must_use]
pub fn published_settings_path(instance_lock_path: &Path) -> PathBuf {
    instance_lock_path.with_added_extension(PUBLISHED_SETTINGS_EXTENSION)
}

/// The file that records which backends are in maintenance.
#[must_use]
pub fn maintenance_record_path(base: &Path) -> PathBuf {
    base.with_added_extension(MAINTENANCE_RECORD_EXTENSION)
}

/// The file whose lock serializes changes of the maintenance record.
#[must_use]
pub fn maintenance_lock_path(record_path: &Path) -> PathBuf {
    record_path.with_added_extension(MAINTENANCE_LOCK_EXTENSION)
}

/// The file to which a process writes the next maintenance record before it replaces the current one.
#[must_use]
pub fn maintenance_staging_path(record_path: &Path, process_id: u32) -> PathBuf {
    record_path.with_added_extension(format!("{MAINTENANCE_STAGING_EXTENSION_PREFIX}{process_id}"))
}
