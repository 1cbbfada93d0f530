//! Response bodies: the proxy forwards them before they are complete, and a client can detect a body that
//! ends early.

mod common;

use common::body::{encode_chunked, position_dependent_bytes};
use common::configuration::request;
use common::http::{read_body, read_head, read_message};
use common::proxy_process::ProxyProcess;
use common::stub_server::StubServer;
use common::waiting::{TEST_TIMEOUT, wait_for};
use std::io::{BufRead, Write};
use std::sync::Mutex;
use std::sync::mpsc::{Sender, channel};
use std::time::Duration;

/// Starts a backend that responds with these headers and this encoded body, and pauses in the middle of the
/// body until the returned sender sends. If the sender is dropped, the backend closes the connection in the
/// middle.
fn start_pausing_backend(headers: String, encoded_body: Vec<u8>) -> (StubServer, Sender<()>) {
    let (release, released) = channel();
    let released = Mutex::new(released);
    let backend = StubServer::with_connection_handler(move |stream| {
        while read_message(stream).is_some() {
            let (first, rest) = encoded_body.split_at(encoded_body.len() / 2);
            let _ = stream.get_mut().write_all(format!("HTTP/1.1 200 OK\r\n{headers}\r\n\r\n").as_bytes());
            let _ = stream.get_mut().write_all(first);
            if released.lock().unwrap().recv_timeout(TEST_TIMEOUT).is_err() {
                return;
            }
            let _ = stream.get_mut().write_all(rest);
        }
    });
    (backend, release)
}

#[test]
fn streams_a_long_response_unchanged_before_it_is_complete() {
    let body = position_dependent_bytes(2_000_000);
    for (framing, encoded_body) in [
        (format!("Content-Length: {}", body.len()), body.clone()),
        ("Transfer-Encoding: chunked\r\nTrailer: X-Sum".to_string(), encode_chunked(&body, 10_000)),
    ] {
        let headers = format!("Content-Type: text/x\r\nX-Other: y\r\n{framing}");
        let (backend, release) = start_pausing_backend(headers, encoded_body);
        let proxy = ProxyProcess::in_front_of(&[&backend]);
        let mut stream = proxy.connect();
        for _ in 0..2 {
            stream.get_mut().write_all(request("look", 9000).as_bytes()).unwrap();

            let head = read_head(&mut stream).expect("no complete head");

            assert_eq!((head.status(), head.header("content-type")), (200, Some("text/x")), "{framing}");
            assert_eq!(head.header("x-other"), Some("y"), "{framing}");
            // The first part of the body arrives while the backend still pauses.
            assert!(!stream.fill_buf().unwrap().is_empty());
            release.send(()).unwrap();
            assert!(read_body(&mut stream, &head).expect("no complete body") == body, "{framing}");
            std::thread::sleep(Duration::from_millis(100)); // until the connection is in the pool
        }
        assert_eq!(backend.connection_count(), 1, "{framing}");
    }
}

#[test]
fn a_client_detects_an_incomplete_response_when_the_backend_closes_the_connection() {
    let body = position_dependent_bytes(400_000);
    for (framing, encoded_body) in [
        (format!("Content-Length: {}", body.len()), body.clone()),
        ("Transfer-Encoding: chunked".to_string(), encode_chunked(&body, 10_000)),
    ] {
        let (backend, release) = start_pausing_backend(framing, encoded_body);
        let proxy = ProxyProcess::with_management_address(&[&backend]);
        let mut stream = proxy.begin_request(&request("order", 9000));
        let head = read_head(&mut stream).expect("no complete head");
        assert!(!stream.fill_buf().unwrap().is_empty());

        drop(release);

        assert!(read_body(&mut stream, &head).is_none());
        // The request counts as failed and is not retried.
        wait_for("the failed request in the metrics", || proxy.stats()["results"]["order"]["aborted"] == 1);
        assert_eq!(proxy.stats()["outstanding"], 0);
        assert_eq!(proxy.stats()["forwards"], 1);
    }
}
