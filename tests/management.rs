//! The second address, from outside: calls, what is no call, and the figures.

mod common;

use common::configuration::{configuration, default_settings, endpoint_list, listed_endpoint, request};
use common::http::response;
use common::proxy_process::ProxyProcess;
use common::stub_server::{Reply, StubServer, silent_discovery};
use common::waiting::{wait_for, wait_for_disconnect};
use serde_json::{Value, json};
use std::io::{BufReader, Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

fn results(figures: &Value, class: &str) -> Vec<u64> {
    ["succeeded", "declined", "aborted"].map(|end| figures["results"][class][end].as_u64().unwrap()).to_vec()
}

#[test]
fn without_the_setting_nothing_listens() {
    let backend = StubServer::responding_with("hello");
    let proxy = ProxyProcess::in_front_of(&[&backend]);
    assert_eq!(proxy.management, None);
}

#[test]
fn calls_are_answered_and_all_else_gets_err() {
    let backend = StubServer::responding_with("hello");
    let proxy = ProxyProcess::with_management(&[&backend]);
    assert!(proxy.management_call("status\n").starts_with("OK"));
    assert!(proxy.management_call("status\r\n").starts_with("OK"));
    let long = "status ".repeat(200);
    for bad in ["\n", "status now\n", "STATUS\n", "stat", "statistics\n", "stats\0\n", "\u{e9}\n", &long] {
        assert!(proxy.management_call(bad).starts_with("ERR"), "{bad:?}");
    }
    let mut garbled = proxy.connect_management();
    garbled.get_mut().write_all(b"\xff\xfe status\n").unwrap();
    assert!(ended(&mut garbled).starts_with("ERR"));
}

/// All that comes until the end of the connection.
fn ended(stream: &mut BufReader<TcpStream>) -> String {
    let mut text = String::new();
    let _ = stream.read_to_string(&mut text); // it may have been reset
    text
}

#[test]
fn callers_that_say_nothing_or_half_a_call_delay_nobody_and_are_closed() {
    let backend = StubServer::responding_with("hello");
    let proxy = ProxyProcess::with_management(&[&backend]);
    let start = Instant::now();
    let mute: Vec<_> = (0..100)
        .map(|i| {
            let mut stream = proxy.connect_management();
            stream.get_mut().write_all(if i % 2 == 0 { b"" } else { b"stat" }).unwrap();
            stream
        })
        .collect();
    assert!(proxy.management_call("status\n").starts_with("OK"));
    for mut stream in mute {
        let told = ended(&mut stream);
        assert!(told.is_empty() || told.starts_with("ERR"), "{told}");
    }
    assert!(start.elapsed() < Duration::from_secs(15), "{:?}", start.elapsed());
    assert_eq!(proxy.exchange(&request("look", 9000)).status(), 200);
}

#[test]
fn a_proxy_without_a_list_is_not_ready() {
    let mut config = configuration(&default_settings(), &endpoint_list(0, true, &[]));
    config["management"] = json!("127.0.0.1:0");
    let proxy = ProxyProcess::with_configuration(&config, silent_discovery().address);
    assert!(proxy.management_call("status\n").starts_with("ERR"));
}

#[test]
fn the_figures_are_what_clients_and_backends_saw() {
    // Answers, fails, then never answers.
    let (ended, end) = channel();
    let backend = StubServer::new(move |before, _| match before {
        0 | 1 => Reply::Respond(response("200 OK", "hello")),
        2 => Reply::Respond(response("500 Internal Server Error", "")),
        _ => Reply::HangAndReport(ended.clone()),
    });
    let proxy = ProxyProcess::with_management(&[&backend]);
    let none = proxy.stats();
    for class in ["look", "save", "order"] {
        assert_eq!(results(&none, class), [0, 0, 0]);
    }
    let count = |figures: &Value, name: &str| figures[name].as_u64().unwrap();
    let names = ["outstanding", "forwards", "discovered", "ejected"];
    assert_eq!(names.map(|name| count(&none, name)), [0, 0, 1, 0]);
    assert_eq!(proxy.exchange(&request("look", 9000)).status(), 200);
    assert_eq!(proxy.exchange(&request("save", 9000)).status(), 200);
    assert_eq!(proxy.exchange(&request("order", 9000)).status(), 502);
    // What is improper is no request.
    assert_eq!(proxy.exchange(&request("order", 9000).replace("X-Lane: order", "X-Lane: no")).status(), 400);
    let mut leaving = proxy.connect();
    leaving.get_mut().write_all(request("order", 9000).as_bytes()).unwrap();
    wait_for("attempt", || backend.request_count() == 4);
    wait_for("count", || count(&proxy.stats(), "forwards") == 4);
    assert_eq!(count(&proxy.stats(), "outstanding"), 1);
    drop(leaving);
    wait_for_disconnect(&end);
    wait_for("end", || count(&proxy.stats(), "outstanding") == 0);
    // Nobody is there for it to be sent to.
    let closed = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let figures = proxy.stats();
    assert_eq!(results(&figures, "look"), [1, 0, 0]);
    assert_eq!(results(&figures, "save"), [1, 0, 0]);
    assert_eq!(results(&figures, "order"), [0, 0, 1]);
    let mut config = configuration(
        &default_settings(),
        &endpoint_list(1, true, &[listed_endpoint("s-1", closed, "SERVING")]),
    );
    config["management"] = json!("127.0.0.1:0");
    let proxy = ProxyProcess::with_configuration(&config, silent_discovery().address);
    assert_eq!(proxy.exchange(&request("order", 1000)).status(), 503);
    let figures = proxy.stats();
    assert_eq!((results(&figures, "order"), count(&figures, "forwards")), (vec![0, 1, 0], 0));
}

#[test]
fn copies_count_as_forwards_and_their_request_once() {
    // The first attempt breaks, wherever it goes; the next one is answered.
    let all = Arc::new(AtomicUsize::new(0));
    let backends = [all.clone(), all].map(|all| {
        StubServer::new(move |_, _| match all.fetch_add(1, Ordering::SeqCst) {
            0 => Reply::Close,
            _ => Reply::Respond(response("200 OK", "hello")),
        })
    });
    let proxy = ProxyProcess::with_management(&[&backends[0], &backends[1]]);
    assert_eq!(proxy.exchange(&request("look", 4000)).status(), 200);
    let figures = proxy.stats();
    assert_eq!(backends[0].request_count() + backends[1].request_count(), 2);
    assert_eq!(figures["forwards"].as_u64(), Some(2));
    assert_eq!(results(&figures, "look"), [1, 0, 0]);
}
