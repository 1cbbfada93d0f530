//! Maintenance of backends, started and ended by management calls.

mod common;

use common::configuration::{
    configuration_with_management, default_settings, endpoint_list, listed_endpoint, request, serving_list,
};
use common::http::{read_message, response};
use common::late_server::LateServer;
use common::proxy_process::ProxyProcess;
use common::stub_server::{Reply, StubServer, silent_discovery};
use common::waiting::wait_for;
use serde_json::json;
use std::time::Duration;

#[test]
fn management_calls_start_and_end_maintenance() {
    let backends = ["zero", "one"].map(StubServer::responding_with);
    let proxy = ProxyProcess::with_management_address(&[&backends[0], &backends[1]]);
    assert!(proxy.management_call("maint-on s-7\n").starts_with("ERR"));
    assert!(proxy.management_call("maint-off s-7\n").starts_with("ERR"));
    assert!(proxy.management_call("maint-on\n").starts_with("ERR"));
    assert!(proxy.management_call("maint-on s-0 s-1\n").starts_with("ERR"));

    for _ in 0..2 {
        assert!(proxy.management_call("maint-on s-0\n").starts_with("OK"));
    }
    let stats = proxy.stats();
    assert_eq!((stats["discovered"].clone(), stats["ejected"].clone()), (json!(2), json!(1)));
    for _ in 0..10 {
        assert_eq!(proxy.exchange(&request("look", 9000)).body, b"one");
    }

    for _ in 0..2 {
        assert!(proxy.management_call("maint-off s-0\n").starts_with("OK"));
    }
    assert_eq!(proxy.stats()["ejected"], json!(0));
    wait_for("a request at the backend after its maintenance", || {
        proxy.exchange(&request("look", 9000)).body == b"zero"
    });
}

#[test]
fn accepts_maintenance_of_a_backend_that_is_no_longer_listed() {
    let backends = ["zero", "one"].map(StubServer::responding_with);
    let removal =
        endpoint_list(2, false, &[listed_endpoint("s-0", backends[0].address, "DELETED")]).to_string();
    let discovery = StubServer::new(move |earlier_calls, _| match earlier_calls {
        0 => Reply::Respond(response("200 OK", &removal)),
        _ => Reply::Hang,
    });
    let cached_list = serving_list(&[&backends[0], &backends[1]]);
    let configuration = configuration_with_management(&default_settings(), &cached_list);
    let proxy = ProxyProcess::with_configuration(&configuration, discovery.address);
    wait_for("the endpoint list from discovery", || proxy.stats()["discovered"] == json!(1));

    assert!(proxy.management_call("maint-on s-0\n").starts_with("OK"));
    assert!(proxy.management_call("maint-off s-0\n").starts_with("OK"));
}

#[test]
fn does_not_send_a_request_assigned_before_maintenance_after_the_grace_period() {
    let backend = LateServer::with_full_backlog();
    let mut settings = default_settings();
    settings["caps"]["connect-timeout"] = json!(20.0);
    let cached_list = endpoint_list(1, true, &[listed_endpoint("s-0", backend.address, "SERVING")]);
    let configuration = configuration_with_management(&settings, &cached_list);
    let proxy = ProxyProcess::with_configuration(&configuration, silent_discovery().address);
    let mut stream = proxy.begin_request(&request("order", 9000));
    wait_for("a connection attempt", || backend.has_pending_connection());

    assert!(proxy.management_call("maint-on s-0\n").starts_with("OK"));
    // The grace period is 1 s.
    std::thread::sleep(Duration::from_millis(1100));
    let received = backend.accept_all();

    assert!(received.is_empty(), "{received:?}");
    assert_eq!(read_message(&mut stream).expect("no complete response").status(), 503);
    assert_eq!(proxy.stats()["forwards"], 0);
}
