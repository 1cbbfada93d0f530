//! Requests whose bodies are arriving while new connections need the slots of the table.
//!
//! Guards against a request that is closed without a response. While a backend takes no more of a long body,
//! the proxy reads nothing from the client, and took it for one that sends nothing: the connection was reset
//! for a new one, although the client had written its last byte. A connection that was chosen for closing
//! while idle was closed 0.2 s later, although the head of a request had arrived and its body was on the way.

mod common;

use common::body::{position_dependent_bytes, write_in_background};
use common::configuration::{request, request_with_framing};
use common::http::{exchange, is_closed_by_peer, read_body, read_head, read_message, response};
use common::proxy_process::ProxyProcess;
use common::socket_table::unread_bytes_from_port;
use common::stub_server::StubServer;
use common::waiting::{TEST_TIMEOUT, wait_for};
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::sync::Mutex;
use std::sync::mpsc::{Sender, channel};
use std::time::{Duration, Instant};

/// Limit of sockets that leaves room for about 20 client connections.
const SOCKET_LIMIT: usize = 64;
/// Number of new connections, more than have room.
const NEW_CONNECTIONS: usize = 40;
/// Length of a body that the buffers of all sockets on the way to a backend do not hold, in bytes.
const BODY_BYTES: usize = 24 << 20;
/// Longer than a connection without a request must be silent before it may be closed.
const SILENCE_BEFORE_EVICTION: Duration = Duration::from_millis(600);
/// Longer than a connection without a request must be idle before it may be closed.
const IDLE_TIME_BEFORE_EVICTION: Duration = Duration::from_millis(2_200);
/// Longer than a connection that is chosen for closing stays open without a request.
const PAUSE_BEFORE_BODY: Duration = Duration::from_millis(400);

/// Starts a backend that reads no body until the returned sender sends.
fn backend_that_reads_late() -> (StubServer, Sender<()>) {
    let (release, released) = channel();
    let released = Mutex::new(released);
    let backend = StubServer::with_connection_handler(move |stream| {
        while let Some(head) = read_head(stream) {
            if head.start_line.starts_with("POST")
                && released.lock().unwrap().recv_timeout(TEST_TIMEOUT).is_err()
            {
                return;
            }
            if read_body(stream, &head).is_none() {
                return;
            }
            let _ = stream.get_mut().write_all(response("200 OK", "hello").as_bytes());
        }
    });
    (backend, release)
}

/// Waits until the proxy has read nothing from a client for [`SILENCE_BEFORE_EVICTION`], although bytes have
/// arrived.
fn wait_until_proxy_stops_reading(client: &BufReader<TcpStream>) {
    let port = client.get_ref().local_addr().unwrap().port();
    let mut unread_bytes = 0;
    let mut unchanged_since = Instant::now();
    wait_for("the end of the reads", || {
        let unread_now = unread_bytes_from_port(port);
        if unread_now != unread_bytes {
            unread_bytes = unread_now;
            unchanged_since = Instant::now();
        }
        unread_bytes > 0 && unchanged_since.elapsed() >= SILENCE_BEFORE_EVICTION
    });
}

#[test]
fn a_request_whose_body_waits_for_its_backend_is_not_closed_for_new_connections() {
    let (backend, release) = backend_that_reads_late();
    let proxy = ProxyProcess::with_socket_limit(&[&backend], SOCKET_LIMIT);
    let mut client = proxy.connect();
    let head = request_with_framing("order", &format!("Content-Length: {BODY_BYTES}\r\n\r\n"));
    let parts = vec![head.into_bytes(), position_dependent_bytes(BODY_BYTES)];
    let writer = write_in_background(&client, parts);
    wait_until_proxy_stops_reading(&client);

    let new: Vec<_> = (0..NEW_CONNECTIONS).map(|_| proxy.connect()).collect();
    wait_for("a connection that is closed for a new one", || new.iter().any(is_closed_by_peer));
    release.send(()).unwrap();

    assert_eq!(read_message(&mut client).expect("no complete response").status(), 200);
    writer.join().unwrap();
}

#[test]
fn a_request_whose_head_arrives_as_its_idle_connection_is_chosen_for_closing_may_send_its_body_later() {
    let backend = StubServer::responding_with("hello");
    let proxy = ProxyProcess::with_socket_limit(&[&backend], SOCKET_LIMIT);
    let mut idle: Vec<_> = (0..10).map(|_| proxy.connect()).collect();
    for client in &mut idle {
        assert_eq!(exchange(client, &request("look", 9000)).status(), 200);
    }
    std::thread::sleep(IDLE_TIME_BEFORE_EVICTION);

    // The new connections arrive first, so that the proxy closes idle ones before it reads the heads.
    let new: Vec<_> = proxy.while_stopped(|| {
        let new = (0..NEW_CONNECTIONS).map(|_| proxy.connect()).collect();
        for client in &mut idle {
            let head = request_with_framing("order", "Content-Length: 4\r\n\r\n");
            client.get_mut().write_all(head.as_bytes()).unwrap();
        }
        new
    });
    std::thread::sleep(PAUSE_BEFORE_BODY);
    for client in &mut idle {
        let _ = client.get_mut().write_all(b"body"); // fails if the connection is closed
    }

    for client in &mut idle {
        assert_eq!(read_message(client).expect("no complete response").status(), 200);
    }
    drop(new);
}
