//! Updates of the endpoint list. The proxy must apply changes also after discovery has restarted or failed,
//! and keep the cached list until then. A drain must also apply to requests that were assigned to the backend
//! before the drain: none is sent after the grace period.

mod common;

use common::configuration::{default_settings, endpoint_list, listed_endpoint, request, serving_list};
use common::http::{HttpMessage, read_message, response};
use common::late_server::LateServer;
use common::proxy_process::ProxyProcess;
use common::scripted_discovery::{BackendReplacement, ScriptedDiscovery};
use common::stub_server::{Reply, StubServer};
use common::waiting::wait_for;
use serde_json::json;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

#[test]
fn applies_changes_whose_generation_restarts_and_asks_for_the_full_list() {
    // The cached list has generation 1, so that changes of generation 0 come from a restarted discovery.
    for (generation, asks_for_full_list) in [(0, true), (1, false), (2, false)] {
        let backends = BackendReplacement::start();
        let event = response("200 OK", &backends.event(generation, "DRAINING").to_string());
        let discovery = ScriptedDiscovery::with_failing_first_call(|_| {}, event);
        let proxy =
            ProxyProcess::start(&default_settings(), &backends.cached_list(), discovery.server.address);

        wait_for("the call after the list", || discovery.call_count() >= 3);

        assert_eq!(proxy.exchange(&request("look", 9000)).body, b"new", "{generation}");
        let next_call = discovery.call(2).request_line;
        assert_eq!(
            next_call.starts_with("GET /api/targets HTTP"),
            asks_for_full_list,
            "{generation}: {next_call}"
        );
    }
}

#[test]
fn does_not_send_a_request_assigned_before_a_drain_notification_after_the_grace_period() {
    let backend = LateServer::with_full_backlog();
    let (is_draining, is_notified) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
    let event = endpoint_list(2, false, &[listed_endpoint("s-0", backend.address, "DRAINING")]).to_string();
    let (may_notify, report_notified) = (is_draining.clone(), is_notified.clone());
    let discovery = StubServer::new(move |_, message| {
        if message.start_line.contains("since=2&") {
            report_notified.store(true, Ordering::SeqCst);
            return Reply::Hang;
        }
        while !may_notify.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_millis(5));
        }
        Reply::Respond(response("200 OK", &event))
    });
    let mut settings = default_settings();
    settings["caps"]["connect-timeout"] = json!(20.0);
    let cached_list = endpoint_list(1, true, &[listed_endpoint("s-0", backend.address, "SERVING")]);
    let proxy = ProxyProcess::start(&settings, &cached_list, discovery.address);
    let mut stream = proxy.begin_request(&request("order", 9000));
    wait_for("a connection attempt", || backend.has_pending_connection());

    is_draining.store(true, Ordering::SeqCst);
    wait_for("the notification of the drain", || is_notified.load(Ordering::SeqCst));
    // The grace period is 1 s.
    std::thread::sleep(Duration::from_millis(1100));
    let received = backend.accept_all();

    assert!(received.is_empty(), "{received:?}");
    assert_eq!(read_message(&mut stream).expect("no complete response").status(), 503);
}

#[test]
fn keeps_the_cached_list_while_discovery_fails_and_repeats_its_calls() {
    let backends = BackendReplacement::start();
    let event = backends.event(2, "DELETED").to_string();
    let is_working = Arc::new(AtomicBool::new(false));
    let may_respond = is_working.clone();
    let discovery = StubServer::new(move |earlier_calls, _| match earlier_calls {
        0 => Reply::Close,
        1 => Reply::Respond(response("503 Service Unavailable", "")),
        _ if may_respond.load(Ordering::SeqCst) => Reply::Respond(response("200 OK", &event)),
        _ => Reply::Respond(response("200 OK", "{\"generation\":")),
    });
    let proxy = ProxyProcess::start(&default_settings(), &backends.cached_list(), discovery.address);
    wait_for("a repeated call", || discovery.request_count() >= 3);
    assert_eq!(proxy.exchange(&request("look", 20_000)).body, b"old");

    is_working.store(true, Ordering::SeqCst);
    let is_next_watch = |call: &HttpMessage| call.start_line.contains("since=2&");
    wait_for("the call after the list", || discovery.requests.lock().unwrap().iter().any(is_next_watch));

    assert_eq!(proxy.exchange(&request("look", 20_000)).body, b"new");
}

#[test]
fn repeats_a_failed_poll_in_registry_mode_subscribe() {
    let (old, new) = (StubServer::responding_with("old"), StubServer::responding_with("new"));
    let full_list = endpoint_list(7, true, &[listed_endpoint("s-1", new.address, "SERVING")]).to_string();
    let discovery = StubServer::new(move |earlier_calls, _| match earlier_calls {
        0 | 1 => Reply::Respond(response("503 Service Unavailable", "")),
        2 => Reply::Respond(response("200 OK", &full_list)),
        _ => Reply::Hang,
    });
    let mut settings = default_settings();
    settings["registry-mode"] = json!("subscribe");
    settings["rules"]["ask-within"] = json!(1.0);
    let proxy = ProxyProcess::start(&settings, &serving_list(&[&old]), discovery.address);

    wait_for("the next poll", || discovery.request_count() >= 4);

    let next_poll = discovery.requests.lock().unwrap()[3].start_line.clone();
    assert!(next_poll.contains("since=7&timeout_ms=1000"));
    assert_eq!(proxy.exchange(&request("look", 20_000)).body, b"new");
}
