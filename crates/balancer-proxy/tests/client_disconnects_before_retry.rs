//! Clients that disconnect after the first attempt of their request. The proxy must neither retry nor hedge
//! the request, or it would run once more without a client. This holds whether or not attempts may be
//! cancelled.

mod common;

use common::client_disconnect::{
    Disconnect, proxy_with_cancellation, request_count_of_class, wait_for_no_open_request,
    wait_until_input_is_handled,
};
use common::configuration::{endpoint_list, listed_endpoint, request, serving_list};
use common::http::{read_head, read_message, response};
use common::stub_server::{Reply, StubServer, wait_for_input_or_close};
use common::waiting::{wait_for, wait_for_disconnect};
use socket2::{Domain, Socket, Type};
use std::io::{ErrorKind, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::Mutex;
use std::sync::mpsc::{Sender, channel};
use std::time::Duration;

/// Status and header of a response by which a backend sheds load before the request runs.
const LOAD_SHEDDING_REJECTION: &str = "503 Service Unavailable\r\nX-Turned-Away: 1";

#[test]
fn does_not_retry_a_rejected_attempt_after_the_client_disconnected() {
    for cancel in [true, false] {
        for disconnect in [Disconnect::Close, Disconnect::Reset, Disconnect::HalfClose] {
            let rejection = || response(LOAD_SHEDDING_REJECTION, "");
            let backends = [0, 1].map(|_| StubServer::new(move |_, _| Reply::Respond(rejection())));
            let proxy = proxy_with_cancellation(cancel, &serving_list(&[&backends[0], &backends[1]]));
            // The next timer of the request falls due 0.4 s after its arrival.
            let stream = proxy.begin_request(&request("order", 1000));
            let attempts = || backends[0].request_count() + backends[1].request_count();
            wait_for("an attempt", || attempts() == 1);

            let readable_stream = disconnect.disconnect(stream);
            wait_for_no_open_request(&proxy);
            std::thread::sleep(Duration::from_millis(800));

            assert_eq!(attempts(), 1, "{disconnect:?}, cancel {cancel}");
            drop(readable_stream);
        }
    }
}

/// The state of the first attempt when the retry timer falls due.
#[derive(Clone, Copy, Debug, PartialEq)]
enum FirstAttempt {
    /// The attempt has no response, so that a hedged attempt would be due.
    Hangs,
    /// The attempt was rejected, so that a retry would be due.
    IsRejected,
}

/// Lets the retry timer of a request fall due and its client disconnect while the process is stopped. Asserts
/// that the request is not sent again.
fn check_timer_due_with_disconnect(cancel: bool, disconnect: Disconnect, first_attempt: FirstAttempt) {
    let rejection = || response(LOAD_SHEDDING_REJECTION, "");
    let backends = [0, 1].map(|_| {
        StubServer::new(move |_, message| match message.header("x-lane") {
            Some("look") if first_attempt == FirstAttempt::Hangs => Reply::Hang,
            Some("look") => Reply::Respond(rejection()),
            _ => Reply::Respond(response("200 OK", "hello")),
        })
    });
    let proxy = proxy_with_cancellation(cancel, &serving_list(&[&backends[0], &backends[1]]));
    // The next timer of the request falls due 0.8 s after its arrival, plus or minus 10 percent.
    let stream = proxy.begin_request(&request("look", 2000));
    let attempts =
        || request_count_of_class(&backends[0], "look") + request_count_of_class(&backends[1], "look");
    wait_for("an attempt", || attempts() == 1);

    let readable_stream = proxy.while_stopped(|| {
        std::thread::sleep(Duration::from_millis(1000));
        disconnect.disconnect(stream)
    });
    wait_until_input_is_handled(&proxy);

    assert_eq!(attempts(), 1, "{disconnect:?}, cancel {cancel}, first attempt: {first_attempt:?}");
    drop(readable_stream);
}

#[test]
fn sends_nothing_at_a_timer_that_falls_due_together_with_the_disconnect() {
    let check_all_timer_cases = |cancel| {
        for disconnect in Disconnect::WITHOUT_PIPELINING {
            for first_attempt in [FirstAttempt::Hangs, FirstAttempt::IsRejected] {
                check_timer_due_with_disconnect(cancel, disconnect, first_attempt);
            }
        }
    };

    std::thread::scope(|scope| {
        scope.spawn(|| check_all_timer_cases(true));
        check_all_timer_cases(false);
    });
}

#[test]
fn does_not_hedge_a_request_whose_client_disconnected() {
    for cancel in [true, false] {
        let backends = [0, 1].map(|_| StubServer::new(|_, _| Reply::Hang));
        let proxy = proxy_with_cancellation(cancel, &serving_list(&[&backends[0], &backends[1]]));
        let stream = proxy.begin_request(&request("look", 2000));
        let attempts = || backends[0].request_count() + backends[1].request_count();
        wait_for("an attempt", || attempts() == 1);

        Disconnect::Close.disconnect(stream);
        wait_for_no_open_request(&proxy);
        std::thread::sleep(Duration::from_millis(1400));

        assert_eq!(attempts(), 1, "cancel {cancel}");
    }
}

#[test]
fn does_not_retry_after_a_failed_connection_once_the_client_disconnected() {
    for cancel in [true, false] {
        // The sockets are bound but do not listen yet, so that connections to them fail.
        let sockets = [0, 1].map(|_| {
            let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
            socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
            socket
        });
        let endpoints = [0, 1].map(|index| {
            let address = sockets[index].local_addr().unwrap().as_socket().unwrap();
            listed_endpoint(&format!("s-{index}"), address, "SERVING")
        });
        let proxy = proxy_with_cancellation(cancel, &endpoint_list(1, true, &endpoints));
        let stream = proxy.begin_request(&request("order", 1000));
        // A connection over loopback fails before the next management call receives its response.
        wait_for("an attempt", || proxy.stats()["outstanding"] == 1);
        assert_eq!(proxy.stats()["outstanding"], 1);

        Disconnect::Close.disconnect(stream);
        wait_for_no_open_request(&proxy);
        let listeners = sockets.map(|socket| {
            socket.listen(8).unwrap();
            let listener = TcpListener::from(socket);
            listener.set_nonblocking(true).unwrap();
            listener
        });
        std::thread::sleep(Duration::from_millis(800));

        for listener in listeners {
            assert_eq!(listener.accept().unwrap_err().kind(), ErrorKind::WouldBlock, "cancel {cancel}");
        }
    }
}

/// Starts a backend that never completes its responses of class `look`. The backend reports when the proxy
/// closes the connection of such a response.
fn backend_of_incomplete_responses(report_close: Sender<()>) -> StubServer {
    let report_close = Mutex::new(report_close);
    StubServer::with_connection_handler(move |stream| {
        while let Some(message) = read_message(stream) {
            if message.header("x-lane") == Some("save") {
                let _ = stream.get_mut().write_all(response("200 OK", "hello").as_bytes());
                continue;
            }
            let head = "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n";
            let _ = stream.get_mut().write_all(head.as_bytes());
            let _ = stream.get_mut().write_all(&[b'x'; 100_000]);
            wait_for_input_or_close(stream);
            let _ = report_close.lock().unwrap().send(());
        }
    })
}

#[test]
fn abandons_a_streamed_response_and_does_not_retry_after_the_client_disconnected() {
    for cancel in [true, false] {
        for disconnect in Disconnect::WITHOUT_PIPELINING {
            let (report_close, closed) = channel();
            let backends = [report_close.clone(), report_close].map(backend_of_incomplete_responses);
            let proxy = proxy_with_cancellation(cancel, &serving_list(&[&backends[0], &backends[1]]));
            let mut stream = proxy.begin_request(&request("look", 1000));
            assert_eq!(read_head(&mut stream).expect("no complete head").status(), 200);
            let forwards_before = proxy.stats()["forwards"].clone();

            let readable_stream = disconnect.disconnect(stream);
            wait_for_disconnect(&closed);
            std::thread::sleep(Duration::from_millis(800));

            assert_eq!(proxy.stats()["forwards"], forwards_before, "{disconnect:?}, cancel {cancel}");
            drop(readable_stream);
        }
    }
}
