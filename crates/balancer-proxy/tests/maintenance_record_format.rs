//! The name, content and lock of the maintenance record, which two versions of the program share during an
//! upgrade. The tests cover records and locks of the old version and those of this version.
//!
//! All names and contents in this file are literals, as the version at commit 36aad31 wrote and read them.
//! They must not be derived from the constants of the program.

mod common;

use balancer_proxy::control::maintenance_store::MaintenanceStore;
use common::configuration::{default_configuration, request};
use common::proxy_process::ProxyProcess;
use common::shared_address::SharedAddress;
use common::state_folder::{StateFolder, expected_contents};
use common::stub_server::StubServer;
use common::waiting::wait_for;
use serde_json::json;
use std::fs::File;
use std::time::{Duration, Instant};

/// A record as the old version writes it: `s-0` and `s-9` are in maintenance, and `s-9` is no longer listed.
const OLD_VERSION_RECORD: &str = r#"{"listed":["s-0","s-1","s-9"],"out":["s-0","s-9"]}"#;

/// Ends the maintenance of a listed backend and checks that the answer is that of the old version.
fn end_maintenance(proxy: &ProxyProcess, backend: &str) {
    assert_eq!(proxy.management_call(&format!("maint-off {backend}\n")), format!("OK {backend} is back\n"));
}

#[test]
fn a_maintenance_record_of_the_old_version_is_in_force_from_the_start() {
    let shared_address = SharedAddress::new();
    std::fs::write(shared_address.state_file("book"), OLD_VERSION_RECORD).unwrap();
    let backends = ["zero", "one"].map(StubServer::responding_with);
    let configuration = default_configuration(&backends.each_ref());

    let proxy = shared_address.start(&configuration);

    assert_eq!(proxy.stats()["ejected"], json!(1));
    for _ in 0..10 {
        assert_eq!(proxy.exchange(&request("look", 9000)).body, b"one");
    }
    end_maintenance(&proxy, "s-9");
    end_maintenance(&proxy, "s-0");
    assert_eq!(proxy.stats()["ejected"], json!(0));
    assert_eq!(proxy.management_call("maint-on s-2\n"), "ERR never listed: s-2\n");
}

#[test]
fn a_maintenance_record_replaced_by_the_old_version_comes_into_force() {
    let shared_address = SharedAddress::new();
    let backends = ["zero", "one"].map(StubServer::responding_with);
    let configuration = default_configuration(&backends.each_ref());
    let proxy = shared_address.start(&configuration);
    assert_eq!(proxy.stats()["ejected"], json!(0));

    // The old version writes a file of its own and renames it.
    let staging = shared_address.state_file("book.new-1");
    std::fs::write(&staging, OLD_VERSION_RECORD).unwrap();
    std::fs::rename(&staging, shared_address.state_file("book")).unwrap();

    wait_for("the maintenance of a backend", || proxy.stats()["ejected"] == json!(1));
    let saved = r#"{"listed":["s-0","s-1","s-9"],"out":["s-0","s-9"]}"#;
    assert_eq!(std::fs::read_to_string(shared_address.state_file("book")).unwrap(), saved);
}

#[test]
fn the_maintenance_record_is_written_byte_for_byte_as_the_old_version_reads_it() {
    let shared_address = SharedAddress::new();
    let backends = ["zero", "one"].map(StubServer::responding_with);
    let configuration = default_configuration(&backends.each_ref());
    let proxy = shared_address.start(&configuration);
    let record = || std::fs::read_to_string(shared_address.state_file("book")).unwrap_or_default();

    wait_for("the maintenance record", || record() == r#"{"listed":["s-0","s-1"],"out":[]}"#);
    assert_eq!(proxy.management_call("maint-on s-1\n"), "OK s-1 is out\n");
    assert_eq!(record(), r#"{"listed":["s-0","s-1"],"out":["s-1"]}"#);
    assert_eq!(proxy.management_call("maint-on s-0\n"), "OK s-0 is out\n");
    assert_eq!(record(), r#"{"listed":["s-0","s-1"],"out":["s-0","s-1"]}"#);
    end_maintenance(&proxy, "s-1");
    assert_eq!(record(), r#"{"listed":["s-0","s-1"],"out":["s-0"]}"#);
    assert_eq!(std::fs::read_to_string(shared_address.state_file("book.lock")).unwrap(), "");
}

#[test]
fn keeps_backends_that_only_the_old_version_listed_in_the_maintenance_record() {
    let shared_address = SharedAddress::new();
    std::fs::write(shared_address.state_file("book"), r#"{"listed":["s-9"],"out":["s-9"]}"#).unwrap();
    let backends = ["zero", "one"].map(StubServer::responding_with);
    let configuration = default_configuration(&backends.each_ref());

    let _proxy = shared_address.start(&configuration);

    let merged = r#"{"listed":["s-0","s-1","s-9"],"out":["s-9"]}"#;
    wait_for("the maintenance record", || {
        std::fs::read_to_string(shared_address.state_file("book")).is_ok_and(|text| text == merged)
    });
}

#[test]
fn the_next_maintenance_record_is_staged_under_the_old_name() {
    let shared_address = SharedAddress::new();
    // A folder in the record's place cannot be replaced, so that the staged file stays.
    std::fs::create_dir(shared_address.state_file("book")).unwrap();
    let backends = ["zero", "one"].map(StubServer::responding_with);
    let configuration = default_configuration(&backends.each_ref());

    let proxy = shared_address.start(&configuration);
    assert_eq!(proxy.management_call("maint-on s-1\n"), "OK s-1 is out\n");

    let staging = shared_address.state_file(&format!("book.new-{}", proxy.child.id()));
    assert_eq!(std::fs::read_to_string(staging).unwrap(), r#"{"listed":["s-0","s-1"],"out":["s-1"]}"#);
}

#[test]
fn a_management_call_waits_for_the_record_lock_of_the_old_version_until_a_timeout() {
    const RECORD_LOCK_TIMEOUT: Duration = Duration::from_millis(300);
    let shared_address = SharedAddress::new();
    let backends = ["zero", "one"].map(StubServer::responding_with);
    let configuration = default_configuration(&backends.each_ref());
    let proxy = shared_address.start(&configuration);
    let record = || std::fs::read_to_string(shared_address.state_file("book")).unwrap_or_default();
    wait_for("the maintenance record", || record() == r#"{"listed":["s-0","s-1"],"out":[]}"#);
    let lock = File::options().write(true).open(shared_address.state_file("book.lock")).unwrap();
    lock.lock().unwrap();

    let start = Instant::now();
    assert_eq!(proxy.management_call("maint-on s-0\n"), "OK s-0 is out\n");

    assert!(start.elapsed() >= RECORD_LOCK_TIMEOUT, "{:?}", start.elapsed());
    assert_eq!(record(), r#"{"listed":["s-0","s-1"],"out":["s-0"]}"#);
}

#[test]
fn opening_a_maintenance_store_writes_nothing() {
    let folder = StateFolder::new("store");
    std::fs::write(folder.file_path("dewpier-127.0.0.1:7070.book"), OLD_VERSION_RECORD).unwrap();

    let _store = MaintenanceStore::open(&folder.base_path());

    assert_eq!(folder.contents(), expected_contents([("dewpier-127.0.0.1:7070.book", OLD_VERSION_RECORD)]));
}
