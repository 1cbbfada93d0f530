//! Two calls to discovery whose responses cross. A process that starts beside another one fetches the full list
//! beside its watch, and a call of the watch that gets no response in time is followed by another one.
//!
//! Guards against a list that was slow on its way and replaced newer changes: backends whose drain the watch had
//! announced were in service again, for as long as they drained.

mod common;

use common::configuration::{configuration, default_settings, request};
use common::http::response;
use common::proxy_process::{ProxyProcess, exit_code};
use common::scripted_discovery::{BackendReplacement, ScriptedDiscovery};
use common::shared_address::SharedAddress;
use common::stub_server::wait_for_input_or_close;
use common::waiting::{TEST_TIMEOUT, wait_for_disconnect};
use std::io::Write;
use std::ops::ControlFlow;
use std::sync::Mutex;
use std::sync::mpsc::channel;

/// Asserts that requests go to the new backend alone.
fn assert_drained(proxy: &ProxyProcess) {
    for _ in 0..20 {
        assert_eq!(proxy.exchange(&request("look", 9000)).body, b"new");
    }
}

#[test]
fn a_full_list_that_arrives_after_newer_changes_does_not_put_a_draining_backend_back_into_service() {
    let backends = BackendReplacement::start();
    let cached_list = backends.cached_list();
    let changes = response("200 OK", &backends.event(3, "DRAINING").to_string());
    let full_list = response("200 OK", &backends.full_list(2, "SERVING").to_string());
    let (release_full_list, full_list_released) = channel();
    let (report_full_list_read, full_list_read) = channel();
    let (report_changes_applied, changes_applied) = channel();
    let full_list_released = Mutex::new(full_list_released);
    let discovery = ScriptedDiscovery::with_call_handler(move |_, request_line, stream| {
        if request_line.contains("since=1&") {
            stream.get_mut().write_all(changes.as_bytes()).unwrap();
            return ControlFlow::Continue(());
        }
        if request_line.contains("since=") {
            let _ = report_changes_applied.send(());
            wait_for_input_or_close(stream);
            return ControlFlow::Break(());
        }
        full_list_released.lock().unwrap().recv_timeout(TEST_TIMEOUT).unwrap();
        stream.get_mut().write_all(full_list.as_bytes()).unwrap();
        wait_for_input_or_close(stream);
        let _ = report_full_list_read.send(());
        ControlFlow::Break(())
    });
    let shared_address = SharedAddress::new();
    let configuration = configuration(&default_settings(), &cached_list);
    let mut old_process = shared_address.start(&configuration);
    let new_process = shared_address.start_with_discovery(&configuration, discovery.server.address);

    changes_applied.recv_timeout(TEST_TIMEOUT).expect("no watch call followed the changes");
    release_full_list.send(()).unwrap();
    wait_for_disconnect(&full_list_read);
    old_process.signal("-TERM");
    assert_eq!(exit_code(&mut old_process.child), Some(0));

    assert_drained(&new_process);
}

#[test]
fn changes_that_arrive_after_the_newer_ones_of_the_next_call_do_not_put_a_draining_backend_back_into_service()
{
    let backends = BackendReplacement::start();
    let newer = response("200 OK", &backends.event(3, "DRAINING").to_string());
    let older = response("200 OK", &backends.event(2, "SERVING").to_string());
    let (release_older, older_released) = channel();
    let (report_older_read, older_read) = channel();
    let (report_newer_applied, newer_applied) = channel();
    let older_released = Mutex::new(older_released);
    let discovery =
        ScriptedDiscovery::with_call_handler(move |earlier_calls, _, stream| match earlier_calls {
            0 => {
                older_released.lock().unwrap().recv_timeout(TEST_TIMEOUT).unwrap();
                stream.get_mut().write_all(older.as_bytes()).unwrap();
                wait_for_input_or_close(stream);
                let _ = report_older_read.send(());
                ControlFlow::Break(())
            }
            1 => {
                stream.get_mut().write_all(newer.as_bytes()).unwrap();
                ControlFlow::Continue(())
            }
            _ => {
                let _ = report_newer_applied.send(());
                wait_for_input_or_close(stream);
                ControlFlow::Break(())
            }
        });
    let proxy = ProxyProcess::start(&default_settings(), &backends.cached_list(), discovery.server.address);

    newer_applied.recv_timeout(TEST_TIMEOUT).expect("no call followed the newer changes");
    release_older.send(()).unwrap();
    wait_for_disconnect(&older_read);

    assert_drained(&proxy);
}
