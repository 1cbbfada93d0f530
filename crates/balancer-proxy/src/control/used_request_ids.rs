//! The ids of requests that may have run, so that a request does not run again under an id that has been
//! used.
//!
//! A client whose connection ended may send its request again, here or at the other process of an upgrade,
//! while or after the first one runs. A request that may not run twice claims its id before its first
//! attempt, and releases the id if the request has certainly not run. A claim expires after `CLAIM_DURATION`.
//!
//! Each process records its claims in a table of its own, in memory and in a file, and reads the file of the
//! other process. The claim is written before the other table is read: of two processes that claim an id at
//! the same time, at least one finds the claim of the other. Without the files each process knows its own
//! claims only.

use super::instance_lock::InstanceLock;
use crate::log;
use std::cell::RefCell;
use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use thiserror::Error;

/// Time after which a claim expires. Longer than clients wait for a response.
const CLAIM_DURATION: Duration = Duration::from_secs(30);
/// Number of buckets of a table.
const BUCKETS: usize = 1024;
/// Number of claims in a bucket. Another claim replaces the oldest one.
const CLAIMS_PER_BUCKET: usize = 8;
/// Length of a claim in the file: the id and the time, as 64-bit numbers in little-endian order.
const CLAIM_BYTES: usize = 16;
/// Length of a bucket in the file.
const BUCKET_BYTES: usize = CLAIMS_PER_BUCKET * CLAIM_BYTES;

/// The error for an id that has been claimed.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("the request id has been used")]
pub struct RequestIdUsed;

/// A claim of an id.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Claim {
    request_id: u64,
    /// Time of the claim, in milliseconds since the Unix epoch; 0 if there is no claim.
    claimed_at: u64,
}

impl Claim {
    fn from_bytes(bytes: &[u8; CLAIM_BYTES]) -> Self {
        let (request_id, claimed_at) = bytes.split_at(CLAIM_BYTES / 2);
        let number = |bytes: &[u8]| bytes.try_into().map_or(0, u64::from_le_bytes);
        Self { request_id: number(request_id), claimed_at: number(claimed_at) }
    }

    fn to_bytes(self) -> [u8; CLAIM_BYTES] {
        let mut bytes = [0; CLAIM_BYTES];
        bytes[..CLAIM_BYTES / 2].copy_from_slice(&self.request_id.to_le_bytes());
        bytes[CLAIM_BYTES / 2..].copy_from_slice(&self.claimed_at.to_le_bytes());
        bytes
    }

    /// Returns whether this is a claim of the id that has not expired.
    fn holds(&self, request_id: u64, now: u64) -> bool {
        let age = u128::from(now.saturating_sub(self.claimed_at));
        self.request_id == request_id && self.claimed_at > 0 && age < CLAIM_DURATION.as_millis()
    }
}

type Bucket = [Claim; CLAIMS_PER_BUCKET];

/// Returns the index of the bucket of an id.
fn bucket_index(request_id: u64) -> usize {
    usize::try_from(request_id % BUCKETS as u64).unwrap_or_default()
}

fn bucket_from_bytes(bytes: &[u8; BUCKET_BYTES]) -> Bucket {
    let mut bucket = Bucket::default();
    for (claim, bytes) in bucket.iter_mut().zip(bytes.as_chunks().0) {
        *claim = Claim::from_bytes(bytes);
    }
    bucket
}

/// The claims of this process.
struct OwnTable {
    buckets: Vec<Bucket>,
    /// The file in which other processes read the claims.
    file: Option<File>,
}

impl OwnTable {
    fn in_memory() -> Self {
        Self { buckets: vec![Bucket::default(); BUCKETS], file: None }
    }

    /// Creates the table that has this file, with the claims of the process that had the file before.
    fn with_file(file: File) -> Self {
        let buckets = (0..BUCKETS).map(|index| read_bucket(&file, index)).collect();
        Self { buckets, file: Some(file) }
    }

    fn contains(&self, request_id: u64, now: u64) -> bool {
        self.buckets[bucket_index(request_id)].iter().any(|claim| claim.holds(request_id, now))
    }

    /// Records a claim in the place of the oldest one of its bucket.
    fn insert(&mut self, request_id: u64, now: u64) {
        let bucket = &self.buckets[bucket_index(request_id)];
        let oldest = (0..CLAIMS_PER_BUCKET).min_by_key(|slot| bucket[*slot].claimed_at).unwrap_or_default();
        self.replace(request_id, oldest, Claim { request_id, claimed_at: now });
    }

    fn remove(&mut self, request_id: u64) {
        let bucket = &self.buckets[bucket_index(request_id)];
        let slot = bucket.iter().position(|claim| claim.request_id == request_id && claim.claimed_at > 0);
        if let Some(slot) = slot {
            self.replace(request_id, slot, Claim::default());
        }
    }

    fn replace(&mut self, request_id: u64, slot: usize, claim: Claim) {
        let index = bucket_index(request_id);
        self.buckets[index][slot] = claim;
        let Some(file) = &self.file else { return };
        let offset = index * BUCKET_BYTES + slot * CLAIM_BYTES;
        if let Err(error) = file.write_all_at(&claim.to_bytes(), offset as u64) {
            log!("request ids: cannot write the claims for the other process: {error}");
            self.file = None; // not tried, and not logged, for each further request
        }
    }
}

/// Reads a bucket of a table. What the file lacks counts as empty.
fn read_bucket(file: &File, index: usize) -> Bucket {
    let mut bytes = [0; BUCKET_BYTES];
    match file.read_exact_at(&mut bytes, (index * BUCKET_BYTES) as u64) {
        Ok(()) => bucket_from_bytes(&bytes),
        Err(_) => Bucket::default(),
    }
}

/// Opens the file of a table, and creates the file if no process has had it yet, so that this process opens
/// no file later.
fn open_table(path: &Path) -> io::Result<File> {
    let file = OpenOptions::new().read(true).write(true).create(true).truncate(false).open(path)?;
    file.set_len((BUCKETS * BUCKET_BYTES) as u64)?;
    Ok(file)
}

/// The ids of requests that may have run, in this process and in the other ones of its address.
pub struct UsedRequestIds {
    own: RefCell<OwnTable>,
    /// The files with the claims of other processes.
    others: Vec<File>,
}

impl UsedRequestIds {
    /// Creates the ids of a process that has no files in common with others.
    #[must_use]
    pub fn in_memory() -> Self {
        Self { own: RefCell::new(OwnTable::in_memory()), others: Vec::new() }
    }

    /// Opens the ids of the processes that share the files of `lock`.
    #[must_use]
    pub fn shared(lock: &InstanceLock) -> Self {
        let open = |path: &PathBuf| {
            let file = open_table(path);
            file.inspect_err(|error| log!("request ids: cannot use {}: {error}", path.display())).ok()
        };
        let own = lock.own_used_request_ids_path().as_ref().and_then(open);
        let own = own.map_or_else(OwnTable::in_memory, OwnTable::with_file);
        let others = lock.other_used_request_ids_paths().iter().filter_map(open).collect();
        Self { own: RefCell::new(own), others }
    }

    /// Returns whether an id has been claimed, in any process.
    #[must_use]
    pub fn contains(&self, request_id: u64) -> bool {
        let now = unix_milliseconds();
        self.own.borrow().contains(request_id, now) || self.is_claimed_elsewhere(request_id, now)
    }

    /// Claims an id.
    ///
    /// # Errors
    ///
    /// Returns [`RequestIdUsed`] if the id has been claimed, in any process.
    pub fn claim(&self, request_id: u64) -> Result<(), RequestIdUsed> {
        let now = unix_milliseconds();
        if self.own.borrow().contains(request_id, now) {
            return Err(RequestIdUsed);
        }
        self.own.borrow_mut().insert(request_id, now);
        if self.is_claimed_elsewhere(request_id, now) {
            self.release(request_id);
            return Err(RequestIdUsed);
        }
        Ok(())
    }

    /// Ends the claim of an id whose request has not run.
    pub fn release(&self, request_id: u64) {
        self.own.borrow_mut().remove(request_id);
    }

    fn is_claimed_elsewhere(&self, request_id: u64, now: u64) -> bool {
        let is_claimed_in = |file: &File| {
            read_bucket(file, bucket_index(request_id)).iter().any(|claim| claim.holds(request_id, now))
        };
        self.others.iter().any(is_claimed_in)
    }
}

/// Returns the time in milliseconds since the Unix epoch, which all processes of a machine have in common.
fn unix_milliseconds() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}

#[cfg(test)]
mod tests;
