//! The maintenance store: keeps the maintenance record in a file that outlives the process and is shared
//! by the processes of one listen address.
//!
//! The store owns the copy of the record in this process. To change the record, the store locks it, reads the
//! file again, applies the change and replaces the whole file. A store that cannot read or write its file
//! uses the copy, and saves the copy as soon as the file can be written. The file is shared with other
//! versions of the program: see [`state_files`].

use super::maintenance_record::{MaintenanceRecord, MaintenanceState};
use super::state_files;
use crate::log;
use std::cell::{Cell, Ref, RefCell};
use std::fs::{File, Metadata, OpenOptions};
use std::io;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Longest wait for the lock of the record, which is usually held only briefly. After this time a process
/// changes the record without the lock, as a suspended holder would otherwise block the maintenance calls
/// to the other process.
const LOCK_TIMEOUT: Duration = Duration::from_millis(300);
/// Pause between two attempts to acquire the lock of the record.
const LOCK_RETRY_INTERVAL: Duration = Duration::from_millis(5);

/// The copy of the maintenance record in this process, and the file of the record.
pub struct MaintenanceStore {
    /// The file of the record.
    path: PathBuf,
    /// The copy of the record in this process.
    record: RefCell<MaintenanceRecord>,
    /// The stamp of the file that was read or written last; `None` before the first read or write.
    last_file_stamp: Cell<Option<FileStamp>>,
    /// Whether the copy has content that the file lacks.
    has_unsaved_changes: Cell<bool>,
    /// Whether the last write failed. Only the first of several consecutive failures is logged, as the poll
    /// of the store writes ten times a second.
    last_write_failed: Cell<bool>,
}

/// The identity of a file and its modification time, which together differ after each replacement.
#[derive(Clone, Copy, PartialEq, Eq)]
struct FileStamp {
    inode: u64,
    modified_seconds: i64,
    modified_nanoseconds: i64,
}

impl From<&Metadata> for FileStamp {
    fn from(metadata: &Metadata) -> Self {
        Self {
            inode: metadata.ino(),
            modified_seconds: metadata.mtime(),
            modified_nanoseconds: metadata.mtime_nsec(),
        }
    }
}

impl MaintenanceStore {
    /// Opens the store whose paths start with `base`. A record that is missing or malformed counts as
    /// empty.
    #[must_use]
    pub fn open(base: &Path) -> Rc<Self> {
        let store = Self {
            path: state_files::maintenance_record_path(base),
            record: RefCell::default(),
            last_file_stamp: Cell::new(None),
            has_unsaved_changes: Cell::new(false),
            last_write_failed: Cell::new(false),
        };
        store.refresh();
        Rc::new(store)
    }

    /// Returns the copy of the record in this process.
    pub(super) fn record(&self) -> Ref<'_, MaintenanceRecord> {
        self.record.borrow()
    }

    /// Records that discovery has listed these backends. The next poll saves the change.
    pub fn record_listed<'a>(&self, backends: impl Iterator<Item = &'a str>) {
        let ever_listed = &mut self.record.borrow_mut().ever_listed;
        for backend in backends {
            if !ever_listed.contains(backend) {
                ever_listed.insert(backend.to_string());
                self.has_unsaved_changes.set(true);
            }
        }
    }

    /// Reads the file if another process has replaced it since this store last read or wrote it.
    pub(super) fn refresh(&self) {
        let current = std::fs::metadata(&self.path).ok().as_ref().map(FileStamp::from);
        if current.is_some() && current == self.last_file_stamp.get() {
            return;
        }
        if let Ok(saved) = self.load() {
            self.last_file_stamp.set(current);
            self.merge(saved);
        } else {
            // The copy is still valid, and the next save replaces the missing or malformed file.
            let is_empty = *self.record.borrow() == MaintenanceRecord::default();
            self.has_unsaved_changes.set(!is_empty);
        }
    }

    /// Sets the state of the backend with this id, and saves the record.
    pub(super) async fn set_state(&self, backend: &str, state: MaintenanceState) {
        self.update(|record| record.set_state(backend, state)).await;
    }

    /// Saves the record if it has content that the file lacks.
    pub(super) async fn save_pending(&self) {
        if self.has_unsaved_changes.get() {
            self.update(|_| ()).await;
        }
    }

    /// Changes the record in memory and in the file. If the file cannot be written, the failure is logged and
    /// the change applies to this process only.
    async fn update(&self, change: impl FnOnce(&mut MaintenanceRecord)) {
        let lock = self.lock().await;
        if let Ok(saved) = self.load() {
            self.merge(saved);
        }
        change(&mut self.record.borrow_mut());
        let result = self.save();
        self.has_unsaved_changes.set(result.is_err());
        self.log_first_failure(result);
        drop(lock);
    }

    fn log_first_failure(&self, result: io::Result<()>) {
        let previous_write_failed = self.last_write_failed.replace(result.is_err());
        if let Err(error) = result
            && !previous_write_failed
        {
            log!(
                "maintenance: cannot write {}: {error}; changes stay in this process until a write succeeds",
                self.path.display()
            );
        }
    }

    fn load(&self) -> io::Result<MaintenanceRecord> {
        let text = std::fs::read(&self.path)?;
        Ok(serde_json::from_slice(&text)?)
    }

    /// Merges the record that was read from the file into the one in memory: the maintenance states of
    /// the file replace those in memory, and the listed backends of both are kept.
    fn merge(&self, saved: MaintenanceRecord) {
        let mut record = self.record.borrow_mut();
        let file_lacks_backends = !record.ever_listed.is_subset(&saved.ever_listed);
        self.has_unsaved_changes.set(file_lacks_backends);
        record.ever_listed.extend(saved.ever_listed);
        record.in_maintenance = saved.in_maintenance;
    }

    /// Replaces the file in one step, so that no process ever reads an incomplete record.
    fn save(&self) -> io::Result<()> {
        let staging_path = state_files::maintenance_staging_path(&self.path, std::process::id());
        std::fs::write(&staging_path, serde_json::to_vec(&*self.record.borrow())?)?;
        let written = FileStamp::from(&std::fs::metadata(&staging_path)?);
        std::fs::rename(&staging_path, &self.path)?;
        self.last_file_stamp.set(Some(written));
        Ok(())
    }

    /// Waits for the lock of the record and returns the lock file, which holds the lock until the file is
    /// dropped. If the wait takes longer than [`LOCK_TIMEOUT`], the returned file does not hold the lock.
    async fn lock(&self) -> io::Result<File> {
        let path = state_files::maintenance_lock_path(&self.path);
        let file = OpenOptions::new().write(true).create(true).truncate(false).open(path)?;
        let start = Instant::now();
        while file.try_lock().is_err() && start.elapsed() < LOCK_TIMEOUT {
            tokio::time::sleep(LOCK_RETRY_INTERVAL).await;
        }
        Ok(file)
    }
}

#[cfg(test)]
mod tests;
