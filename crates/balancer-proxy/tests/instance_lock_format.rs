//! The lock files that two versions of the program share during an upgrade: names and contents, in both
//! directions.
//!
//! All names and contents here are literals, as the version at commit 36aad31 wrote and read them. They
//! must not be derived from the constants of the program.

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

fn acquire(base: &Path) -> InstanceLock {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(InstanceLock::acquire(base)).unwrap()
}

#[test]
fn a_lock_that_the_old_version_holds_is_respected() {
    let folder = StateFolder::new("first");
    let old = folder.lock_as_old_version("dewpier-127.0.0.1:7070.seat-0", "listening");
    let settings = "00c0ffee00c0ffee, version 7\n";
    std::fs::write(folder.file_path("dewpier-127.0.0.1:7070.seat-0.settings"), settings).unwrap();

    let lock = acquire(&folder.base_path());

    assert!(lock.other_process().is_running() && lock.other_is_listening());
    assert!(!lock.other_settings_differ("00c0ffee00c0ffee, version 7\n"));
    assert!(lock.other_settings_differ("00c0ffee00c0ffee, version 8\n"));
    // It holds the second lock, as the old version sees.
    let second = File::open(folder.file_path("dewpier-127.0.0.1:7070.seat-1")).unwrap();
    assert!(matches!(second.try_lock_shared(), Err(std::fs::TryLockError::WouldBlock)));
    let expected = expected_contents([
        ("dewpier-127.0.0.1:7070.seat-0", "listening"),
        ("dewpier-127.0.0.1:7070.seat-0.settings", "00c0ffee00c0ffee, version 7\n"),
        ("dewpier-127.0.0.1:7070.seat-1", ""),
        ("dewpier-127.0.0.1:7070.seat-1.settings", ""),
    ]);
    assert_eq!(folder.contents(), expected);

    // Explicitly, as a child process that another test starts may have the file open for a moment.
    old.unlock().unwrap();
    assert!(!lock.other_process().is_running() && !lock.other_is_listening());
    assert!(!lock.other_settings_differ("00c0ffee00c0ffee, version 8\n"), "its holder is gone");
}

#[test]
fn an_old_process_that_does_not_listen_yet_is_seen_as_such() {
    let folder = StateFolder::new("starting");
    let _old = folder.lock_as_old_version("dewpier-127.0.0.1:7070.seat-1", "");

    let lock = acquire(&folder.base_path());

    assert!(lock.other_process().is_running() && !lock.other_is_listening());
    assert!(!lock.other_settings_differ("00c0ffee00c0ffee\n"), "it has published none");
}

#[test]
fn a_third_process_leaves_the_files_of_two_old_ones_as_they_are() {
    let folder = StateFolder::new("third");
    let _first = folder.lock_as_old_version("dewpier-127.0.0.1:7070.seat-0", "");
    let _second = folder.lock_as_old_version("dewpier-127.0.0.1:7070.seat-1", "listening");
    std::fs::write(folder.file_path("dewpier-127.0.0.1:7070.seat-0.settings"), "1\n").unwrap();
    std::fs::write(folder.file_path("dewpier-127.0.0.1:7070.seat-1.settings"), "2\n").unwrap();
    let before = folder.contents();

    let lock = acquire(&folder.base_path());
    lock.announce_listening().unwrap();
    lock.publish_fingerprint("3\n").unwrap();

    assert!(
        lock.other_process().is_running() && lock.other_is_listening() && lock.other_settings_differ("3\n")
    );
    assert_eq!(folder.contents(), before);
}

#[test]
fn files_that_a_killed_old_process_left_are_taken_over() {
    let folder = StateFolder::new("left");
    std::fs::write(folder.file_path("dewpier-127.0.0.1:7070.seat-0"), "listening").unwrap();
    std::fs::write(folder.file_path("dewpier-127.0.0.1:7070.seat-0.settings"), "1\n").unwrap();
    std::fs::write(folder.file_path("dewpier-127.0.0.1:7070.seat-1"), "listening").unwrap();
    std::fs::write(folder.file_path("dewpier-127.0.0.1:7070.seat-1.settings"), "2\n").unwrap();

    let lock = acquire(&folder.base_path());

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
fn lock_files_are_written_byte_for_byte_as_the_old_version_reads_them() {
    let folder = StateFolder::new("written");

    let lock = acquire(&folder.base_path());
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

/// The digest of a file's text in 16 hexadecimal digits, as the old version computed it.
fn digest_of(text: &str) -> String {
    use std::hash::{DefaultHasher, Hash, Hasher};
    let mut hasher = DefaultHasher::new();
    text.hash(&mut hasher);
    format!("{:016x}", hasher.finish())
}

#[test]
fn a_process_announces_itself_in_the_words_of_the_old_version() {
    let shared_address = SharedAddress::new();
    let backends = ["zero", "one"].map(StubServer::responding_with);
    let mut config = default_configuration(&backends.each_ref());
    config["settings"]["version"] = json!(7);
    let file = |name: &str| std::fs::read_to_string(shared_address.state_file(name)).unwrap_or_default();
    config["management"] = json!("127.0.0.1:0");

    let numbered = shared_address.start(&config);

    let with_version = format!("{}, version 7\n", digest_of(&config.to_string()));
    wait_for("published settings", || file("seat-0.settings") == with_version);
    wait_for("announcement", || file("seat-0") == "listening");
    drop(numbered);

    config["settings"].as_object_mut().unwrap().remove("version");
    let _unnumbered = shared_address.start(&config);

    let without_version = format!("{}\n", digest_of(&config.to_string()));
    wait_for("published settings", || file("seat-0.settings") == without_version);
}

#[test]
fn a_process_hands_over_to_one_that_holds_the_second_lock_of_the_old_version() {
    let shared_address = SharedAddress::new();
    let backends = ["zero", "one"].map(StubServer::responding_with);
    let config = default_configuration(&backends.each_ref());
    let mut proxy = shared_address.start(&config);
    // A process of the old version that has taken over, and accepts connections.
    std::fs::write(shared_address.state_file("seat-1"), "listening").unwrap();
    let successor = File::options().write(true).open(shared_address.state_file("seat-1")).unwrap();
    successor.lock().unwrap();

    let mut idle = proxy.connect();
    assert_eq!(exchange(&mut idle, &request("look", 9000)).status(), 200);
    proxy.signal("-TERM");
    wait_for("stop", || proxy.management_call("status\n").starts_with("ERR"));

    // No new connections are expected, so that each open one gets one more response and is closed.
    let response = exchange(&mut idle, &request("look", 9000));
    assert_eq!((response.status(), response.header("connection")), (200, Some("close")));
    wait_for("exit", || proxy.child.try_wait().unwrap().is_some());
    assert_eq!(proxy.child.wait().unwrap().code(), Some(0));
}
