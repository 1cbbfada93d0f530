//! Two processes on one address, while one replaces the other: who else is there.
//!
//! Each holds the lock of a file of its own. The system lets go of it however the process ends, so
//! that what a killed one leaves behind misleads nobody.

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
pub struct Seat {
    /// None where both were taken: a third process does without.
    mine: Option<File>,
    others: Vec<PathBuf>,
}

fn open(path: &Path) -> io::Result<File> {
    OpenOptions::new().read(true).write(true).create(true).truncate(false).open(path)
}

impl Seat {
    /// Takes a free seat among the two at `path`.
    pub async fn take(path: &Path) -> io::Result<Self> {
        let seats = [path.with_added_extension("seat-0"), path.with_added_extension("seat-1")];
        for _ in 0..TRIES {
            for (i, seat) in seats.iter().enumerate() {
                let file = open(seat)?;
                match file.try_lock() {
                    Ok(()) => {
                        file.set_len(0)?;
                        return Ok(Self { mine: Some(file), others: vec![seats[1 - i].clone()] });
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
    pub fn listening(&self) -> io::Result<()> {
        let Some(mut mine) = self.mine.as_ref() else {
            return Ok(());
        };
        mine.write_all(LISTENING.as_bytes())
    }

    /// Another process is there. What can't be told counts as none.
    pub fn shared(&self) -> bool {
        self.others.iter().any(|other| taken(other))
    }

    /// Another process is there, and takes connections.
    pub fn relieved(&self) -> bool {
        let listens = |other: &PathBuf| std::fs::read_to_string(other).is_ok_and(|text| text == LISTENING);
        self.others.iter().any(|other| taken(other) && listens(other))
    }
}

fn taken(seat: &Path) -> bool {
    open(seat).is_ok_and(|file| matches!(file.try_lock_shared(), Err(TryLockError::WouldBlock)))
}
