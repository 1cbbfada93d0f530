//! The management address: valid and invalid calls, and the metrics that `stats` returns.

mod common;

use common::closed_address::ClosedAddress;
use common::configuration::{
    configuration_with_management, default_settings, endpoint_list, listed_endpoint, request,
};
use common::http::response;
use common::proxy_process::ProxyProcess;
use common::stub_server::{Reply, StubServer, silent_discovery};
use common::waiting::{wait_for, wait_for_disconnect};
use serde_json::Value;
use std::io::{BufReader, Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

/// Returns the numbers of requests of a class that succeeded, were rejected and failed.
fn outcome_counts(stats: &Value, class: &str) -> Vec<u64> {
    ["succeeded", "declined", "aborted"]
        .map(|outcome| stats["results"][class][outcome].as_u64().unwrap())
        .to_vec()
}

fn metric(stats: &Value, name: &str) -> u64 {
    stats[name].as_u64().unwrap()
}

/// Returns everything that arrives until the end of the connection.
fn read_to_end(stream: &mut BufReader<TcpStream>) -> String {
    let mut text = String::new();
    let _ = stream.read_to_string(&mut text); // a reset also ends the connection
    text
}

#[test]
fn has_no_management_address_without_the_setting() {
    let backend = StubServer::responding_with("hello");

    let proxy = ProxyProcess::in_front_of(&[&backend]);

    assert_eq!(proxy.management, None);
}

#[test]
fn responds_to_valid_calls_and_rejects_invalid_ones_with_err() {
    let backend = StubServer::responding_with("hello");
    let proxy = ProxyProcess::with_management_address(&[&backend]);
    let mut invalid_utf8 = proxy.connect_management();
    invalid_utf8.get_mut().write_all(b"\xff\xfe status\n").unwrap();

    assert!(proxy.management_call("status\n").starts_with("OK"));
    assert!(proxy.management_call("status\r\n").starts_with("OK"));
    let too_long = "status ".repeat(200);
    let invalid_calls =
        ["\n", "status now\n", "STATUS\n", "stat", "statistics\n", "stats\0\n", "\u{e9}\n", &too_long];
    for call in invalid_calls {
        assert!(proxy.management_call(call).starts_with("ERR"), "{call:?}");
    }
    assert!(read_to_end(&mut invalid_utf8).starts_with("ERR"));
}

#[test]
fn closes_connections_without_a_complete_call_and_answers_other_calls_meanwhile() {
    let backend = StubServer::responding_with("hello");
    let proxy = ProxyProcess::with_management_address(&[&backend]);
    let start = Instant::now();
    let incomplete: Vec<_> = (0..100)
        .map(|index| {
            let mut stream = proxy.connect_management();
            stream.get_mut().write_all(if index % 2 == 0 { b"" } else { b"stat" }).unwrap();
            stream
        })
        .collect();

    assert!(proxy.management_call("status\n").starts_with("OK"));

    for mut stream in incomplete {
        let reply = read_to_end(&mut stream);
        assert!(reply.is_empty() || reply.starts_with("ERR"), "{reply}");
    }
    assert!(start.elapsed() < Duration::from_secs(15), "{:?}", start.elapsed());
    assert_eq!(proxy.exchange(&request("look", 9000)).status(), 200);
}

#[test]
fn is_not_ready_without_an_endpoint_list() {
    let empty_list = endpoint_list(0, true, &[]);
    let configuration = configuration_with_management(&default_settings(), &empty_list);
    let proxy = ProxyProcess::with_configuration(&configuration, silent_discovery().address);

    assert!(proxy.management_call("status\n").starts_with("ERR"));
}

#[test]
fn metrics_count_the_responses_to_clients_and_the_attempts_at_backends() {
    // The backend responds to two requests, fails the third and never responds to the fourth.
    let (report_disconnect, disconnected) = channel();
    let backend = StubServer::new(move |earlier_requests, _| match earlier_requests {
        0 | 1 => Reply::Respond(response("200 OK", "hello")),
        2 => Reply::Respond(response("500 Internal Server Error", "")),
        _ => Reply::HangAndReport(report_disconnect.clone()),
    });
    let proxy = ProxyProcess::with_management_address(&[&backend]);
    let stats = proxy.stats();
    for class in ["look", "save", "order"] {
        assert_eq!(outcome_counts(&stats, class), [0, 0, 0]);
    }
    let names = ["outstanding", "forwards", "discovered", "ejected"];
    assert_eq!(names.map(|name| metric(&stats, name)), [0, 0, 1, 0]);

    assert_eq!(proxy.exchange(&request("look", 9000)).status(), 200);
    assert_eq!(proxy.exchange(&request("save", 9000)).status(), 200);
    assert_eq!(proxy.exchange(&request("order", 9000)).status(), 502);
    // An invalid request is not counted.
    let invalid = request("order", 9000).replace("X-Lane: order", "X-Lane: no");
    assert_eq!(proxy.exchange(&invalid).status(), 400);
    let disconnecting = proxy.begin_request(&request("order", 9000));
    wait_for("the fourth request at the backend", || backend.request_count() == 4);
    wait_for("the fourth forwarded request in the metrics", || metric(&proxy.stats(), "forwards") == 4);
    assert_eq!(metric(&proxy.stats(), "outstanding"), 1);
    drop(disconnecting);
    wait_for_disconnect(&disconnected);
    wait_for("the end of the request", || metric(&proxy.stats(), "outstanding") == 0);

    // The client that disconnected got no response, so its request has no result.
    let stats = proxy.stats();
    assert_eq!(outcome_counts(&stats, "look"), [1, 0, 0]);
    assert_eq!(outcome_counts(&stats, "save"), [1, 0, 0]);
    assert_eq!(outcome_counts(&stats, "order"), [0, 0, 1]);
}

#[test]
fn metrics_count_a_request_that_reaches_no_backend_as_rejected() {
    let closed = ClosedAddress::new();
    let cached_list = endpoint_list(1, true, &[listed_endpoint("s-1", closed.address, "SERVING")]);
    let configuration = configuration_with_management(&default_settings(), &cached_list);
    let proxy = ProxyProcess::with_configuration(&configuration, silent_discovery().address);

    assert_eq!(proxy.exchange(&request("order", 1000)).status(), 503);

    let stats = proxy.stats();
    assert_eq!((outcome_counts(&stats, "order"), metric(&stats, "forwards")), (vec![0, 1, 0], 0));
}

#[test]
fn metrics_count_each_attempt_as_forwarded_and_the_request_once() {
    // The first attempt fails at either backend; the next one gets a response.
    let attempts = Arc::new(AtomicUsize::new(0));
    let backends = [attempts.clone(), attempts].map(|attempts| {
        StubServer::new(move |_, _| match attempts.fetch_add(1, Ordering::SeqCst) {
            0 => Reply::Close,
            _ => Reply::Respond(response("200 OK", "hello")),
        })
    });
    let proxy = ProxyProcess::with_management_address(&[&backends[0], &backends[1]]);

    assert_eq!(proxy.exchange(&request("look", 4000)).status(), 200);

    let stats = proxy.stats();
    assert_eq!(backends[0].request_count() + backends[1].request_count(), 2);
    assert_eq!(stats["forwards"].as_u64(), Some(2));
    assert_eq!(outcome_counts(&stats, "look"), [1, 0, 0]);
}
