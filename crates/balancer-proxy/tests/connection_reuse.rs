//! Reuse of connections to backends. A pooled connection may serve a further request only if the backend
//! keeps it open and has sent nothing on it since the last response. Otherwise a request would be lost on a
//! closed connection, or its client would get the response of another request.

mod common;

use common::configuration::{default_settings, endpoint_list, listed_endpoint, request, serving_list};
use common::http::{read_message, response};
use common::proxy_process::ProxyProcess;
use common::stub_server::{Reply, StubServer, silent_discovery};
use common::waiting::{TEST_TIMEOUT, wait_for, wait_for_disconnect};
use serde_json::json;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpListener;
use std::sync::Mutex;
use std::sync::mpsc::channel;
use std::time::Duration;

/// A response with status 200 and the body `hello`.
const HELLO_RESPONSE: &str = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";
/// Time within which a connection returns to its pool after a request.
const POOL_RETURN_TIME: Duration = Duration::from_millis(100);

#[test]
fn reuses_a_connection_for_successive_requests() {
    let backend = StubServer::responding_with("hello");
    let proxy = ProxyProcess::in_front_of(&[&backend]);

    for _ in 0..10 {
        assert_eq!(proxy.exchange(&request("order", 9000)).status(), 200);
        std::thread::sleep(POOL_RETURN_TIME);
    }

    assert_eq!(backend.connection_count(), 1);
}

#[test]
fn does_not_reuse_a_connection_that_the_backend_has_closed() {
    let (report_close, closed) = channel();
    let backend = StubServer::new(move |_, _| Reply::RespondAndClose {
        response: response("200 OK", "hello"),
        closed: report_close.clone(),
    });
    let proxy = ProxyProcess::in_front_of(&[&backend]);

    for _ in 0..5 {
        assert_eq!(proxy.exchange(&request("order", 9000)).status(), 200);
        wait_for_disconnect(&closed);
    }

    assert_eq!(backend.connection_count(), 5);
}

#[test]
fn does_not_reuse_a_connection_close_to_its_idle_timeout() {
    let backend = StubServer::responding_with("hello");
    let mut settings = default_settings();
    settings["caps"]["idle-close"] = json!(0.2);
    let proxy = ProxyProcess::start(&settings, &serving_list(&[&backend]), silent_discovery().address);

    for _ in 0..2 {
        assert_eq!(proxy.exchange(&request("order", 9000)).status(), 200);
        std::thread::sleep(Duration::from_millis(180));
    }

    assert_eq!(backend.connection_count(), 2);
}

#[test]
fn does_not_use_bytes_after_a_response_as_the_next_response() {
    for extra in ["HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong", "\u{1}noise"] {
        let backend = StubServer::new(move |earlier_requests, _| match earlier_requests {
            0 => Reply::RespondInParts {
                first: HELLO_RESPONSE.to_string(),
                pause: Duration::from_millis(5),
                rest: extra.to_string(),
            },
            _ => Reply::Respond(HELLO_RESPONSE.to_string()),
        });
        let proxy = ProxyProcess::in_front_of(&[&backend]);

        for _ in 0..2 {
            let reply = proxy.exchange(&request("order", 9000));
            assert_eq!((reply.status(), reply.body.as_slice()), (200, b"hello".as_slice()), "{extra}");
        }

        assert_eq!(backend.connection_count(), 2, "{extra}");
    }
}

#[test]
fn fails_an_unsafe_request_whose_reused_connection_is_closed() {
    let backend = StubServer::new(|earlier_requests, _| match earlier_requests {
        0 => Reply::Respond(HELLO_RESPONSE.to_string()),
        _ => Reply::Close,
    });
    let proxy = ProxyProcess::in_front_of(&[&backend]);
    assert_eq!(proxy.exchange(&request("order", 9000)).status(), 200);
    std::thread::sleep(POOL_RETURN_TIME);

    // The backend has received the complete request, which may have run.
    assert_eq!(proxy.exchange(&request("order", 9000)).status(), 502);

    assert_eq!((backend.request_count(), backend.connection_count()), (2, 1));
}

#[test]
fn does_not_use_a_response_sent_before_the_end_of_its_request_on_a_reused_connection() {
    // The backend responds twice: the second time when the next request starts to arrive. It reports whether
    // it sent that response before the end of the request. The proxy withholds the last byte of a request for
    // a moment, so that the backend mostly sends the response before the end.
    let (report_early_response, early_response) = channel();
    let report_early_response = Mutex::new(report_early_response);
    let backend = StubServer::with_connection_handler(move |stream| {
        if read_message(stream).is_none() {
            return;
        }
        stream.get_mut().write_all(HELLO_RESPONSE.as_bytes()).unwrap();
        if stream.fill_buf().map_or(true, <[u8]>::is_empty) {
            return;
        }
        let _ = stream.get_mut().write_all(HELLO_RESPONSE.replace("hello", "wrong").as_bytes());
        stream.get_ref().set_nonblocking(true).unwrap();
        let mut received = Vec::new();
        let _ = stream.read_to_end(&mut received); // all bytes that have arrived
        report_early_response.lock().unwrap().send(!received.ends_with(b"body")).unwrap();
    });
    let proxy = ProxyProcess::in_front_of(&[&backend]);

    let (mut is_reused, mut early_responses) = (false, 0);
    for _ in 0..500 {
        let reply = proxy.exchange(&request("order", 9000));
        // The request uses a reused connection, unless the proxy closed the last one after an early response.
        is_reused = !is_reused || early_response.recv_timeout(TEST_TIMEOUT).unwrap();
        if is_reused {
            assert_eq!((reply.status(), reply.body.as_slice()), (200, b"hello".as_slice()));
            early_responses += 1;
        }
        if early_responses == 10 {
            return;
        }
        std::thread::sleep(Duration::from_millis(50)); // until the connection has returned to its pool
    }
    panic!("the backend responded early only {early_responses} times");
}

/// Starts a backend that serves one request on each connection and resets the connection at the first bytes
/// of the next request.
fn backend_resetting_reused_connections() -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            std::thread::spawn(move || {
                let mut stream = BufReader::with_capacity(4096, stream);
                if read_message(&mut stream).is_some() {
                    stream.get_mut().write_all(HELLO_RESPONSE.as_bytes()).unwrap();
                    // A close while received bytes are unread resets the connection.
                    let _ = stream.get_mut().read(&mut [0]);
                }
            });
        }
    });
    address
}

#[test]
fn retries_within_the_attempt_if_the_connection_is_reset_before_the_last_byte() {
    let address = backend_resetting_reused_connections();
    let cached_list = endpoint_list(1, true, &[listed_endpoint("s-1", address, "SERVING")]);
    let mut settings = default_settings();
    settings["caps"]["max-attempts"] = json!(1);
    let proxy = ProxyProcess::start(&settings, &cached_list, silent_discovery().address);

    // The proxy withholds the last byte only for a moment. On a busy machine the reset may come later.
    wait_for("a second response after a reset of the reused connection", || {
        assert_eq!(proxy.exchange(&request("order", 9000)).status(), 200);
        std::thread::sleep(POOL_RETURN_TIME);
        proxy.exchange(&request("order", 9000)).status() == 200
    });
}
