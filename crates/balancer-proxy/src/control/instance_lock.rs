//! The instance lock: detects a second process on the same listen address during an upgrade.
//!
//! Each process holds an advisory lock on one of two files. The operating system releases it however
//! the process ends, so that files left behind by a killed process have no effect. The settings that a
//! process uses are published in a file beside its lock file and count only while the lock is held.
//! The files are shared with other versions of the program: see [`state_files`].

use super::state_files::{self, LISTENING_MARK};
use std::fs::{File, OpenOptions, TryLockError};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Attempts to acquire a lock before a process runs without one. A single attempt is not enough, as a
/// process that checks for others locks the file for a moment.
const MAX_ACQUIRE_ATTEMPTS: usize = 20;
const ACQUIRE_RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// The lock of this process, held until it is dropped, and a view of the other process.
pub struct InstanceLock {
    /// None if two other processes hold both locks: a third process runs without one.
    held: Option<HeldLock>,
    /// Lock files that other processes may hold.
    other_paths: Vec<PathBuf>,
}

/// A lock file that this process has locked.
struct HeldLock {
    file: File,
    settings_path: PathBuf,
}

impl InstanceLock {
    /// Acquires a free lock of the two whose files start with `base`. If both stay held, the returned
    /// value holds none and sees two other processes.
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

    fn try_acquire([first, second]: &[PathBuf; 2]) -> io::Result<Option<Self>> {
        for (own, other) in [(first, second), (second, first)] {
            if let Some(held) = HeldLock::try_acquire(own)? {
                return Ok(Some(Self { held: Some(held), other_paths: vec![other.clone()] }));
            }
        }
        Ok(None)
    }

    /// Announces to other processes that this one accepts connections. Without a lock it does nothing.
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

    /// Publishes the fingerprint of the file in force to other processes. Without a lock it does
    /// nothing.
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

    /// Whether another process runs and has published settings other than these. A partly written
    /// fingerprint differs too.
    #[must_use]
    pub fn other_settings_differ(&self, fingerprint: &str) -> bool {
        self.other_paths.iter().any(|path| publishes_other_settings(path, fingerprint) && is_locked(path))
    }

    /// Whether another process runs. One that can't be detected counts as absent.
    #[must_use]
    pub fn is_shared(&self) -> bool {
        self.other_paths.iter().any(|path| is_locked(path))
    }

    /// Whether another process runs and accepts connections.
    #[must_use]
    pub fn other_is_listening(&self) -> bool {
        self.other_paths.iter().any(|path| is_locked(path) && has_listening_mark(path))
    }
}

impl HeldLock {
    /// Locks this file and clears what its last holder left, unless another process holds it.
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
        Ok(Some(Self { file, settings_path }))
    }
}

fn open_lock_file(path: &Path) -> io::Result<File> {
    OpenOptions::new().read(true).write(true).create(true).truncate(false).open(path)
}

fn is_locked(path: &Path) -> bool {
    open_lock_file(path).is_ok_and(|file| matches!(file.try_lock_shared(), Err(TryLockError::WouldBlock)))
}

fn has_listening_mark(path: &Path) -> bool {
    std::fs::read_to_string(path).is_ok_and(|text| text == LISTENING_MARK)
}

fn publishes_other_settings(path: &Path, fingerprint: &str) -> bool {
    std::fs::read_to_string(state_files::published_settings_path(path))
        .is_ok_and(|published| !published.is_empty() && published != fingerprint)
}
