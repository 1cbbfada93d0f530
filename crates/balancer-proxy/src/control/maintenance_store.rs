//! The maintenance store: the maintenance record in a file that outlasts a process and is shared by
//! the processes of one listen address.
//!
//! It owns this process's copy of the record. Every change is made under the file's lock, on the
//! record that the file has then, and replaces the file as a whole. A store that can't read or write
//! its file works from its copy and saves it as soon as that succeeds. The file is shared with other
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

/// The store's lock is held for moments only. A process that can't get it for this long goes on without
/// it: a holder that is stopped must not keep a maintenance call from the other process.
const LOCK_TIMEOUT: Duration = Duration::from_millis(300);
const LOCK_RETRY_INTERVAL: Duration = Duration::from_millis(5);

/// This process's copy of the maintenance record, and its file.
pub struct MaintenanceStore {
    path: PathBuf,
    record: RefCell<MaintenanceRecord>,
    /// The file that was read or written last.
    last_seen: Cell<Option<FileVersion>>,
    /// The record has content that the file lacks.
    unsaved: Cell<bool>,
    /// The last write failed. The failure is logged once, not at each poll.
    failing: Cell<bool>,
}

/// Distinguishes a file from the one that it replaced.
#[derive(Clone, Copy, PartialEq, Eq)]
struct FileVersion {
    inode: u64,
    modified_seconds: i64,
    modified_nanoseconds: i64,
}

impl From<&Metadata> for FileVersion {
    fn from(metadata: &Metadata) -> Self {
        Self {
            inode: metadata.ino(),
            modified_seconds: metadata.mtime(),
            modified_nanoseconds: metadata.mtime_nsec(),
        }
    }
}

impl MaintenanceStore {
    /// Opens the store whose files start with `base`. A record that is missing or incomplete counts
    /// as empty.
    #[must_use]
    pub fn open(base: &Path) -> Rc<Self> {
        let store = Self {
            path: state_files::maintenance_record_path(base),
            record: RefCell::default(),
            last_seen: Cell::new(None),
            unsaved: Cell::new(false),
            failing: Cell::new(false),
        };
        store.refresh();
        Rc::new(store)
    }

    /// The record as this process knows it.
    pub(super) fn record(&self) -> Ref<'_, MaintenanceRecord> {
        self.record.borrow()
    }

    /// Records that discovery has listed these backends. They are saved at the next poll.
    pub fn record_listed<'a>(&self, backends: impl Iterator<Item = &'a str>) {
        let ever_listed = &mut self.record.borrow_mut().ever_listed;
        for backend in backends {
            if !ever_listed.contains(backend) {
                ever_listed.insert(backend.to_string());
                self.unsaved.set(true);
            }
        }
    }

    /// Reads what the other process has written since the last call.
    pub(super) fn refresh(&self) {
        let current = std::fs::metadata(&self.path).ok().as_ref().map(FileVersion::from);
        if current.is_some() && current == self.last_seen.get() {
            return;
        }
        match self.load() {
            Ok(saved) => {
                self.last_seen.set(current);
                self.merge(saved);
            }
            // The record in memory outlasts the file.
            Err(_) => self.unsaved.set(*self.record.borrow() != MaintenanceRecord::default()),
        }
    }

    /// Sets the state of a backend, and saves it.
    pub(super) async fn set_state(&self, backend: &str, state: MaintenanceState) {
        self.update(|record| record.set_state(backend, state)).await;
    }

    /// Saves the record if the file lacks some of it.
    pub(super) async fn save_pending(&self) {
        if self.unsaved.get() {
            self.update(|_| ()).await;
        }
    }

    /// Changes the record in memory and in the file. If the file can't be written, that is logged and
    /// the change holds for this process alone.
    async fn update(&self, change: impl FnOnce(&mut MaintenanceRecord)) {
        let lock = self.lock().await;
        if let Ok(saved) = self.load() {
            self.merge(saved);
        }
        change(&mut self.record.borrow_mut());
        let result = self.save();
        self.unsaved.set(result.is_err());
        self.log_first_failure(result);
        drop(lock);
    }

    fn log_first_failure(&self, result: io::Result<()>) {
        let already_failing = self.failing.replace(result.is_err());
        if let Err(error) = result
            && !already_failing
        {
            log!("maintenance: {}: {error}", self.path.display());
        }
    }

    fn load(&self) -> io::Result<MaintenanceRecord> {
        let text = std::fs::read(&self.path)?;
        Ok(serde_json::from_slice(&text)?)
    }

    /// Merges a record from the file: its maintenance states hold, and names listed to either process
    /// are kept.
    fn merge(&self, saved: MaintenanceRecord) {
        let mut record = self.record.borrow_mut();
        self.unsaved.set(!record.ever_listed.is_subset(&saved.ever_listed));
        record.ever_listed.extend(saved.ever_listed);
        record.in_maintenance = saved.in_maintenance;
    }

    /// Replaces the file in one step, so that no process ever reads a part of it.
    fn save(&self) -> io::Result<()> {
        let staging_path = state_files::maintenance_staging_path(&self.path, std::process::id());
        std::fs::write(&staging_path, serde_json::to_vec(&*self.record.borrow())?)?;
        let written = FileVersion::from(&std::fs::metadata(&staging_path)?);
        std::fs::rename(&staging_path, &self.path)?;
        self.last_seen.set(Some(written));
        Ok(())
    }

    /// Waits for the lock of the record, which is held until the file is dropped. After
    /// [`LOCK_TIMEOUT`] it returns the file without the lock.
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
