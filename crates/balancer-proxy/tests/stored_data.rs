//! The files that two versions of the program share during an upgrade: names and contents, in both
//! directions.
//!
//! All names and contents here are literals, as the version at commit 36aad31 wrote and read them. They
//! must not be derived from the constants of the program.

mod common;

use balancer_proxy::control::instance_lock::InstanceLock;
use balancer_proxy::control::maintenance_store::MaintenanceStore;
use balancer_proxy::control::state_files;
use common::configuration::{configuration, default_settings, request, serving_list};
use common::http::exchange;
use common::proxy_process::{ProxyProcess, SharedAddress};
use common::stub_server::StubServer;
use common::waiting::wait_for;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// A record as the old version wrote it: `s-0` and `s-9` in maintenance, `s-9` no longer listed.
const OLD_RECORD: &str = r#"{"listed":["s-0","s-1","s-9"],"out":["s-0","s-9"]}"#;

/// A folder that is removed with its files at the end of a test.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let path =
            Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("stored-{}-{name}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path); // left by a test run that was killed
        std::fs::create_dir_all(&path).unwrap();
        Self(path)
    }

    /// The path that the files of `127.0.0.1:7070` start with.
    fn base(&self) -> PathBuf {
        self.file("dewpier-127.0.0.1:7070")
    }

    fn file(&self, name: &str) -> PathBuf {
        self.0.join(name)
    }

    fn read(&self, name: &str) -> String {
        std::fs::read_to_string(self.file(name)).unwrap()
    }

    /// The contents of all files, by name.
    fn contents(&self) -> BTreeMap<String, String> {
        let entries = std::fs::read_dir(&self.0).unwrap();
        let names = entries.map(|entry| entry.unwrap().file_name().into_string().unwrap());
        names.map(|name| (name.clone(), self.read(&name))).collect()
    }

    /// Creates a file with this content and locks it, as a running process of the old version does.
    fn lock_as_old_version(&self, name: &str, content: &str) -> File {
        std::fs::write(self.file(name), content).unwrap();
        let file = File::options().read(true).write(true).open(self.file(name)).unwrap();
        file.try_lock().unwrap();
        file
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn contents<const N: usize>(files: [(&str, &str); N]) -> BTreeMap<String, String> {
    files.map(|(name, content)| (name.to_string(), content.to_string())).into()
}

fn acquire(base: &Path) -> InstanceLock {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(InstanceLock::acquire(base)).unwrap()
}

fn config_with_two_backends() -> (Value, [StubServer; 2]) {
    let backends = ["zero", "one"].map(StubServer::responding_with);
    (configuration(&default_settings(), &serving_list(&[&backends[0], &backends[1]])), backends)
}

/// The management answers that the old version gives to a backend that it knows.
fn assert_in_service_again(proxy: &ProxyProcess, backend: &str) {
    assert_eq!(proxy.management_call(&format!("maint-off {backend}\n")), format!("OK {backend} is back\n"));
}

#[test]
fn file_names_are_those_of_the_old_version() {
    let base = |listen: &str| state_files::base_path(listen.parse::<SocketAddr>().unwrap());
    let temporary_folder = std::env::temp_dir();

    assert_eq!(base("127.0.0.1:7070"), temporary_folder.join("dewpier-127.0.0.1:7070"));
    assert_eq!(base("[::1]:7070"), temporary_folder.join("dewpier-[::1]:7070"));

    let base = Path::new("/t/dewpier-127.0.0.1:7070");
    let [first, second] = state_files::instance_lock_paths(base);
    assert_eq!(first, Path::new("/t/dewpier-127.0.0.1:7070.seat-0"));
    assert_eq!(second, Path::new("/t/dewpier-127.0.0.1:7070.seat-1"));
    let settings = state_files::published_settings_path(&second);
    assert_eq!(settings, Path::new("/t/dewpier-127.0.0.1:7070.seat-1.settings"));
    let record = state_files::maintenance_record_path(base);
    assert_eq!(record, Path::new("/t/dewpier-127.0.0.1:7070.book"));
    let lock = state_files::maintenance_lock_path(&record);
    assert_eq!(lock, Path::new("/t/dewpier-127.0.0.1:7070.book.lock"));
    let staging = state_files::maintenance_staging_path(&record, 4711);
    assert_eq!(staging, Path::new("/t/dewpier-127.0.0.1:7070.book.new-4711"));
}

#[test]
fn a_maintenance_record_of_the_old_version_is_in_force_from_the_start() {
    let shared_address = SharedAddress::new();
    std::fs::write(shared_address.state_file("book"), OLD_RECORD).unwrap();
    let (config, _backends) = config_with_two_backends();

    let proxy = shared_address.start(&config);

    assert_eq!(proxy.stats()["ejected"], json!(1));
    for _ in 0..10 {
        assert_eq!(proxy.exchange(&request("look", 9000)).body, b"one");
    }
    assert_in_service_again(&proxy, "s-9");
    assert_in_service_again(&proxy, "s-0");
    assert_eq!(proxy.stats()["ejected"], json!(0));
    assert_eq!(proxy.management_call("maint-on s-2\n"), "ERR never listed: s-2\n");
}

#[test]
fn a_maintenance_record_that_the_old_version_replaces_is_in_force_soon() {
    let shared_address = SharedAddress::new();
    let (config, _backends) = config_with_two_backends();
    let proxy = shared_address.start(&config);
    assert_eq!(proxy.stats()["ejected"], json!(0));

    // The old version writes a file of its own and renames it.
    let staging = shared_address.state_file("book.new-1");
    std::fs::write(&staging, OLD_RECORD).unwrap();
    std::fs::rename(&staging, shared_address.state_file("book")).unwrap();

    wait_for("maintenance", || proxy.stats()["ejected"] == json!(1));
    let saved = r#"{"listed":["s-0","s-1","s-9"],"out":["s-0","s-9"]}"#;
    assert_eq!(std::fs::read_to_string(shared_address.state_file("book")).unwrap(), saved);
}

#[test]
fn the_maintenance_record_is_written_byte_for_byte_as_the_old_version_reads_it() {
    let shared_address = SharedAddress::new();
    let (config, _backends) = config_with_two_backends();
    let proxy = shared_address.start(&config);
    let record = || std::fs::read_to_string(shared_address.state_file("book")).unwrap_or_default();

    wait_for("record", || record() == r#"{"listed":["s-0","s-1"],"out":[]}"#);
    assert_eq!(proxy.management_call("maint-on s-1\n"), "OK s-1 is out\n");
    assert_eq!(record(), r#"{"listed":["s-0","s-1"],"out":["s-1"]}"#);
    assert_eq!(proxy.management_call("maint-on s-0\n"), "OK s-0 is out\n");
    assert_eq!(record(), r#"{"listed":["s-0","s-1"],"out":["s-0","s-1"]}"#);
    assert_in_service_again(&proxy, "s-1");
    assert_eq!(record(), r#"{"listed":["s-0","s-1"],"out":["s-0"]}"#);
    assert_eq!(std::fs::read_to_string(shared_address.state_file("book.lock")).unwrap(), "");
}

#[test]
fn names_of_the_old_version_are_kept_in_the_maintenance_record() {
    let shared_address = SharedAddress::new();
    std::fs::write(shared_address.state_file("book"), r#"{"listed":["s-9"],"out":["s-9"]}"#).unwrap();
    let (config, _backends) = config_with_two_backends();

    let _proxy = shared_address.start(&config);

    let merged = r#"{"listed":["s-0","s-1","s-9"],"out":["s-9"]}"#;
    wait_for("record", || {
        std::fs::read_to_string(shared_address.state_file("book")).is_ok_and(|text| text == merged)
    });
}

#[test]
fn the_next_maintenance_record_is_staged_under_the_old_name() {
    let shared_address = SharedAddress::new();
    // A folder in the record's place can't be replaced, so that the staged file stays.
    std::fs::create_dir(shared_address.state_file("book")).unwrap();
    let (config, _backends) = config_with_two_backends();

    let proxy = shared_address.start(&config);
    assert_eq!(proxy.management_call("maint-on s-1\n"), "OK s-1 is out\n");

    let staging = shared_address.state_file(&format!("book.new-{}", proxy.child.id()));
    assert_eq!(std::fs::read_to_string(staging).unwrap(), r#"{"listed":["s-0","s-1"],"out":["s-1"]}"#);
}

#[test]
fn a_change_waits_for_the_record_lock_of_the_old_version_but_not_for_ever() {
    const LOCK_TIMEOUT: Duration = Duration::from_millis(300);
    let shared_address = SharedAddress::new();
    let (config, _backends) = config_with_two_backends();
    let proxy = shared_address.start(&config);
    let record = || std::fs::read_to_string(shared_address.state_file("book")).unwrap_or_default();
    wait_for("record", || record() == r#"{"listed":["s-0","s-1"],"out":[]}"#);
    let lock = File::options().write(true).open(shared_address.state_file("book.lock")).unwrap();
    lock.lock().unwrap();

    let start = Instant::now();
    assert_eq!(proxy.management_call("maint-on s-0\n"), "OK s-0 is out\n");

    assert!(start.elapsed() >= LOCK_TIMEOUT, "{:?}", start.elapsed());
    assert_eq!(record(), r#"{"listed":["s-0","s-1"],"out":["s-0"]}"#);
}

#[test]
fn opening_a_maintenance_store_writes_nothing() {
    let folder = Folder::new("store");
    std::fs::write(folder.file("dewpier-127.0.0.1:7070.book"), OLD_RECORD).unwrap();

    let _store = MaintenanceStore::open(&folder.base());

    assert_eq!(folder.contents(), contents([("dewpier-127.0.0.1:7070.book", OLD_RECORD)]));
}

#[test]
fn a_lock_that_the_old_version_holds_is_respected() {
    let folder = Folder::new("first");
    let old = folder.lock_as_old_version("dewpier-127.0.0.1:7070.seat-0", "listening");
    let settings = "00c0ffee00c0ffee, version 7\n";
    std::fs::write(folder.file("dewpier-127.0.0.1:7070.seat-0.settings"), settings).unwrap();

    let lock = acquire(&folder.base());

    assert!(lock.is_shared() && lock.other_is_listening());
    assert!(!lock.other_settings_differ("00c0ffee00c0ffee, version 7\n"));
    assert!(lock.other_settings_differ("00c0ffee00c0ffee, version 8\n"));
    // It holds the second lock, as the old version sees.
    let second = File::open(folder.file("dewpier-127.0.0.1:7070.seat-1")).unwrap();
    assert!(matches!(second.try_lock_shared(), Err(std::fs::TryLockError::WouldBlock)));
    let expected = contents([
        ("dewpier-127.0.0.1:7070.seat-0", "listening"),
        ("dewpier-127.0.0.1:7070.seat-0.settings", "00c0ffee00c0ffee, version 7\n"),
        ("dewpier-127.0.0.1:7070.seat-1", ""),
        ("dewpier-127.0.0.1:7070.seat-1.settings", ""),
    ]);
    assert_eq!(folder.contents(), expected);

    // Explicitly, as a child process that another test starts may have the file open for a moment.
    old.unlock().unwrap();
    assert!(!lock.is_shared() && !lock.other_is_listening());
    assert!(!lock.other_settings_differ("00c0ffee00c0ffee, version 8\n"), "its holder is gone");
}

#[test]
fn an_old_process_that_does_not_listen_yet_is_seen_as_such() {
    let folder = Folder::new("starting");
    let _old = folder.lock_as_old_version("dewpier-127.0.0.1:7070.seat-1", "");

    let lock = acquire(&folder.base());

    assert!(lock.is_shared() && !lock.other_is_listening());
    assert!(!lock.other_settings_differ("00c0ffee00c0ffee\n"), "it has published none");
}

#[test]
fn a_third_process_leaves_the_files_of_two_old_ones_as_they_are() {
    let folder = Folder::new("third");
    let _first = folder.lock_as_old_version("dewpier-127.0.0.1:7070.seat-0", "");
    let _second = folder.lock_as_old_version("dewpier-127.0.0.1:7070.seat-1", "listening");
    std::fs::write(folder.file("dewpier-127.0.0.1:7070.seat-0.settings"), "1\n").unwrap();
    std::fs::write(folder.file("dewpier-127.0.0.1:7070.seat-1.settings"), "2\n").unwrap();
    let before = folder.contents();

    let lock = acquire(&folder.base());
    lock.announce_listening().unwrap();
    lock.publish_fingerprint("3\n").unwrap();

    assert!(lock.is_shared() && lock.other_is_listening() && lock.other_settings_differ("3\n"));
    assert_eq!(folder.contents(), before);
}

#[test]
fn files_that_a_killed_old_process_left_are_taken_over() {
    let folder = Folder::new("left");
    std::fs::write(folder.file("dewpier-127.0.0.1:7070.seat-0"), "listening").unwrap();
    std::fs::write(folder.file("dewpier-127.0.0.1:7070.seat-0.settings"), "1\n").unwrap();
    std::fs::write(folder.file("dewpier-127.0.0.1:7070.seat-1"), "listening").unwrap();
    std::fs::write(folder.file("dewpier-127.0.0.1:7070.seat-1.settings"), "2\n").unwrap();

    let lock = acquire(&folder.base());

    assert!(!lock.is_shared() && !lock.other_is_listening() && !lock.other_settings_differ("3\n"));
    let expected = contents([
        ("dewpier-127.0.0.1:7070.seat-0", ""),
        ("dewpier-127.0.0.1:7070.seat-0.settings", ""),
        ("dewpier-127.0.0.1:7070.seat-1", "listening"),
        ("dewpier-127.0.0.1:7070.seat-1.settings", "2\n"),
    ]);
    assert_eq!(folder.contents(), expected);
}

#[test]
fn lock_files_are_written_byte_for_byte_as_the_old_version_reads_them() {
    let folder = Folder::new("written");

    let lock = acquire(&folder.base());
    lock.announce_listening().unwrap();
    lock.publish_fingerprint("00c0ffee00c0ffee, version 7\n").unwrap();

    let expected = contents([
        ("dewpier-127.0.0.1:7070.seat-0", "listening"),
        ("dewpier-127.0.0.1:7070.seat-0.settings", "00c0ffee00c0ffee, version 7\n"),
    ]);
    assert_eq!(folder.contents(), expected);
    let first = File::open(folder.file("dewpier-127.0.0.1:7070.seat-0")).unwrap();
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
    let (mut config, _backends) = config_with_two_backends();
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
    let (config, _backends) = config_with_two_backends();
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
