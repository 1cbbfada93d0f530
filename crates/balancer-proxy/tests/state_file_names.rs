//! The names of the files that two versions of the program share during an upgrade.
//!
//! All names and contents in this file are literals, as the version at commit 36aad31 wrote and read them.
//! They must not be derived from the constants of the program.

use balancer_proxy::control::state_files;
use std::net::SocketAddr;
use std::path::Path;

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

/// Later versions read the claims of this one, and write claims that this one reads.
#[test]
fn the_file_of_used_request_ids_has_the_name_that_the_first_version_with_it_gave_it() {
    let lock = Path::new("/t/dewpier-127.0.0.1:7070.seat-1");

    let path = state_files::used_request_ids_path(lock);

    assert_eq!(path, Path::new("/t/dewpier-127.0.0.1:7070.seat-1.ids"));
}
