//! Backends whose responses are invalid, or whose connections are established late.

mod common;

use common::configuration::{default_settings, endpoint_list, listed_endpoint, request};
use common::http::read_message;
use common::late_server::LateServer;
use common::proxy_process::ProxyProcess;
use common::stub_server::{Reply, StubServer, silent_discovery};
use common::waiting::wait_for;
use serde_json::json;
use std::io::Write;
use std::time::{Duration, Instant};

const RESPONSE: &str = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";

/// A response whose head exceeds every limit.
fn response_with_long_head() -> &'static str {
    let mut head = String::from("HTTP/1.1 200 OK\r\n");
    for number in 0..2000 {
        head += &format!("X-{number}: {}\r\n", "y".repeat(64));
    }
    head.leak()
}

#[test]
fn fails_an_unsafe_request_soon_and_without_a_retry_after_an_invalid_response() {
    let invalid_responses = [
        "\u{1}\u{2}noise noise noise\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 5",
        "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 4\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
        "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n",
        response_with_long_head(),
    ];
    for bytes in invalid_responses {
        let backend = StubServer::new(move |_, _| Reply::Respond(bytes.to_string()));
        let proxy = ProxyProcess::in_front_of(&[&backend]);
        let start = Instant::now();

        let status = proxy.exchange(&request("order", 19_000)).status();

        assert!(status != 200 && status != 429 && status != 503, "{status} for {bytes:.60}");
        // Far sooner than the 19 s that the client would wait.
        assert!(start.elapsed() < Duration::from_secs(10), "{:?} for {bytes:.60}", start.elapsed());
        assert_eq!(backend.request_count(), 1, "{bytes:.60}");
    }
}

#[test]
fn skips_interim_responses_however_long_before_the_final_one() {
    let backend = StubServer::new(move |_, _| {
        let interim = "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n";
        Reply::RespondInParts {
            first: interim.to_string(),
            pause: Duration::from_millis(1500),
            rest: RESPONSE.to_string(),
        }
    });
    let proxy = ProxyProcess::in_front_of(&[&backend]);

    let reply = proxy.exchange(&request("order", 19_000));

    assert_eq!((reply.status(), reply.body.as_slice()), (200, b"hello".as_slice()));
}

#[test]
fn ignores_an_invalid_load_report() {
    for report in ["{", "[]", "{\"avg_ms\":\"x\"}", "{\"avg_ms\":-5}", "{\"avg_ms\":1e999}"] {
        let text = format!("HTTP/1.1 200 OK\r\nX-Pressure: {report}\r\nContent-Length: 5\r\n\r\nhello");
        let backend = StubServer::new(move |_, _| Reply::Respond(text.clone()));
        let proxy = ProxyProcess::in_front_of(&[&backend]);

        assert_eq!(proxy.exchange(&request("order", 9000)).status(), 200, "{report}");
    }
}

#[test]
fn uses_a_connection_established_after_the_connect_timeout_of_its_attempt() {
    // The system drops the first connection attempt, and repeats it only after a second.
    let backend = LateServer::with_full_backlog();
    let mut settings = default_settings();
    settings["caps"]["connect-timeout"] = json!(0.8);
    settings["caps"]["max-attempts"] = json!(1);
    let cached_list = endpoint_list(1, true, &[listed_endpoint("s-0", backend.address, "SERVING")]);
    let proxy = ProxyProcess::start(&settings, &cached_list, silent_discovery().address);
    let mut client = proxy.begin_request(&request("order", 9000));
    wait_for("connection attempt", || backend.has_pending_connection());

    drop(backend.accept()); // the backlog has capacity from here on
    let mut stream = backend.accept();
    assert!(read_message(&mut stream).is_some());
    stream.get_mut().write_all(RESPONSE.as_bytes()).unwrap();

    assert_eq!(read_message(&mut client).expect("a response").status(), 200);
}
