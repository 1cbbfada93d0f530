//! Tests of the copy of the record and its file. In the tests of two processes, a second store on the same
//! file takes the place of the other process.

use super::MaintenanceStore;
use crate::control::maintenance_record::{MaintenanceRecord, MaintenanceState};
use crate::control::state_files;
use std::collections::BTreeSet;
use std::fs::File;
use std::os::unix::fs::MetadataExt;
use std::path::PathBuf;
use std::sync::atomic::{AtomicUsize, Ordering};

/// A temporary folder for one test, which is removed when the value is dropped.
struct TemporaryFolder(PathBuf);

impl TemporaryFolder {
    fn new() -> Self {
        static NEXT_NUMBER: AtomicUsize = AtomicUsize::new(0);
        let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
        let name = format!("maintenance-store-test-{}-{number}", std::process::id());
        let path = std::env::temp_dir().join(name);
        // An earlier test process may have had the same process id.
        let _ = std::fs::remove_dir_all(&path);
        std::fs::create_dir_all(&path).unwrap();
        Self(path)
    }

    fn base(&self) -> PathBuf {
        self.0.join("base")
    }

    fn record_path(&self) -> PathBuf {
        state_files::maintenance_record_path(&self.base())
    }
}

impl Drop for TemporaryFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn run(future: impl Future<Output = ()>) {
    tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap().block_on(future);
}

fn ids<const COUNT: usize>(ids: [&str; COUNT]) -> BTreeSet<String> {
    ids.map(str::to_string).into()
}

#[test]
fn a_store_without_a_file_is_empty() {
    let folder = TemporaryFolder::new();

    let store = MaintenanceStore::open(&folder.base());

    assert_eq!(*store.record(), MaintenanceRecord::default());
}

#[test]
fn a_change_is_saved_and_seen_by_the_other_process_after_a_refresh() {
    let folder = TemporaryFolder::new();
    let store = MaintenanceStore::open(&folder.base());
    let other = MaintenanceStore::open(&folder.base());

    run(store.set_state("s-0", MaintenanceState::InMaintenance));
    other.refresh();

    assert_eq!(other.record().in_maintenance, ids(["s-0"]));
}

#[test]
fn changes_of_both_processes_are_kept() {
    let folder = TemporaryFolder::new();
    let store = MaintenanceStore::open(&folder.base());
    let other = MaintenanceStore::open(&folder.base());

    run(store.set_state("s-0", MaintenanceState::InMaintenance));
    run(other.set_state("s-1", MaintenanceState::InMaintenance));
    store.refresh();

    assert_eq!(store.record().in_maintenance, ids(["s-0", "s-1"]));
}

#[test]
fn listed_backends_are_saved_by_the_next_save_and_only_once() {
    let folder = TemporaryFolder::new();
    let store = MaintenanceStore::open(&folder.base());

    store.record_listed(["s-0", "s-1"].into_iter());
    assert!(!folder.record_path().exists());
    run(store.save_pending());
    let saved = std::fs::metadata(folder.record_path()).unwrap().ino();
    store.record_listed(["s-0"].into_iter());
    run(store.save_pending());

    assert_eq!(MaintenanceStore::open(&folder.base()).record().ever_listed, ids(["s-0", "s-1"]));
    assert_eq!(std::fs::metadata(folder.record_path()).unwrap().ino(), saved);
}

#[test]
fn a_file_that_was_removed_is_written_again() {
    let folder = TemporaryFolder::new();
    let store = MaintenanceStore::open(&folder.base());
    run(store.set_state("s-0", MaintenanceState::InMaintenance));
    std::fs::remove_file(folder.record_path()).unwrap();

    store.refresh();
    run(store.save_pending());

    assert_eq!(MaintenanceStore::open(&folder.base()).record().in_maintenance, ids(["s-0"]));
}

#[test]
fn a_malformed_file_does_not_replace_the_record_in_memory() {
    let folder = TemporaryFolder::new();
    let store = MaintenanceStore::open(&folder.base());
    run(store.set_state("s-0", MaintenanceState::InMaintenance));
    std::fs::write(folder.record_path(), "{").unwrap();

    store.refresh();

    assert_eq!(store.record().in_maintenance, ids(["s-0"]));
}

#[test]
fn a_change_holds_in_memory_when_the_file_cannot_be_written() {
    let folder = TemporaryFolder::new();
    let missing_folder = folder.0.join("missing").join("base");
    let store = MaintenanceStore::open(&missing_folder);

    run(store.set_state("s-0", MaintenanceState::InMaintenance));

    assert_eq!(store.record().in_maintenance, ids(["s-0"]));
    assert!(store.has_unsaved_changes.get());
}

#[test]
fn a_change_does_not_wait_for_a_lock_that_is_never_released() {
    let folder = TemporaryFolder::new();
    let store = MaintenanceStore::open(&folder.base());
    let lock_path = state_files::maintenance_lock_path(&folder.record_path());
    let held_lock = File::create(lock_path).unwrap();
    held_lock.lock().unwrap();

    run(store.set_state("s-0", MaintenanceState::InMaintenance));

    assert_eq!(MaintenanceStore::open(&folder.base()).record().in_maintenance, ids(["s-0"]));
}
