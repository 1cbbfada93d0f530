//! Long request bodies whose backend stops reading them, as one does that hangs.
//!
//! The proxy reads no more of a long body than its backend takes, so that the last byte, which the client has
//! written, stays in the buffers of the sockets. The time of the request counts from that byte. A proxy that
//! starts the time only when it reads the byte never responds: while a backend hung, 10 of 24 requests with
//! bodies of 4 to 6 MB got no response for as long as their clients stayed.

mod common;

use common::body::{encode_chunked, position_dependent_bytes, write_in_background};
use common::configuration::request;
use common::http::{HttpMessage, read_head, read_message, response};
use common::proxy_process::ProxyProcess;
use common::stub_server::{StubServer, wait_for_input_or_close};
use common::waiting::TEST_TIMEOUT;
use std::io::{BufReader, Read, Write};
use std::net::TcpStream;
use std::sync::Mutex;
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

/// The time that a client waits for the response from the last byte of its request, in milliseconds.
const REMAINING_MS: u64 = 2_500;
/// The time after the client's within which a response still counts as given, by the rules of the protocol.
const RESPONSE_SLACK: Duration = Duration::from_millis(500);
/// A time within [`REMAINING_MS`] for which a backend reads nothing.
const BACKEND_PAUSE: Duration = Duration::from_millis(1_500);
/// Length of a body that a client can write at once, and that is longer than what a backend's side takes, in
/// bytes.
const BODY_BYTES: usize = 6 << 20;

/// The number of bytes of a body that a backend reads before it stops.
const BYTES_BEFORE_STOP: u64 = 100_000;

/// Returns the head of a request of this class whose body has this framing.
fn head_of(class: &str, remaining_ms: u64, framing: &str) -> Vec<u8> {
    request(class, remaining_ms).replace("Content-Length: 4\r\n\r\nbody", framing).into_bytes()
}

fn length_of(body: &[u8]) -> String {
    format!("Content-Length: {}\r\n\r\n", body.len())
}

/// Reads the first bytes of the body of a request, and returns its head.
fn read_beginning(stream: &mut BufReader<TcpStream>) -> Option<HttpMessage> {
    let head = read_head(stream)?;
    let mut beginning = stream.by_ref().take(BYTES_BEFORE_STOP);
    std::io::copy(&mut beginning, &mut std::io::sink()).ok()?;
    Some(head)
}

/// Reads a request with a pause of [`BACKEND_PAUSE`] within its body. Returns `None` if the connection ends
/// before the request is complete.
fn read_request_with_pause(stream: &mut BufReader<TcpStream>) -> Option<()> {
    let head = read_beginning(stream)?;
    std::thread::sleep(BACKEND_PAUSE);
    let length: u64 = head.header("content-length")?.parse().ok()?;
    let rest_length = length - BYTES_BEFORE_STOP;
    let read = std::io::copy(&mut stream.by_ref().take(rest_length), &mut std::io::sink()).ok()?;
    (read == rest_length).then_some(())
}

/// Starts a backend that reads the beginning of a body, and nothing more until the test ends.
fn backend_that_stops_reading() -> StubServer {
    StubServer::with_connection_handler(|stream| {
        let _ = read_beginning(stream);
        std::thread::sleep(TEST_TIMEOUT);
    })
}

/// Writes a request with a body, waits for the response, and returns its status with the time from the last
/// byte that the client has written, at the latest that of the response.
fn status_and_time_of(proxy: &ProxyProcess, parts: Vec<Vec<u8>>) -> (u16, Duration) {
    let mut stream = proxy.connect();
    let writer = write_in_background(&stream, parts);
    let written = std::thread::spawn(move || {
        writer.join().unwrap();
        Instant::now()
    });
    let status = read_message(&mut stream).expect("no complete response").status();
    let responded = Instant::now();
    drop(stream);
    (status, responded.saturating_duration_since(written.join().unwrap()))
}

#[test]
fn a_request_gets_its_response_in_time_if_its_backend_stops_reading_the_body() {
    let backend = backend_that_stops_reading();
    let proxy = ProxyProcess::in_front_of(&[&backend]);
    let body = position_dependent_bytes(BODY_BYTES);
    let chunked = "Transfer-Encoding: chunked\r\n\r\n".to_string();

    for class in ["order", "save"] {
        for (framing, bytes) in
            [(length_of(&body), body.clone()), (chunked.clone(), encode_chunked(&body, 8_000))]
        {
            let head = head_of(class, REMAINING_MS, &framing);
            let (status, time) = status_and_time_of(&proxy, vec![head, bytes]);

            assert_eq!(status, 503, "no backend has got the complete request: {class}, {framing}");
            let limit = Duration::from_millis(REMAINING_MS) + RESPONSE_SLACK;
            assert!(time <= limit, "{time:?}: {class}, {framing}");
        }
    }
}

#[test]
fn a_request_is_served_if_its_backend_goes_on_reading_the_body_in_time() {
    let backend = StubServer::with_connection_handler(|stream| {
        if read_request_with_pause(stream).is_some() {
            let _ = stream.get_mut().write_all(response("200 OK", "hello").as_bytes());
            wait_for_input_or_close(stream);
        }
    });
    let proxy = ProxyProcess::in_front_of(&[&backend]);
    let body = position_dependent_bytes(BODY_BYTES);

    let head = head_of("order", REMAINING_MS, &length_of(&body));
    let (status, _) = status_and_time_of(&proxy, vec![head, body]);

    assert_eq!(status, 200);
}

/// Starts a backend that reads a request with a pause within its body, and never responds. Reports when the
/// backend has read the complete request.
fn backend_that_pauses_and_never_responds() -> (StubServer, Receiver<Instant>) {
    let (report, read_completely) = channel();
    let report = Mutex::new(report);
    let backend = StubServer::with_connection_handler(move |stream| {
        if read_request_with_pause(stream).is_some() {
            report.lock().unwrap().send(Instant::now()).unwrap();
            wait_for_input_or_close(stream);
        }
    });
    (backend, read_completely)
}

#[test]
fn a_pause_of_the_backend_within_the_body_does_not_extend_the_time_of_the_request() {
    let (backend, read_completely) = backend_that_pauses_and_never_responds();
    let proxy = ProxyProcess::in_front_of(&[&backend]);
    let body = position_dependent_bytes(BODY_BYTES);
    let started = Instant::now();

    let head = head_of("order", REMAINING_MS, &length_of(&body));
    let (status, time) = status_and_time_of(&proxy, vec![head, body]);

    let read_at = read_completely.recv_timeout(TEST_TIMEOUT).unwrap();
    assert!(read_at - started >= BACKEND_PAUSE);
    assert_eq!(status, 502, "the backend may have run the request");
    assert!(time <= Duration::from_millis(REMAINING_MS) + RESPONSE_SLACK, "{time:?}");
}

/// The pauses add up to more than the time of the request, which starts only with the last byte: the client
/// has not written that byte while more of the body is missing than sockets hold.
#[test]
fn a_long_body_is_served_if_its_backend_reads_it_slowly_but_steadily() {
    const SLOW_BODY_BYTES: usize = 32 << 20;
    const BYTES_BETWEEN_PAUSES: u64 = 4 << 20;
    const SHORT_PAUSE: Duration = Duration::from_millis(250);
    const SHORT_REMAINING_MS: u64 = 1_500;
    let backend = StubServer::with_connection_handler(|stream| {
        if read_head(stream).is_none() {
            return;
        }
        for _ in 0..SLOW_BODY_BYTES as u64 / BYTES_BETWEEN_PAUSES {
            let mut part = stream.by_ref().take(BYTES_BETWEEN_PAUSES);
            let _ = std::io::copy(&mut part, &mut std::io::sink());
            std::thread::sleep(SHORT_PAUSE);
        }
        let _ = stream.get_mut().write_all(response("200 OK", "hello").as_bytes());
        wait_for_input_or_close(stream);
    });
    let proxy = ProxyProcess::in_front_of(&[&backend]);
    let body = position_dependent_bytes(SLOW_BODY_BYTES);

    let head = head_of("order", SHORT_REMAINING_MS, &length_of(&body));
    let (status, _) = status_and_time_of(&proxy, vec![head, body]);

    assert_eq!(status, 200);
}
