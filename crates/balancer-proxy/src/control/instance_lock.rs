//! The instance lock: detects a second process on the same listen address during an upgrade.
//!
//! Each process holds an advisory lock on one of two files. The operating system releases it however
//! the process ends, so that files left behind by a killed process have no effect. The settings that a
//! process uses are published in a file next to its lock file and count only while the lock is held.
//! The files are shared with other versions of the program: see [`state_files`].

use super::state_files::{self, LISTENING_MARK};
use crate::limits::OtherProcess;
use std::fs::{File, OpenOptions, TryLockError};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Number of attempts to acquire a lock before a process runs without a lock. A single attempt is not
/// enough: a process that checks for others locks the file for a moment, and the attempt then fails.
const MAX_ACQUIRE_ATTEMPTS: usize = 20;
/// Pause between two attempts to acquire a lock.
const ACQUIRE_RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// The lock of this process, held until it is dropped, and a view of the other process.
pub struct InstanceLock {
    /// The lock of this process. `None` if two other processes hold both locks, as a third process runs
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
}

impl InstanceLock {
    /// Acquires a free lock of the two whose paths start with `base`. If other processes keep both, the
    /// returned value holds no lock and detects both processes.
    ///
    /// # Errors
    ///
    /// Fails if a file can't be opened, locked or written.
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

    /// Announces to other processes that this one accepts connections. A process without a lock
    /// announces nothing.
    ///
    /// # Errors
    ///
    /// Fails if the lock file can't be written.
    pub fn announce_listening(&self) -> io::Result<()> {
        match &self.held {
            Some(held) => (&held.file).write_all(LISTENING_MARK.as_bytes()),
            None => Ok(()),
        }
    }

    /// Publishes the fingerprint of the file in force to other processes. A process without a lock
    /// publishes nothing.
    ///
    /// # Errors
    ///
    /// Fails if the file of published settings can't be written.
    pub fn publish_fingerprint(&self, fingerprint: &str) -> io::Result<()> {
        match &self.held {
            Some(held) => std::fs::write(&held.settings_path, fingerprint),
            None => Ok(()),
        }
    }

    /// Returns whether another process runs and has published another fingerprint than this one. A
    /// partly written fingerprint counts as another one.
    #[must_use]
    pub fn other_settings_differ(&self, fingerprint: &str) -> bool {
        self.other_paths.iter().any(|path| publishes_other_settings(path, fingerprint) && is_locked(path))
    }

    /// Returns whether another process runs. A process that can't be detected counts as absent.
    #[must_use]
    pub fn other_process(&self) -> OtherProcess {
        if self.other_paths.iter().any(|path| is_locked(path)) {
            OtherProcess::Running
        } else {
            OtherProcess::Absent
        }
    }

    /// Returns the path of the Unix socket on which this process may offer its listener. A process without a
    /// lock has none.
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

    /// Returns whether another process runs and accepts connections.
    #[must_use]
    pub fn other_is_listening(&self) -> bool {
        self.other_paths.iter().any(|path| is_locked(path) && has_listening_mark(path))
    }
}

impl HeldLock {
    /// Locks the file at `path`, unless another process holds the lock, and clears the listening mark
    /// and the fingerprint of the last holder.
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
        Ok(Some(Self { file, settings_path, listener_offer_path }))
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

/// Returns whether the published fingerprint is neither empty nor `fingerprint`.
fn publishes_other_settings(path: &Path, fingerprint: &str) -> bool {
    std::fs::read_to_string(state_files::published_settings_path(path))
        .is_ok_and(|published| !published.is_empty() && published != fingerprint)
}
