//! Long responses to clients that read slowly, and to clients that stop reading.
//!
//! Guards against a client that reads all the time and is taken for one that reads nothing. The system
//! reports a socket as writable only once a third of its send buffer is free. With a buffer of 4 MB, a client
//! that reads 64 kB/s needs some 20 s for that, and the proxy cut its response off after 10 s.

mod common;

use common::body::position_dependent_bytes;
use common::configuration::request;
use common::http::{read_body, read_head};
use common::proxy_process::{ProxyProcess, exit_code};
use common::stub_server::{StubServer, wait_for_input_or_close};
use common::waiting::{TEST_TIMEOUT, wait_for};
use serde_json::json;
use std::io::{BufReader, Read, Write};
use std::net::TcpStream;
use std::sync::Mutex;
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

/// Length of a response that is longer than the buffers of two sockets hold, in bytes.
const RESPONSE_BYTES: usize = 16 << 20;
/// Number of bytes that a slow client reads at once.
const BYTES_PER_READ: usize = 16_000;
/// Time between two reads of a slow client, which so reads 64 kB/s.
const TIME_BETWEEN_READS: Duration = Duration::from_millis(250);
/// Time without a read after which a response is cut off, as the operators' page gives it.
const MAX_TIME_WITHOUT_READ: Duration = Duration::from_secs(10);
/// Time by which a response may be cut off earlier or later than [`MAX_TIME_WITHOUT_READ`] after the last
/// read. The system of a slow client accepts more bytes only after some of its reads.
const CUT_OFF_TOLERANCE: Duration = Duration::from_secs(3);

/// Starts a backend that responds with this body as fast as the proxy takes it. Reports the time at which the
/// proxy breaks a response off.
fn backend_with_response(body: &'static [u8]) -> (StubServer, Receiver<Instant>) {
    let (report, broken_off) = channel();
    let report = Mutex::new(report);
    let backend = StubServer::with_connection_handler(move |stream| {
        let Some(head) = read_head(stream) else { return };
        let _ = read_body(stream, &head);
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        let written =
            stream.get_mut().write_all(head.as_bytes()).and_then(|()| stream.get_mut().write_all(body));
        if written.is_err() {
            let _ = report.lock().unwrap().send(Instant::now());
        } else {
            wait_for_input_or_close(stream);
        }
    });
    (backend, broken_off)
}

/// Sends a request, and reads the head of its response.
fn begin_response(proxy: &ProxyProcess) -> BufReader<TcpStream> {
    let mut stream = proxy.begin_request(&request("look", 9000));
    let head = read_head(&mut stream).expect("no complete head");
    assert_eq!(head.status(), 200);
    stream
}

/// Reads slowly but steadily for this time. Returns the bytes read, fewer if the response ends.
fn read_slowly(stream: &mut BufReader<TcpStream>, duration: Duration) -> Vec<u8> {
    let started = Instant::now();
    let mut received = Vec::new();
    let mut piece = [0; BYTES_PER_READ];
    while started.elapsed() < duration && stream.read_exact(&mut piece).is_ok() {
        received.extend_from_slice(&piece);
        std::thread::sleep(TIME_BETWEEN_READS);
    }
    received
}

#[test]
fn a_response_is_not_cut_off_if_its_client_reads_slowly_but_steadily() {
    let body: &'static [u8] = position_dependent_bytes(RESPONSE_BYTES).leak();
    let (backend, broken_off) = backend_with_response(body);
    let proxy = ProxyProcess::in_front_of(&[&backend]);
    let mut stream = begin_response(&proxy);

    let mut received = read_slowly(&mut stream, MAX_TIME_WITHOUT_READ + CUT_OFF_TOLERANCE);

    assert!(broken_off.try_recv().is_err(), "the proxy broke the response off");
    let mut rest = vec![0; RESPONSE_BYTES - received.len()];
    stream.read_exact(&mut rest).expect("no complete response");
    received.append(&mut rest);
    assert!(received == body);
}

#[test]
fn a_response_is_cut_off_if_its_client_stops_reading() {
    let body: &'static [u8] = position_dependent_bytes(RESPONSE_BYTES).leak();
    for time_until_stop in [Duration::ZERO, Duration::from_secs(2)] {
        let (backend, broken_off) = backend_with_response(body);
        let proxy = ProxyProcess::with_management_address(&[&backend]);
        let mut stream = begin_response(&proxy);

        let _ = read_slowly(&mut stream, time_until_stop);
        let stopped = Instant::now();

        let broken_off_at = broken_off.recv_timeout(TEST_TIMEOUT).expect("the proxy serves on");
        let time = broken_off_at - stopped;
        assert!(time >= MAX_TIME_WITHOUT_READ - CUT_OFF_TOLERANCE, "{time:?} after {time_until_stop:?}");
        assert!(time <= MAX_TIME_WITHOUT_READ + CUT_OFF_TOLERANCE, "{time:?} after {time_until_stop:?}");
        wait_for("the response in the metrics", || proxy.stats()["outstanding"] == 0);
        assert_eq!(proxy.stats()["results"]["look"], json!({"succeeded": 0, "declined": 0, "aborted": 1}));
    }
}

/// Guards against a process that stays for as long as a client that does not read: no timeout applied to the
/// connections that were open at the end of service.
#[test]
fn a_process_that_shuts_down_does_not_wait_for_a_client_that_stops_reading() {
    let body: &'static [u8] = position_dependent_bytes(RESPONSE_BYTES).leak();
    let (backend, _broken_off) = backend_with_response(body);
    let mut proxy = ProxyProcess::in_front_of(&[&backend]);
    let stream = begin_response(&proxy);
    let stopped = Instant::now();

    proxy.signal("-TERM");

    assert_eq!(exit_code(&mut proxy.child), Some(0));
    let time = stopped.elapsed();
    assert!(time >= MAX_TIME_WITHOUT_READ - CUT_OFF_TOLERANCE, "{time:?}");
    assert!(time <= MAX_TIME_WITHOUT_READ + CUT_OFF_TOLERANCE, "{time:?}");
    drop(stream);
}
