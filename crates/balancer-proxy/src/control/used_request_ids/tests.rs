//! Tests of the ids of requests that may have run.

use super::{BUCKETS, CLAIM_DURATION, CLAIMS_PER_BUCKET, OwnTable, RequestIdUsed, UsedRequestIds};
use crate::control::instance_lock::InstanceLock;
use std::path::Path;

/// The time of the first claim in milliseconds.
const NOW: u64 = 1_000_000;
const ID: u64 = 0x9b1f_03aa_5c7e_2d41;

/// Opens the ids of another process on the same address.
fn open(folder: &Path) -> (InstanceLock, UsedRequestIds) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap();
    let lock = runtime.block_on(InstanceLock::acquire(&folder.join("base"))).unwrap();
    let ids = UsedRequestIds::shared(&lock);
    (lock, ids)
}

#[test]
fn an_id_is_claimed_once_until_it_is_released() {
    let ids = UsedRequestIds::in_memory();

    let first = ids.claim(ID);
    let second = ids.claim(ID);
    ids.release(ID);

    assert_eq!((first, second), (Ok(()), Err(RequestIdUsed)));
    assert!(!ids.contains(ID));
    assert_eq!(ids.claim(ID), Ok(()));
}

#[test]
fn a_claim_expires() {
    let mut table = OwnTable::in_memory();
    let duration = u64::try_from(CLAIM_DURATION.as_millis()).unwrap();

    table.insert(ID, NOW);

    assert!(table.contains(ID, NOW + duration - 1));
    assert!(!table.contains(ID, NOW + duration));
}

#[test]
fn a_full_bucket_forgets_its_oldest_claim() {
    let mut table = OwnTable::in_memory();
    let ids: Vec<u64> = (0..=CLAIMS_PER_BUCKET as u64).map(|number| number * BUCKETS as u64).collect();

    for (id, time) in ids.iter().zip(NOW..) {
        table.insert(*id, time);
    }

    let is_kept: Vec<bool> = ids.iter().map(|id| table.contains(*id, NOW)).collect();
    assert!(!is_kept[0]);
    assert!(is_kept[1..].iter().all(|is_kept| *is_kept));
}

#[test]
fn two_processes_know_the_claims_of_each_other_whichever_started_first() {
    let folder = tempfile::tempdir().unwrap();
    let (_old_lock, old) = open(folder.path());
    let (_new_lock, new) = open(folder.path());

    let claims_of_old = old.claim(1);
    let claims_of_new = new.claim(2);

    assert_eq!((claims_of_old, claims_of_new), (Ok(()), Ok(())));
    assert_eq!((new.claim(1), old.claim(2)), (Err(RequestIdUsed), Err(RequestIdUsed)));
    assert!(old.contains(2) && new.contains(1));
    old.release(1);
    assert_eq!(new.claim(1), Ok(()));
}

#[test]
fn a_process_knows_the_claims_of_one_that_has_ended_and_had_the_same_file() {
    let folder = tempfile::tempdir().unwrap();
    let (old_lock, old) = open(folder.path());
    old.claim(ID).unwrap();
    drop((old_lock, old));

    let (_lock, ids) = open(folder.path());

    assert_eq!(ids.claim(ID), Err(RequestIdUsed));
}
