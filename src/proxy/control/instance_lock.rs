//! Two processes on one address, while one replaces the other: who else is there.
//!
//! Each holds the lock of a file of its own. The system lets go of it however the process ends, so
//! that what a killed one leaves behind misleads nobody. What a process says of its settings lies
//! beside that, and counts while the lock is held.

use std::fs::{File, OpenOptions, TryLockError};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// What the file of a process that takes connections holds.
const LISTENING: &str = "listening";
/// A seat is tried for so often: whoever looks who else is there holds it for a moment.
const TRIES: usize = 20;
const STEP: Duration = Duration::from_millis(10);

/// This process's place beside the other one's.
pub struct InstanceLock {
    /// None where both were taken: a third process does without.
    mine: Option<(File, PathBuf)>,
    others: Vec<PathBuf>,
}

fn open(path: &Path) -> io::Result<File> {
    OpenOptions::new().read(true).write(true).create(true).truncate(false).open(path)
}

impl InstanceLock {
    /// Takes a free seat among the two at `path`.
    pub async fn acquire(path: &Path) -> io::Result<Self> {
        let seats = [path.with_added_extension("seat-0"), path.with_added_extension("seat-1")];
        for _ in 0..TRIES {
            for (i, seat) in seats.iter().enumerate() {
                let file = open(seat)?;
                match file.try_lock() {
                    Ok(()) => {
                        file.set_len(0)?;
                        std::fs::write(told(seat), "")?;
                        let mine = Some((file, told(seat)));
                        return Ok(Self { mine, others: vec![seats[1 - i].clone()] });
                    }
                    Err(TryLockError::WouldBlock) => {}
                    Err(TryLockError::Error(error)) => return Err(error),
                }
            }
            tokio::time::sleep(STEP).await;
        }
        Ok(Self { mine: None, others: seats.to_vec() })
    }

    /// Tells the other process that this one takes connections.
    pub fn announce_listening(&self) -> io::Result<()> {
        self.mine.as_ref().map_or(Ok(()), |(file, _)| (&*file).write_all(LISTENING.as_bytes()))
    }

    /// Tells the other process what this one goes by.
    pub fn publish_settings(&self, edition: &str) -> io::Result<()> {
        self.mine.as_ref().map_or(Ok(()), |(_, path)| std::fs::write(path, edition))
    }

    /// Another process is there, and has told that it goes by something else. It may have told half
    /// of it so far: that differs too.
    pub fn other_settings_differ(&self, edition: &str) -> bool {
        let other = |text: String| !text.is_empty() && text != edition;
        let differs = |seat: &&PathBuf| std::fs::read_to_string(told(seat)).is_ok_and(other);
        self.others.iter().filter(differs).any(|seat| taken(seat))
    }

    /// Another process is there. What can't be told counts as none.
    pub fn is_shared(&self) -> bool {
        self.others.iter().any(|other| taken(other))
    }

    /// Another process is there, and takes connections.
    pub fn other_is_listening(&self) -> bool {
        let listens = |other: &PathBuf| std::fs::read_to_string(other).is_ok_and(|text| text == LISTENING);
        self.others.iter().any(|other| taken(other) && listens(other))
    }
}

/// Where the process in a seat tells what it goes by. Not in the seat's own file, which programs of
/// before compare to a word.
fn told(seat: &Path) -> PathBuf {
    seat.with_added_extension("settings")
}

fn taken(seat: &Path) -> bool {
    open(seat).is_ok_and(|file| matches!(file.try_lock_shared(), Err(TryLockError::WouldBlock)))
}
