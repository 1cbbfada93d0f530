//! The Unix socket on which a process offers its listener: which users may connect to the socket, and how
//! processes start without it.

mod common;

use common::configuration::request;
use common::proxy_process::exit_code;
use common::shared_address::SharedAddress;
use common::stub_server::silent_discovery;
use common::takeover::{TakeoverFixture, assert_all_served, begin_requests};
use common::waiting::wait_for;
use rustix::net::{RecvAncillaryBuffer, RecvFlags, recvmsg};
use std::io::IoSliceMut;
use std::mem::MaybeUninit;
use std::os::unix::fs::{MetadataExt, PermissionsExt, symlink};
use std::os::unix::net::{UnixListener, UnixStream};
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::process::Command;

/// The ID of a user other than the one that runs the tests.
const OTHER_USER_ID: u32 = 65_534;
/// The environment variable with the path of the Unix socket to which a child process connects as another
/// user.
const SOCKET_PATH_VARIABLE: &str = "TEST_CONNECT_AS_OTHER_USER_TO";

#[test]
fn replaces_the_socket_of_a_process_that_was_killed() {
    let fixture = TakeoverFixture::new();
    let mut killed = fixture.start();
    killed.kill();
    assert!(fixture.first_offer_path().exists(), "the socket of the killed process has been removed");

    let restarted = fixture.start();

    assert_eq!(restarted.exchange(&request("look", 9000)).status(), 200);
    let next = fixture.start();
    drop(restarted);
    assert_all_served(begin_requests(&next, 5));
}

#[test]
fn removes_the_socket_when_the_process_exits() {
    let fixture = TakeoverFixture::new();
    let mut process = fixture.start();
    assert!(fixture.first_offer_path().exists());

    process.signal("-TERM");

    assert_eq!(exit_code(&mut process.child), Some(0));
    assert!(!fixture.first_offer_path().exists());
}

#[test]
fn binds_a_listener_when_the_offer_sends_no_descriptor() {
    let fixture = TakeoverFixture::new();
    let old = fixture.start();
    std::fs::remove_file(fixture.first_offer_path()).unwrap();
    // No process accepts connections on this socket, so the successor receives no descriptor.
    let _hanging = UnixListener::bind(fixture.first_offer_path()).unwrap();

    let next = fixture.start();

    next.wait_until_ready();
    drop(old);
    assert_all_served(begin_requests(&next, 5));
}

#[test]
fn starts_and_takes_over_when_the_path_is_too_long_for_a_socket() {
    let fixture = TakeoverFixture::with_address(SharedAddress::in_folder_with_long_name());
    let mut old = fixture.start();
    assert!(!fixture.first_offer_path().exists());

    let next = fixture.start();
    next.wait_until_ready();
    old.signal("-TERM");

    assert_eq!(exit_code(&mut old.child), Some(0));
    assert_eq!(next.exchange(&request("look", 9000)).status(), 200);
    assert!(old.starting_log.iter().any(|line| line.starts_with("handover: ")), "{:?}", old.starting_log);
}

#[test]
fn a_process_without_a_management_address_offers_no_listener_and_shares_no_address() {
    let fixture = TakeoverFixture::new();
    let old = fixture.address.start_without_management(&fixture.configuration);

    let mut second = fixture.address.spawn(&fixture.configuration, silent_discovery().address);

    assert_eq!(
        exit_code(&mut second),
        Some(1),
        "the second process did not fail although the address is in use"
    );
    assert!(!fixture.first_offer_path().exists());
    assert_eq!(old.exchange(&request("look", 9000)).status(), 200);
}

#[test]
fn other_users_cannot_connect_to_the_socket() {
    let fixture = TakeoverFixture::new();
    let _process = fixture.start();

    let mode = fixture.first_offer_path().metadata().unwrap().permissions().mode();

    assert_eq!(mode & 0o777, 0o600);
}

/// Runs in the child process of `a_process_of_another_user_gets_no_listener_even_if_it_can_connect`: connects
/// to the socket and checks that no descriptor arrives. Without the environment variable, the test checks
/// nothing.
#[test]
fn a_child_process_of_another_user_receives_no_descriptor() {
    let Some(path) = std::env::var_os(SOCKET_PATH_VARIABLE) else { return };

    let stream = UnixStream::connect(path).unwrap();

    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut ancillary = RecvAncillaryBuffer::new(&mut space);
    let mut message = [0];
    let mut buffers = [IoSliceMut::new(&mut message)];
    let received = recvmsg(&stream, &mut buffers, &mut ancillary, RecvFlags::empty());
    assert_eq!(
        received.map_or(0, |received| received.bytes),
        0,
        "the socket sent a message, which may carry a descriptor"
    );
    assert_eq!(ancillary.drain().count(), 0);
}

/// Creates a hard link to a file or, where that fails, a symbolic link. A copy of a program would not do: the
/// copy cannot be executed while a process that another test is starting holds a descriptor for writing it.
fn link_file(file: &Path, name: &Path) {
    std::fs::hard_link(file, name).or_else(|_| symlink(file, name)).unwrap();
}

#[test]
fn a_process_of_another_user_gets_no_listener_even_if_it_can_connect() {
    if std::fs::metadata("/proc/self").unwrap().uid() != 0 {
        return; // only root can run a program as another user
    }
    let fixture = TakeoverFixture::new();
    let process = fixture.start();
    std::fs::set_permissions(fixture.first_offer_path(), PermissionsExt::from_mode(0o666)).unwrap();
    // The other user may have no access to the parent folders of the program and of the socket.
    let open_folder = tempfile::tempdir_in("/tmp").unwrap();
    std::fs::set_permissions(open_folder.path(), PermissionsExt::from_mode(0o755)).unwrap();
    let program = open_folder.path().join("test");
    link_file(&std::env::current_exe().unwrap(), &program);
    let socket = open_folder.path().join("socket");
    link_file(&fixture.first_offer_path(), &socket);

    let status = Command::new(&program)
        .args(["--exact", "a_child_process_of_another_user_receives_no_descriptor"])
        .env(SOCKET_PATH_VARIABLE, &socket)
        .uid(OTHER_USER_ID)
        .status()
        .unwrap();

    assert!(status.success());
    wait_for("the log line about another user", || {
        let log = process.log.lock().unwrap();
        log.iter().any(|line| line.contains("the process belongs to another user"))
    });
}
