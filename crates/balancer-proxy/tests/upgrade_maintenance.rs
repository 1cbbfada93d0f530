//! Maintenance of backends while one process replaces another on one address. The two processes share the
//! maintenance record.

mod common;

use common::configuration::{default_configuration, request};
use common::shared_address::SharedAddress;
use common::stub_server::StubServer;
use common::waiting::wait_for;
use serde_json::json;

#[test]
fn maintenance_is_in_force_in_both_processes_and_after_one_is_killed() {
    let backends = ["zero", "one", "two"].map(StubServer::responding_with);
    let shared_address = SharedAddress::new();
    let configuration = default_configuration(&[&backends[0], &backends[1], &backends[2]]);
    let mut old = shared_address.start(&configuration);
    assert!(old.management_call("maint-on s-0\n").starts_with("OK"));
    let next = shared_address.start(&configuration);
    next.wait_until_ready();
    assert_eq!(next.stats()["ejected"], json!(1));

    // A management call to one process takes effect in the other process too.
    assert!(next.management_call("maint-off s-0\n").starts_with("OK"));
    wait_for("the end of maintenance", || old.stats()["ejected"] == json!(0));
    assert!(old.management_call("maint-on s-1\n").starts_with("OK"));
    wait_for("the maintenance of a backend", || next.stats()["ejected"] == json!(1));
    old.kill();

    for _ in 0..10 {
        assert_ne!(next.exchange(&request("look", 9000)).body, b"one");
    }
}

#[test]
fn accepts_maintenance_of_a_backend_that_only_the_old_process_has_listed() {
    let backends = ["zero", "one"].map(StubServer::responding_with);
    let shared_address = SharedAddress::new();
    let old = shared_address.start(&default_configuration(&[&backends[0], &backends[1]]));
    wait_for("the maintenance of a backend", || old.management_call("maint-on s-1\n").starts_with("OK"));

    let next = shared_address.start(&default_configuration(&[&backends[0]]));

    assert!(next.management_call("maint-off s-1\n").starts_with("OK"));
    assert!(next.management_call("maint-off s-2\n").starts_with("ERR"));
}

#[test]
fn a_truncated_maintenance_record_is_restored_by_a_running_process_and_allows_a_start() {
    let backends = ["zero", "one"].map(StubServer::responding_with);
    let shared_address = SharedAddress::new();
    let configuration = default_configuration(&[&backends[0], &backends[1]]);
    let old = shared_address.start(&configuration);
    assert!(old.management_call("maint-on s-0\n").starts_with("OK"));
    let record_path = shared_address.state_file("book");
    let complete = std::fs::read(&record_path).unwrap();

    std::fs::write(&record_path, &complete[..complete.len() / 2]).unwrap();

    // The running process still holds the maintenance in memory, and writes the record again.
    wait_for("the restored maintenance record", || {
        std::fs::read(&record_path).is_ok_and(|bytes| bytes == complete)
    });
    drop(old);
    std::fs::write(&record_path, &complete[..complete.len() / 2]).unwrap();
    let next = shared_address.start(&configuration);
    next.wait_until_ready();
    assert_eq!(next.exchange(&request("look", 9000)).status(), 200);
    assert!(next.management_call("maint-on s-0\n").starts_with("OK"));
    assert_eq!(next.stats()["ejected"], json!(1));
}

#[test]
fn starts_serves_and_accepts_maintenance_without_a_state_folder() {
    let backends = ["zero", "one"].map(StubServer::responding_with);
    let shared_address = SharedAddress::new();
    shared_address.remove_folder();

    let proxy = shared_address.start(&default_configuration(&[&backends[0], &backends[1]]));

    proxy.wait_until_ready();
    assert!(proxy.management_call("maint-on s-0\n").starts_with("OK"));
    for _ in 0..5 {
        assert_eq!(proxy.exchange(&request("look", 9000)).body, b"one");
    }
}
