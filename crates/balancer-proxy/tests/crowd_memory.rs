//! The memory that a proxy uses while hundreds of clients are connected at once.
//!
//! Guards against a process that is killed because it exceeds its memory limit. A connection with a head of
//! 13 kB and 90 fields took 60 kB, for the buffers of the HTTP library and the parsed fields, and was counted
//! as 16 KiB: 450 such requests with bodies of 64,000 bytes took 35 MB of 32 MiB, and 33 MB with two more
//! such heads behind each request.

mod common;

use common::configuration::{default_configuration, request_with_framing};
use common::http::{read_head, read_message};
use common::proxy_process::ProxyProcess;
use common::stub_server::{StubServer, silent_discovery, wait_for_input_or_close};
use common::waiting::{TEST_TIMEOUT, wait_for};
use serde_json::json;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// The memory limit of the proxy in MB, the lowest that deployments set.
const MEMORY_LIMIT_MB: usize = 32;
/// The number of clients, more than the proxy has room for.
const CLIENTS: usize = 600;
/// The time for which the memory is measured.
const MEASURED_TIME: Duration = Duration::from_secs(2);
/// Interval between two measurements.
const MEASUREMENT_INTERVAL: Duration = Duration::from_millis(20);
/// Number of fields of a long head. The HTTP library accepts 100.
const FIELDS: usize = 90;
/// Length of a value in a long head in bytes.
const VALUE_BYTES: usize = 140;
/// Length of a long body that is short enough to be buffered, in bytes.
const BUFFERED_BODY_BYTES: usize = 64_000;
/// Length of a body or a response that is streamed, in bytes.
const STREAMED_BYTES: usize = 16 << 20;
/// Longest time that a client waits until the proxy accepts its bytes.
const WRITE_TIMEOUT: Duration = Duration::from_millis(200);

/// One crowd at a time: each test opens more than half of the descriptors that a process usually may.
fn one_crowd_at_a_time() -> MutexGuard<'static, ()> {
    static CROWD: Mutex<()> = Mutex::new(());
    CROWD.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

fn proxy_with_memory_limit(backend: &StubServer) -> ProxyProcess {
    let mut configuration = default_configuration(&[backend]);
    configuration["limits"]["memory_mb"] = json!(MEMORY_LIMIT_MB);
    ProxyProcess::with_configuration(&configuration, silent_discovery().address)
}

/// Starts a backend that reads each request and does not respond.
fn backend_that_does_not_respond() -> StubServer {
    StubServer::with_connection_handler(|stream| {
        let _ = read_message(stream);
        wait_for_input_or_close(stream);
    })
}

/// Starts a backend that writes a long response as fast as the proxy takes it.
fn backend_with_long_response() -> StubServer {
    StubServer::with_connection_handler(|stream| {
        if read_message(stream).is_none() {
            return;
        }
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {STREAMED_BYTES}\r\n\r\n");
        let _ = stream.get_mut().write_all(head.as_bytes());
        let _ = stream.get_mut().write_all(&vec![b'x'; STREAMED_BYTES]);
    })
}

/// Starts a backend that reads the head of a request and nothing more.
fn backend_that_does_not_read() -> StubServer {
    StubServer::with_connection_handler(|stream| {
        let _ = read_head(stream);
        std::thread::sleep(TEST_TIMEOUT);
    })
}

/// Returns a request with many fields, and with this framing and body at its end.
fn request_with_long_head(value_bytes: usize, framing: &str) -> Vec<u8> {
    let fields: String =
        (0..FIELDS).map(|number| format!("x{number:x}: {}\r\n", "y".repeat(value_bytes))).collect();
    request_with_framing("order", &format!("{fields}{framing}")).into_bytes()
}

/// Opens the connections of a crowd, each of which begins with the bytes that `bytes` returns.
fn connect_crowd(proxy: &ProxyProcess, bytes: impl Fn() -> Vec<u8>) -> Vec<TcpStream> {
    let connect = |_| {
        let mut stream = TcpStream::connect(proxy.address).unwrap();
        stream.set_write_timeout(Some(WRITE_TIMEOUT)).unwrap();
        let _ = stream.write_all(&bytes()); // fails if the proxy closes or does not accept the connection
        stream
    };
    (0..CLIENTS).map(connect).collect()
}

/// Returns the largest memory of the proxy in kB during [`MEASURED_TIME`], without the text of the program.
/// Calls `act` before each measurement.
fn peak_memory_kb(proxy: &ProxyProcess, mut act: impl FnMut()) -> usize {
    let started = Instant::now();
    let mut peak = 0;
    while started.elapsed() < MEASURED_TIME {
        act();
        peak = peak.max(proxy.memory_kb("RssAnon"));
        std::thread::sleep(MEASUREMENT_INTERVAL);
    }
    peak
}

/// Asserts that the memory stayed within its limit while the crowd was connected, and that the proxy serves a
/// new client once the crowd has left.
fn assert_withstood(proxy: &ProxyProcess, crowd: Vec<TcpStream>, peak_kb: usize) {
    assert!(peak_kb <= MEMORY_LIMIT_MB << 10, "{peak_kb} kB");
    drop(crowd);
    wait_for("a response", || {
        let mut client = proxy.connect();
        let _ = client.get_mut().write_all(b"GET /-/ready HTTP/1.1\r\nHost: p\r\n\r\n");
        read_message(&mut client).is_some_and(|response| response.status() == 200)
    });
}

#[test]
fn requests_with_long_heads_and_bodies_stay_within_the_memory_limit() {
    let _guard = one_crowd_at_a_time();
    let backend = backend_that_does_not_respond();
    let proxy = proxy_with_memory_limit(&backend);
    let body = "z".repeat(BUFFERED_BODY_BYTES);
    let framing = format!("Content-Length: {BUFFERED_BODY_BYTES}\r\n\r\n{body}");

    let crowd = connect_crowd(&proxy, || request_with_long_head(VALUE_BYTES, &framing));
    let peak_kb = peak_memory_kb(&proxy, || {});

    assert_withstood(&proxy, crowd, peak_kb);
}

#[test]
fn requests_with_long_heads_behind_others_stay_within_the_memory_limit() {
    let _guard = one_crowd_at_a_time();
    let backend = backend_that_does_not_respond();
    let proxy = proxy_with_memory_limit(&backend);
    let framing = "Content-Length: 4\r\n\r\nbody";

    let mut crowd = connect_crowd(&proxy, || request_with_long_head(VALUE_BYTES, framing));
    peak_memory_kb(&proxy, || {});
    for client in &mut crowd {
        let next =
            [request_with_long_head(VALUE_BYTES, framing), request_with_long_head(VALUE_BYTES, framing)];
        let _ = client.write_all(&next.concat());
    }
    let peak_kb = peak_memory_kb(&proxy, || {});

    assert_withstood(&proxy, crowd, peak_kb);
}

#[test]
fn unfinished_heads_of_many_short_or_long_fields_stay_within_the_memory_limit() {
    let _guard = one_crowd_at_a_time();
    for value_bytes in [0, VALUE_BYTES] {
        let backend = backend_that_does_not_respond();
        let proxy = proxy_with_memory_limit(&backend);

        let crowd = connect_crowd(&proxy, || {
            let mut head = request_with_long_head(value_bytes, "\r\n");
            head.truncate(head.len() - b"\r\n".len());
            head
        });
        let peak_kb = peak_memory_kb(&proxy, || {});

        assert_withstood(&proxy, crowd, peak_kb);
    }
}

#[test]
fn bodies_that_are_written_slowly_or_half_stay_within_the_memory_limit() {
    let _guard = one_crowd_at_a_time();
    for body_bytes in [BUFFERED_BODY_BYTES, STREAMED_BYTES] {
        let backend = backend_that_does_not_read();
        let proxy = proxy_with_memory_limit(&backend);
        let framing = format!("Content-Length: {body_bytes}\r\n\r\n");

        let mut crowd = connect_crowd(&proxy, || request_with_long_head(1, &framing));
        let mut sent_bytes = 0;
        let peak_kb = peak_memory_kb(&proxy, || {
            let piece_bytes = 16_000.min(body_bytes / 2 - sent_bytes);
            for client in &mut crowd {
                client.set_nonblocking(true).unwrap();
                let _ = client.write(&vec![b'z'; piece_bytes]);
            }
            sent_bytes += piece_bytes;
        });

        assert_withstood(&proxy, crowd, peak_kb);
    }
}

#[test]
fn long_responses_that_are_read_slowly_stay_within_the_memory_limit() {
    let _guard = one_crowd_at_a_time();
    let backend = backend_with_long_response();
    let proxy = proxy_with_memory_limit(&backend);

    let mut crowd = connect_crowd(&proxy, || request_with_long_head(VALUE_BYTES, "\r\n"));
    let peak_kb = peak_memory_kb(&proxy, || {
        for client in &mut crowd {
            client.set_nonblocking(true).unwrap();
            let _ = client.read(&mut [0; 4_000]);
        }
    });

    assert_withstood(&proxy, crowd, peak_kb);
}
