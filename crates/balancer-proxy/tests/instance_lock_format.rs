//! The names and contents of the lock files that two versions of the program share during an upgrade. If
//! either version misread the files of the other, the two processes would not detect one another.
//!
//! All names and contents in this file are literals, as the version at commit 36aad31 wrote and read them.
//! They must not be derived from the constants of the program.

mod common;

use balancer_proxy::control::instance_lock::InstanceLock;
use common::configuration::{default_configuration, request};
use common::http::exchange;
use common::shared_address::SharedAddress;
use common::state_folder::{StateFolder, expected_contents};
use common::stub_server::StubServer;
use common::waiting::wait_for;
use serde_json::json;
use std::fs::File;
use std::path::Path;

fn acquire_lock(base: &Path) -> InstanceLock {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(InstanceLock::acquire(base)).unwrap()
}

#[test]
fn acquires_the_second_lock_while_the_old_version_holds_the_first() {
    let folder = StateFolder::new("first");
    let old = folder.lock_as_old_version("dewpier-127.0.0.1:7070.seat-0", "listening");
    let settings = "00c0ffee00c0ffee, version 7\n";
    std::fs::write(folder.file_path("dewpier-127.0.0.1:7070.seat-0.settings"), settings).unwrap();

    let lock = acquire_lock(&folder.base_path());

    assert!(lock.other_process().is_running() && lock.other_is_listening());
    assert!(!lock.other_settings_differ("00c0ffee00c0ffee, version 7\n"));
    assert!(lock.other_settings_differ("00c0ffee00c0ffee, version 8\n"));
    // The process holds the second lock, which the old version can detect.
    let second = File::open(folder.file_path("dewpier-127.0.0.1:7070.seat-1")).unwrap();
    assert!(matches!(second.try_lock_shared(), Err(std::fs::TryLockError::WouldBlock)));
    let expected = expected_contents([
        ("dewpier-127.0.0.1:7070.seat-0", "listening"),
        ("dewpier-127.0.0.1:7070.seat-0.settings", "00c0ffee00c0ffee, version 7\n"),
        ("dewpier-127.0.0.1:7070.seat-1", ""),
        ("dewpier-127.0.0.1:7070.seat-1.settings", ""),
    ]);
    assert_eq!(folder.contents(), expected);

    // A drop is not enough: a child process that another test starts may have the file open for a moment.
    old.unlock().unwrap();
    assert!(!lock.other_process().is_running() && !lock.other_is_listening());
    assert!(
        !lock.other_settings_differ("00c0ffee00c0ffee, version 8\n"),
        "the old process no longer holds its lock"
    );
}

#[test]
fn reports_that_a_starting_old_process_does_not_listen_yet() {
    let folder = StateFolder::new("starting");
    let _old = folder.lock_as_old_version("dewpier-127.0.0.1:7070.seat-1", "");

    let lock = acquire_lock(&folder.base_path());

    assert!(lock.other_process().is_running() && !lock.other_is_listening());
    assert!(!lock.other_settings_differ("00c0ffee00c0ffee\n"), "the old process has published no settings");
}

#[test]
fn a_third_process_does_not_change_the_files_of_two_old_processes() {
    let folder = StateFolder::new("third");
    let _first = folder.lock_as_old_version("dewpier-127.0.0.1:7070.seat-0", "");
    let _second = folder.lock_as_old_version("dewpier-127.0.0.1:7070.seat-1", "listening");
    std::fs::write(folder.file_path("dewpier-127.0.0.1:7070.seat-0.settings"), "1\n").unwrap();
    std::fs::write(folder.file_path("dewpier-127.0.0.1:7070.seat-1.settings"), "2\n").unwrap();
    let before = folder.contents();

    let lock = acquire_lock(&folder.base_path());
    lock.announce_listening().unwrap();
    lock.publish_fingerprint("3\n").unwrap();

    assert!(
        lock.other_process().is_running() && lock.other_is_listening() && lock.other_settings_differ("3\n")
    );
    assert_eq!(folder.contents(), before);
}

#[test]
fn reuses_the_lock_files_of_a_killed_old_process() {
    let folder = StateFolder::new("left");
    std::fs::write(folder.file_path("dewpier-127.0.0.1:7070.seat-0"), "listening").unwrap();
    std::fs::write(folder.file_path("dewpier-127.0.0.1:7070.seat-0.settings"), "1\n").unwrap();
    std::fs::write(folder.file_path("dewpier-127.0.0.1:7070.seat-1"), "listening").unwrap();
    std::fs::write(folder.file_path("dewpier-127.0.0.1:7070.seat-1.settings"), "2\n").unwrap();

    let lock = acquire_lock(&folder.base_path());

    assert!(
        !lock.other_process().is_running()
            && !lock.other_is_listening()
            && !lock.other_settings_differ("3\n")
    );
    let expected = expected_contents([
        ("dewpier-127.0.0.1:7070.seat-0", ""),
        ("dewpier-127.0.0.1:7070.seat-0.settings", ""),
        ("dewpier-127.0.0.1:7070.seat-1", "listening"),
        ("dewpier-127.0.0.1:7070.seat-1.settings", "2\n"),
    ]);
    assert_eq!(folder.contents(), expected);
}

#[test]
fn writes_lock_files_byte_for_byte_as_the_old_version_reads_them() {
    let folder = StateFolder::new("written");

    let lock = acquire_lock(&folder.base_path());
    lock.announce_listening().unwrap();
    lock.publish_fingerprint("00c0ffee00c0ffee, version 7\n").unwrap();

    let expected = expected_contents([
        ("dewpier-127.0.0.1:7070.seat-0", "listening"),
        ("dewpier-127.0.0.1:7070.seat-0.settings", "00c0ffee00c0ffee, version 7\n"),
    ]);
    assert_eq!(folder.contents(), expected);
    let first = File::open(folder.file_path("dewpier-127.0.0.1:7070.seat-0")).unwrap();
    assert!(matches!(first.try_lock_shared(), Err(std::fs::TryLockError::WouldBlock)));
    // Shorter settings replace longer ones.
    lock.publish_fingerprint("00c0ffee00c0ffee\n").unwrap();
    assert_eq!(folder.read("dewpier-127.0.0.1:7070.seat-0.settings"), "00c0ffee00c0ffee\n");
}

/// Returns the digest of a configuration text in 16 hexadecimal digits, as the old version computed it.
fn configuration_digest(text: &str) -> String {
    use std::hash::{DefaultHasher, Hash, Hasher};
    let mut hasher = DefaultHasher::new();
    text.hash(&mut hasher);
    format!("{:016x}", hasher.finish())
}

#[test]
fn a_process_writes_its_fingerprint_and_state_in_the_format_of_the_old_version() {
    let shared_address = SharedAddress::new();
    let backends = ["zero", "one"].map(StubServer::responding_with);
    let mut configuration = default_configuration(&backends.each_ref());
    configuration["settings"]["version"] = json!(7);
    let file = |name: &str| std::fs::read_to_string(shared_address.state_file(name)).unwrap_or_default();
    configuration["management"] = json!("127.0.0.1:0");

    let process_with_version = shared_address.start(&configuration);

    let fingerprint_with_version =
        format!("{}, version 7\n", configuration_digest(&configuration.to_string()));
    wait_for("the published fingerprint", || file("seat-0.settings") == fingerprint_with_version);
    wait_for("the announcement that the process listens", || file("seat-0") == "listening");
    drop(process_with_version);

    configuration["settings"].as_object_mut().unwrap().remove("version");
    let _process_without_version = shared_address.start(&configuration);

    let fingerprint_without_version = format!("{}\n", configuration_digest(&configuration.to_string()));
    wait_for("the published fingerprint", || file("seat-0.settings") == fingerprint_without_version);
}

#[test]
fn a_process_hands_over_to_an_old_version_that_holds_the_second_lock() {
    let shared_address = SharedAddress::new();
    let backends = ["zero", "one"].map(StubServer::responding_with);
    let configuration = default_configuration(&backends.each_ref());
    let mut proxy = shared_address.start(&configuration);
    // The files look as if a process of the old version had taken over and accepted connections.
    std::fs::write(shared_address.state_file("seat-1"), "listening").unwrap();
    let successor = File::options().write(true).open(shared_address.state_file("seat-1")).unwrap();
    successor.lock().unwrap();

    let mut idle = proxy.connect();
    assert_eq!(exchange(&mut idle, &request("look", 9000)).status(), 200);
    proxy.signal("-TERM");
    wait_for("the start of the graceful shutdown", || proxy.management_call("status\n").starts_with("ERR"));

    // The successor accepts new connections, so that each open one gets one more response and is closed.
    let response = exchange(&mut idle, &request("look", 9000));
    assert_eq!((response.status(), response.header("connection")), (200, Some("close")));
    wait_for("the exit of the process", || proxy.child.try_wait().unwrap().is_some());
    assert_eq!(proxy.child.wait().unwrap().code(), Some(0));
}
