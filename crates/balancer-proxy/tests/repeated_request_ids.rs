//! Requests that come again with the id of an earlier one.
//!
//! Guards against a request that runs twice: a client left while its unsafe request ran, and came again with
//! the same id. The proxy knew the ids of its open requests only, and forwarded the request a second time, as
//! did the other process of an upgrade.

mod common;

use common::configuration::{
    READINESS_REQUEST, default_configuration, default_settings, request, serving_list,
};
use common::http::{exchange, read_message, response};
use common::proxy_process::{ProxyProcess, exit_code};
use common::shared_address::SharedAddress;
use common::stub_server::{Reply, StubServer, silent_discovery};
use common::waiting::wait_for;
use serde_json::json;
use socket2::SockRef;
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::sync::mpsc::Sender;
use std::time::Duration;

/// A backend that holds its first response until the sender sends.
fn backend_holding_first_response() -> (StubServer, Sender<()>) {
    StubServer::holding_first_response("hello")
}

/// Sends a request, and waits until the backend has received it.
fn begin_at_backend(proxy: &ProxyProcess, backend: &StubServer, text: &str) -> BufReader<TcpStream> {
    let mut client = proxy.connect();
    client.get_mut().write_all(text.as_bytes()).unwrap();
    wait_for("the request at the backend", || backend.request_count() == 1);
    client
}

#[test]
fn a_request_that_may_not_run_twice_does_not_run_again_under_its_id() {
    for class in ["order", "save"] {
        let (backend, release) = backend_holding_first_response();
        let proxy = ProxyProcess::with_management_address(&[&backend]);
        let text = request(class, 9000);
        let client = begin_at_backend(&proxy, &backend, &text);

        let status_while_open = proxy.exchange(&text).status();
        drop(client);
        wait_for("the end of the request", || proxy.stats()["outstanding"] == 0);
        let status_after_disconnect = proxy.exchange(&text).status();
        release.send(()).unwrap();
        let status_of_other_id = proxy.exchange(&request(class, 9000)).status();

        assert_eq!(
            (status_while_open, status_after_disconnect, status_of_other_id),
            (400, 400, 200),
            "{class}"
        );
        assert_eq!(backend.request_count(), 2, "{class}");
    }
}

#[test]
fn a_request_that_has_got_its_response_does_not_run_again_under_its_id() {
    let backend = StubServer::responding_with("hello");
    let proxy = ProxyProcess::in_front_of(&[&backend]);
    let text = request("order", 9000);

    let statuses = [proxy.exchange(&text).status(), proxy.exchange(&text).status()];

    assert_eq!(statuses, [200, 400]);
    assert_eq!(backend.request_count(), 1);
}

#[test]
fn a_request_does_not_run_again_at_the_other_process_of_an_upgrade() {
    let (backend, release) = backend_holding_first_response();
    let address = SharedAddress::new();
    let configuration = default_configuration(&[&backend]);
    let mut old = address.start(&configuration);
    let text = request("order", 9000);
    let client = begin_at_backend(&old, &backend, &text);
    let new = address.start(&configuration);
    new.wait_until_ready();
    old.signal("-TERM"); // from here on, the new process accepts the connections

    wait_for("a response of the new process", || new.exchange(&text).status() == 400);
    drop(client);
    release.send(()).unwrap();
    assert_eq!(exit_code(&mut old.child), Some(0));
    let status_after_exit = new.exchange(&text).status();
    let status_of_other_id = new.exchange(&request("order", 9000)).status();

    assert_eq!((status_after_exit, status_of_other_id), (400, 200));
    assert_eq!(backend.request_count(), 2);
}

#[test]
fn a_request_that_has_not_run_may_come_again_with_its_id() {
    let backend = StubServer::new(|earlier_requests, _| {
        let rejection = "HTTP/1.1 503 Busy\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n";
        let is_rejected = earlier_requests == 0;
        Reply::Respond(if is_rejected { rejection.to_string() } else { response("200 OK", "hello") })
    });
    let proxy = ProxyProcess::in_front_of(&[&backend]);
    let text = request("order", 9000);
    let mut client = proxy.connect();

    let first = exchange(&mut client, &text).status();
    let second = exchange(&mut client, &text).status();

    assert_eq!((first, second), (503, 200));
    assert_eq!(backend.request_count(), 2);
}

#[test]
fn a_safe_request_does_not_free_the_id_of_one_that_has_run() {
    let backend = StubServer::responding_with("hello");
    let proxy = ProxyProcess::in_front_of(&[&backend]);
    let text = request("order", 9000);
    let id = |text: &str| text.split_once("X-Txn: ").unwrap().1.split_once('\r').unwrap().0.to_string();
    let safe = request("look", 9000);
    let safe = safe.replace(&id(&safe), &id(&text));

    let statuses = [&text, &safe, &text].map(|text| proxy.exchange(text).status());

    assert_eq!(statuses, [200, 200, 400]);
}

#[test]
fn a_safe_request_may_come_again_with_its_id() {
    let backend = StubServer::responding_with("hello");
    let proxy = ProxyProcess::in_front_of(&[&backend]);
    let text = request("look", 9000);

    let statuses = [proxy.exchange(&text).status(), proxy.exchange(&text).status()];

    assert_eq!(statuses, [200, 200]);
}

#[test]
fn a_request_with_the_id_of_an_open_request_neither_ends_it_nor_gets_its_response() {
    let (backend, release) = StubServer::holding_first_response("hello");
    let proxy = ProxyProcess::in_front_of(&[&backend]);
    let text = request("order", 20_000);
    let mut first = proxy.begin_request(&text);
    wait_for("an attempt", || backend.request_count() == 1);

    assert_eq!(proxy.exchange(&text).status(), 400);

    release.send(()).unwrap();
    assert_eq!(read_message(&mut first).expect("no complete response").status(), 200);
    assert_eq!(backend.request_count(), 1);
}

/// Sends a request, and sends the request again on another connection so that it arrives just before the
/// reset of the first one. Returns the status of the second response, and the number of requests at the
/// backend.
fn repeat_before_reset(class: &str) -> (u16, usize) {
    let (backend, _release) = StubServer::holding_first_response("hello");
    let proxy = ProxyProcess::in_front_of(&[&backend]);
    let text = request(class, 20_000);
    let (mut first, mut second) = (proxy.connect(), proxy.connect());
    assert_eq!(exchange(&mut second, READINESS_REQUEST).status(), 200);
    first.get_mut().write_all(text.as_bytes()).unwrap();
    wait_for("an attempt", || backend.request_count() == 1);

    // The second request and then the reset of the first connection arrive before the process continues.
    proxy.signal("-STOP");
    second.get_mut().write_all(text.as_bytes()).unwrap();
    SockRef::from(first.get_ref()).set_linger(Some(Duration::ZERO)).unwrap();
    drop(first);
    proxy.signal("-CONT");

    let status = read_message(&mut second).expect("no complete response").status();
    (status, backend.request_count())
}

#[test]
fn accepts_a_repeated_safe_request_that_arrives_before_the_reset_of_the_first_connection() {
    assert_eq!(repeat_before_reset("look"), (200, 2));
}

#[test]
fn does_not_run_a_repeated_unsafe_request_that_arrives_before_the_reset_of_the_first_connection() {
    assert_eq!(repeat_before_reset("order"), (400, 1));
}

#[test]
fn a_request_with_a_repeated_id_does_not_get_the_late_response_to_the_first_request() {
    // The first response arrives after the deadline, and the settings disable the cancellation of attempts.
    let backend = StubServer::new(move |earlier_requests, _| {
        std::thread::sleep(Duration::from_millis(1500));
        let body = if earlier_requests == 0 { "first" } else { "second" };
        Reply::Respond(response("200 OK", body))
    });
    let mut settings = default_settings();
    settings["caps"]["cancel"] = json!(false);
    settings["caps"]["max-attempts"] = json!(1);
    let proxy = ProxyProcess::start(&settings, &serving_list(&[&backend]), silent_discovery().address);
    let text = request("look", 600);
    assert_eq!(proxy.exchange(&text).status(), 503);

    let reply = proxy.exchange(&text.replace("X-Remaining-Ms: 600", "X-Remaining-Ms: 20000"));

    assert_eq!((reply.status(), reply.body.as_slice()), (200, b"second".as_slice()));
    assert_eq!(backend.connection_count(), 2);
}
