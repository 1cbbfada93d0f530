//! Clients that disconnect while their request arrives or waits for a connection to a backend. If the proxy
//! has not written the request completely by then, it must not write the rest, or the request would run
//! without a client. This holds whether or not attempts may be cancelled.

mod common;

use common::client_disconnect::{
    Disconnect, proxy_with_cancellation, request_count_of_class, wait_for_no_open_request,
    wait_until_input_is_handled,
};
use common::configuration::{endpoint_list, listed_endpoint, request, request_with_framing, serving_list};
use common::http::{exchange, read_body, read_head, read_message, response};
use common::late_server::LateServer;
use common::socket_table::{TCP_CLOSE_WAIT, TCP_ESTABLISHED, sockets_on_port, sockets_to_port};
use common::stub_server::StubServer;
use common::waiting::{TEST_TIMEOUT, wait_for};
use std::io::{ErrorKind, Read, Write};
use std::sync::Mutex;
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

/// Time within which a connection returns to its pool after a request.
const POOL_RETURN_TIME: Duration = Duration::from_millis(50);

/// Disconnects the client of a request that waits for a connection to its backend, then lets the connection
/// be established. Asserts that the proxy writes no byte on it.
fn check_disconnect_while_connecting(cancel: bool, disconnect: Disconnect) {
    let backend = LateServer::with_full_backlog();
    let cached_list = endpoint_list(1, true, &[listed_endpoint("s-0", backend.address, "SERVING")]);
    let proxy = proxy_with_cancellation(cancel, &cached_list);
    let stream = proxy.begin_request(&disconnect.written_text(&request("order", 20_000)));
    wait_for("a connection attempt", || backend.has_pending_connection());
    assert_eq!(proxy.stats()["outstanding"], 1);

    let readable_stream = disconnect.disconnect(stream);
    let start = Instant::now();
    wait_for_no_open_request(&proxy);
    assert!(
        start.elapsed() < Duration::from_secs(10),
        "{disconnect:?}: the request ended only at its deadline"
    );
    let received = backend.accept_all();

    assert!(received.is_empty(), "{disconnect:?}, cancel {cancel}: {received:?}");
    // A client that can still read receives the end of its connection or a reset.
    if let Some(mut stream) = readable_stream {
        let end = stream.read(&mut [0]);
        assert!(matches!(&end, Ok(0)) || end.is_err_and(|e| e.kind() == ErrorKind::ConnectionReset));
    }
    assert_eq!(proxy.stats()["forwards"], 0, "{disconnect:?}, cancel {cancel}");
}

#[test]
fn sends_nothing_over_a_connection_established_after_the_client_disconnected() {
    for cancel in [true, false] {
        for disconnect in Disconnect::WITHOUT_PIPELINING {
            check_disconnect_while_connecting(cancel, disconnect);
        }
    }
}

#[test]
fn detects_a_disconnect_behind_a_pipelined_request() {
    for cancel in [true, false] {
        for disconnect in [Disconnect::CloseAfterPipelining, Disconnect::ResetAfterPipelining] {
            check_disconnect_while_connecting(cancel, disconnect);
        }
    }
}

#[test]
fn detects_a_disconnect_behind_a_body_that_the_backend_does_not_read() {
    for cancel in [true, false] {
        // The client writes the whole body, which exceeds the buffers up to the backend. The backend reads
        // no byte of it.
        let (release, released) = channel();
        let (report_completeness, completeness) = channel();
        let (released, report_completeness) = (Mutex::new(released), Mutex::new(report_completeness));
        let backend = StubServer::with_connection_handler(move |stream| {
            let head = read_head(stream).expect("no complete head");
            released.lock().unwrap().recv_timeout(TEST_TIMEOUT).unwrap();
            report_completeness.lock().unwrap().send(read_body(stream, &head).is_some()).unwrap();
        });
        let proxy = proxy_with_cancellation(cancel, &serving_list(&[&backend]));
        let length = 5 << 20;
        let head = request_with_framing("order", &format!("Content-Length: {length}\r\n\r\n"));
        let mut stream = proxy.begin_request(&head);
        let port = stream.get_ref().local_addr().unwrap().port();
        stream.get_mut().write_all(&vec![b'x'; length]).unwrap();
        wait_for("an attempt", || backend.connection_count() == 1);

        drop(stream);
        wait_for("the client's disconnect", || sockets_on_port(port, TCP_ESTABLISHED) == 0);
        // The kernel has delivered the close to the proxy's side, unless the buffers cannot hold the bytes
        // before it. The loop waits until the proxy has closed its side, at most 3 s.
        let start = Instant::now();
        while sockets_to_port(port, TCP_CLOSE_WAIT) > 0 && start.elapsed() < Duration::from_secs(3) {
            std::thread::sleep(Duration::from_millis(5));
        }
        release.send(()).unwrap();

        assert!(!completeness.recv_timeout(TEST_TIMEOUT).unwrap(), "cancel {cancel}");
        assert_eq!(proxy.stats()["forwards"], 0, "cancel {cancel}");
    }
}

/// The bytes that the client has sent before the rest of its request arrives with the disconnect.
#[derive(Clone, Copy, Debug)]
enum SentBefore {
    /// An earlier request, which has left a connection in the pool of the backend.
    EarlierRequest,
    /// An earlier request, and this request without the last two bytes of its body.
    PartOfTheBody,
    /// No byte. The client's connection waits in the listener's backlog.
    Nothing,
}

/// Lets a request, or the rest of it, arrive together with the disconnect of its client. Asserts that the
/// backend does not receive the request.
fn check_request_arriving_with_disconnect(cancel: bool, disconnect: Disconnect, sent_before: SentBefore) {
    let backend = StubServer::responding_with("hello");
    let proxy = proxy_with_cancellation(cancel, &serving_list(&[&backend]));
    let mut text = request("order", 9000);
    let mut stream = None;
    if !matches!(sent_before, SentBefore::Nothing) {
        let connected = stream.insert(proxy.connect());
        assert_eq!(exchange(connected, &request("save", 9000)).status(), 200);
        std::thread::sleep(POOL_RETURN_TIME);
    }
    if matches!(sent_before, SentBefore::PartOfTheBody) {
        let rest = text.split_off(text.len() - 2);
        stream.as_mut().unwrap().get_mut().write_all(text.as_bytes()).unwrap();
        text = rest;
    }
    let text = disconnect.written_text(&text);

    let readable_stream = proxy.while_stopped(|| {
        let mut stream = stream.unwrap_or_else(|| proxy.connect());
        stream.get_mut().write_all(text.as_bytes()).unwrap();
        disconnect.disconnect(stream)
    });
    wait_until_input_is_handled(&proxy);

    assert_eq!(
        request_count_of_class(&backend, "order"),
        0,
        "{disconnect:?}, cancel {cancel}, sent before: {sent_before:?}"
    );
    drop(readable_stream);
}

#[test]
fn does_not_forward_a_request_that_arrives_together_with_the_disconnect() {
    for cancel in [true, false] {
        for disconnect in Disconnect::ALL {
            for sent_before in [SentBefore::EarlierRequest, SentBefore::PartOfTheBody, SentBefore::Nothing] {
                check_request_arriving_with_disconnect(cancel, disconnect, sent_before);
            }
        }
    }
}

/// Closes the pooled connection of a request whose body is still arriving, so that the attempt opens a second
/// connection. Disconnects the client before the second connection is established, and asserts that the proxy
/// writes no byte on it.
fn check_disconnect_while_attempt_reconnects(cancel: bool, disconnect: Disconnect) {
    let mut backend = LateServer::with_empty_backlog();
    let cached_list = endpoint_list(1, true, &[listed_endpoint("s-0", backend.address, "SERVING")]);
    let proxy = proxy_with_cancellation(cancel, &cached_list);
    let mut first_client = proxy.begin_request(&request("look", 9000));
    let mut pooled_connection = backend.accept();
    read_message(&mut pooled_connection).expect("no complete request");
    pooled_connection.get_mut().write_all(response("200 OK", "hello").as_bytes()).unwrap();
    assert_eq!(read_message(&mut first_client).expect("no complete response").status(), 200);
    std::thread::sleep(POOL_RETURN_TIME);
    backend.fill_backlog();
    // The next request starts on the pooled connection. Its first bytes are still buffered when that
    // connection ends.
    let head = request_with_framing("order", "Content-Length: 200000\r\n\r\n");
    let mut stream = proxy.begin_request(&head);
    let port = stream.get_ref().local_addr().unwrap().port();
    stream.get_mut().write_all(&[b'x'; (64 << 10) + 1]).unwrap();
    read_head(&mut pooled_connection).expect("no complete head");
    drop(pooled_connection);
    wait_for("a second connection attempt", || backend.has_pending_connection());

    let readable_stream = disconnect.disconnect(stream);
    wait_for("the close of the client connection", || sockets_to_port(port, TCP_CLOSE_WAIT) == 0);
    let received = backend.accept_all();

    assert!(received.is_empty(), "{disconnect:?}, cancel {cancel}: {received:?}");
    assert_eq!(proxy.stats()["forwards"], 1, "{disconnect:?}, cancel {cancel}");
    drop(readable_stream);
}

#[test]
fn writes_nothing_over_the_second_connection_of_an_attempt_after_the_disconnect() {
    for cancel in [true, false] {
        for disconnect in Disconnect::WITHOUT_PIPELINING {
            check_disconnect_while_attempt_reconnects(cancel, disconnect);
        }
    }
}
