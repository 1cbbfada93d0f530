//! The instance lock: detects a second process on the same listen address during an upgrade.
//!
//! Each process holds an advisory lock on one of two files. The operating system releases the lock when
//! the process ends for any reason, so that files left behind by a killed process have no effect. A
//! process publishes the fingerprint of its settings in a file next to its lock file. The fingerprint is
//! valid only while the lock is held. Other versions of the program use the same files: see
//! [`state_files`].

use super::state_files::{self, LISTENING_MARK};
use crate::limits::OtherProcess;
use std::fs::{File, OpenOptions, TryLockError};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Number of attempts to acquire a lock before a process runs without a lock. A single attempt is not
/// enough, as it fails while another process locks the file briefly to check for other processes.
const MAX_ACQUIRE_ATTEMPTS: usize = 20;
/// Pause between two attempts to acquire a lock.
const ACQUIRE_RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// The lock of this process, which is held until it is dropped, and the lock files of other processes.
pub struct InstanceLock {
    /// The lock of this process. `None` if two other processes hold both locks: a third process runs
    /// without a lock.
    held: Option<HeldLock>,
    /// The lock files that other processes may hold: one, or both if `held` is `None`.
    other_paths: Vec<PathBuf>,
}

/// A lock file that this process has locked.
struct HeldLock {
    /// The open lock file. The operating system releases the lock when the file is closed.
    file: File,
    /// The file in which this process publishes the fingerprint of its settings.
    settings_path: PathBuf,
    /// The Unix socket on which this process may offer its listener.
    listener_offer_path: PathBuf,
    /// The file in which this process records the request ids that it has claimed.
    used_request_ids_path: PathBuf,
}

impl InstanceLock {
    /// Acquires one of the two locks whose paths start with `base`. If other processes hold both locks, the
    /// returned value holds no lock, and still detects both processes.
    ///
    /// # Errors
    ///
    /// Returns an error if a file cannot be opened, locked or written.
    pub async fn acquire(base: &Path) -> io::Result<Self> {
        let paths = state_files::instance_lock_paths(base);
        for _ in 0..MAX_ACQUIRE_ATTEMPTS {
            if let Some(lock) = Self::try_acquire(&paths)? {
                return Ok(lock);
            }
            tokio::time::sleep(ACQUIRE_RETRY_INTERVAL).await;
        }
        Ok(Self { held: None, other_paths: paths.to_vec() })
    }

    fn try_acquire(paths: &[PathBuf; 2]) -> io::Result<Option<Self>> {
        for own_path in paths {
            if let Some(held) = HeldLock::try_acquire(own_path)? {
                let other_paths = paths.iter().filter(|path| *path != own_path).cloned().collect();
                return Ok(Some(Self { held: Some(held), other_paths }));
            }
        }
        Ok(None)
    }

    /// Announces to other processes that this process accepts connections. Does nothing in a process
    /// without a lock.
    ///
    /// # Errors
    ///
    /// Returns an error if the lock file cannot be written.
    pub fn announce_listening(&self) -> io::Result<()> {
        match &self.held {
            Some(held) => (&held.file).write_all(LISTENING_MARK.as_bytes()),
            None => Ok(()),
        }
    }

    /// Publishes the fingerprint of the configuration file in force to other processes. Does nothing in a
    /// process without a lock.
    ///
    /// # Errors
    ///
    /// Returns an error if the file of published settings cannot be written.
    pub fn publish_fingerprint(&self, fingerprint: &str) -> io::Result<()> {
        match &self.held {
            Some(held) => std::fs::write(&held.settings_path, fingerprint),
            None => Ok(()),
        }
    }

    /// Returns whether another process runs and has published a fingerprint that differs from
    /// `fingerprint`. A partly written fingerprint counts as different.
    #[must_use]
    pub fn other_settings_differ(&self, fingerprint: &str) -> bool {
        self.other_paths.iter().any(|path| publishes_other_settings(path, fingerprint) && is_locked(path))
    }

    /// Returns whether another process runs. A process that cannot be detected counts as absent.
    #[must_use]
    pub fn other_process(&self) -> OtherProcess {
        if self.other_paths.iter().any(|path| is_locked(path)) {
            OtherProcess::Running
        } else {
            OtherProcess::Absent
        }
    }

    /// Returns the path of the Unix socket on which this process may offer its listener, or `None` in a
    /// process without a lock.
    #[must_use]
    pub fn own_listener_offer_path(&self) -> Option<PathBuf> {
        self.held.as_ref().map(|held| held.listener_offer_path.clone())
    }

    /// Returns the paths of the Unix sockets on which other processes offer their listeners.
    #[must_use]
    pub fn other_listener_offer_paths(&self) -> Vec<PathBuf> {
        let running = self.other_paths.iter().filter(|path| is_locked(path));
        running.map(|path| state_files::listener_offer_path(path)).collect()
    }

    /// Returns the path of the file in which this process records the request ids that it has claimed, or
    /// `None` in a process without a lock.
    #[must_use]
    pub fn own_used_request_ids_path(&self) -> Option<PathBuf> {
        self.held.as_ref().map(|held| held.used_request_ids_path.clone())
    }

    /// Returns the paths of the files in which other processes record the request ids that they have claimed,
    /// also those of processes that have ended.
    #[must_use]
    pub fn other_used_request_ids_paths(&self) -> Vec<PathBuf> {
        self.other_paths.iter().map(|path| state_files::used_request_ids_path(path)).collect()
    }

    /// Returns whether another process runs and accepts connections.
    #[must_use]
    pub fn other_is_listening(&self) -> bool {
        self.other_paths.iter().any(|path| is_locked(path) && has_listening_mark(path))
    }
}

impl HeldLock {
    /// Locks the file at `path`, unless another process holds the lock, and clears the listening mark
    /// and the fingerprint of the previous holder.
    fn try_acquire(path: &Path) -> io::Result<Option<Self>> {
        let file = open_lock_file(path)?;
        match file.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => return Ok(None),
            Err(TryLockError::Error(error)) => return Err(error),
        }
        file.set_len(0)?;
        let settings_path = state_files::published_settings_path(path);
        std::fs::write(&settings_path, "")?;
        let listener_offer_path = state_files::listener_offer_path(path);
        let used_request_ids_path = state_files::used_request_ids_path(path);
        Ok(Some(Self { file, settings_path, listener_offer_path, used_request_ids_path }))
    }
}

fn open_lock_file(path: &Path) -> io::Result<File> {
    OpenOptions::new().read(true).write(true).create(true).truncate(false).open(path)
}

/// Returns whether another process holds the lock of the file at `path`.
fn is_locked(path: &Path) -> bool {
    open_lock_file(path).is_ok_and(|file| matches!(file.try_lock_shared(), Err(TryLockError::WouldBlock)))
}

/// Returns whether the holder of the lock has announced that it accepts connections.
fn has_listening_mark(path: &Path) -> bool {
    std::fs::read_to_string(path).is_ok_and(|text| text == LISTENING_MARK)
}

/// Returns whether the holder of the lock has published a fingerprint other than `fingerprint`. An empty file
/// counts as no fingerprint.
fn publishes_other_settings(path: &Path, fingerprint: &str) -> bool {
    std::fs::read_to_string(state_files::published_settings_path(path))
        .is_ok_and(|published| !published.is_empty() && published != fingerprint)
}
