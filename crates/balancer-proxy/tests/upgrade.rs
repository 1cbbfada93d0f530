//! Upgrade: a second process takes over the address of the first, and no request is lost.

mod common;

use common::configuration::{default_configuration, endpoint_list, listed_endpoint, request};
use common::http::{connect, exchange, read_message, response};
use common::proxy_process::exit_code;
use common::shared_address::SharedAddress;
use common::stub_server::{Reply, StubServer, silent_discovery};
use common::waiting::wait_for;
use serde_json::json;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Sends requests until `is_done` is set, each on a new connection or, if `reuses_connection` is set, on one
/// connection for as long as the proxy keeps it open. Returns the number of requests served.
fn send_until_done(address: SocketAddr, is_done: &AtomicBool, reuses_connection: bool) -> usize {
    let mut open_stream = None;
    let mut served = 0;
    while !is_done.load(Ordering::SeqCst) {
        let mut stream = open_stream.take().unwrap_or_else(|| connect(address));
        let reply = exchange(&mut stream, &request("order", 9000));
        assert_eq!(reply.status(), 200);
        let closes = reply.header("connection") == Some("close");
        open_stream = (reuses_connection && !closes).then_some(stream);
        served += 1;
    }
    served
}

#[test]
fn a_second_process_takes_over_without_a_failed_request() {
    let backends = ["zero", "one"].map(StubServer::responding_with);
    let shared_address = SharedAddress::new();
    let configuration = default_configuration(&[&backends[0], &backends[1]]);
    let mut old = shared_address.start(&configuration);
    let is_done = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..4)
        .map(|index| {
            let (is_done, address) = (is_done.clone(), old.address);
            std::thread::spawn(move || send_until_done(address, &is_done, index == 0))
        })
        .collect();

    let next = shared_address.start(&configuration);
    next.wait_until_ready();
    assert!(old.management_call("status\n").starts_with("OK"));
    old.signal("-TERM");
    assert_eq!(exit_code(&mut old.child), Some(0));
    is_done.store(true, Ordering::SeqCst);

    for client in clients {
        assert!(client.join().unwrap() > 0);
    }
    assert_eq!(next.exchange(&request("look", 9000)).status(), 200);
}

#[test]
fn the_old_process_serves_its_open_requests_and_connections() {
    let (backend, release) = StubServer::holding_first_response("hello");
    let shared_address = SharedAddress::new();
    let configuration = default_configuration(&[&backend]);
    let mut old = shared_address.start(&configuration);
    let mut idle = old.connect();
    let mut busy = old.begin_request(&request("order", 20_000));
    wait_for("an attempt", || backend.request_count() == 1);

    let next = shared_address.start(&configuration);
    next.wait_until_ready();
    old.signal("-TERM");
    wait_for("the start of the graceful shutdown", || old.management_call("status\n").starts_with("ERR"));

    let reply = exchange(&mut idle, &request("look", 9000));
    assert_eq!((reply.status(), reply.header("connection")), (200, Some("close")));
    release.send(()).unwrap();
    assert_eq!(read_message(&mut busy).expect("no complete response").status(), 200);
    wait_for("the exit of the process", || old.child.try_wait().unwrap().is_some());
    assert_eq!(next.exchange(&request("look", 9000)).status(), 200);
}

#[test]
fn responds_to_requests_in_the_backlog_when_the_old_process_stops_accepting() {
    let backend = StubServer::responding_with("hello");
    let shared_address = SharedAddress::new();
    let configuration = default_configuration(&[&backend]);
    let mut old = shared_address.start(&configuration);
    let next = shared_address.start(&configuration);
    next.wait_until_ready();

    old.signal("-STOP");
    // Both processes can accept these connections.
    let clients: Vec<_> = (0..30).map(|_| old.begin_request(&request("order", 9000))).collect();
    old.signal("-TERM");
    old.signal("-CONT");

    for mut stream in clients {
        assert_eq!(read_message(&mut stream).expect("no complete response").status(), 200);
    }
    assert_eq!(exit_code(&mut old.child), Some(0));
    assert_eq!(backend.request_count(), 30);
}

#[test]
fn a_second_process_fetches_the_endpoint_list_before_it_is_ready() {
    let backends = ["zero", "one"].map(StubServer::responding_with);
    let shared_address = SharedAddress::new();
    let configuration = default_configuration(&[&backends[0]]);
    let _old = shared_address.start(&configuration);
    // The cached list is outdated: discovery lists another backend.
    let current_list =
        endpoint_list(9, true, &[listed_endpoint("s-1", backends[1].address, "SERVING")]).to_string();
    let discovery = StubServer::new(move |_, message| {
        if message.start_line.contains("since=") {
            Reply::Hang
        } else {
            Reply::Respond(response("200 OK", &current_list))
        }
    });

    let next = shared_address.start_with_discovery(&configuration, discovery.address);

    next.wait_until_ready();
    let calls = discovery.requests.lock().unwrap();
    assert!(calls.iter().any(|call| !call.start_line.contains("since=")));
    assert_eq!(next.stats()["discovered"], json!(1));
}

#[test]
fn a_second_process_becomes_ready_without_a_response_from_discovery() {
    let backend = StubServer::responding_with("zero");
    let shared_address = SharedAddress::new();
    let configuration = default_configuration(&[&backend]);
    let _old = shared_address.start(&configuration);

    let next = shared_address.start_with_discovery(&configuration, silent_discovery().address);

    next.wait_until_ready();
}

#[test]
fn two_processes_together_stay_within_the_socket_limit_of_one() {
    let backend = StubServer::responding_with("hello");
    let shared_address = SharedAddress::new();
    let mut configuration = default_configuration(&[&backend]);
    configuration["limits"]["sockets"] = json!(160);
    let old = shared_address.start(&configuration);
    // The clients open as many idle connections as the old process keeps open.
    let clients: Vec<_> = (0..80)
        .map(|_| {
            let mut stream = old.connect();
            let _ = stream.get_mut().write_all(request("look", 9000).as_bytes());
            let _ = read_message(&mut stream); // some requests may be rejected for lack of capacity
            stream
        })
        .collect();
    assert!(old.open_descriptors() > 80);
    std::thread::sleep(Duration::from_millis(2200)); // until the idle connections may be closed

    let next = shared_address.start(&configuration);
    next.wait_until_ready();

    wait_for("a decrease of the open descriptors", || {
        old.open_descriptors() + next.open_descriptors() <= 160 && old.open_descriptors() <= 80
    });
    drop(clients);
}
