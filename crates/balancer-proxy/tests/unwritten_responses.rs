//! Responses whose last bytes the proxy has received and not written, as the client reads slowly.
//!
//! Guards against a response that is cut off at its end. A response whose last bytes wait in the proxy until
//! its client reads counted as finished, and its connection as idle: the proxy closed the connection for a
//! new client, or exited during a graceful shutdown, and the client got all but the last bytes.

mod common;

use common::configuration::request;
use common::http::{read_body, read_head};
use common::proxy_process::{ProxyProcess, exit_code};
use common::socket_table::{ConnectionPorts, bytes_between};
use common::stub_server::{StubServer, wait_for_input_or_close};
use common::waiting::{TEST_TIMEOUT, wait_for};
use std::io::{BufReader, Read, Write};
use std::net::TcpStream;
use std::sync::Mutex;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

/// Length of the first chunk of a response, in bytes. The client reads the chunk at once, so that the system
/// enlarges the send buffer of the proxy to its limit.
const FIRST_CHUNK_BYTES: usize = 8 << 20;
/// Length of each further chunk, in bytes. The write buffer of the proxy has room for more than one.
const CHUNK_BYTES: usize = 8_000;
/// Time for which the system does not accept a chunk that the proxy has received, after which the chunk stays
/// in the proxy until the client reads.
const TIME_UNTIL_BLOCKED: Duration = Duration::from_secs(1);
/// Longer than a connection must be idle before the proxy may close it for a new one.
const IDLE_TIME_BEFORE_EVICTION: Duration = Duration::from_millis(2_200);

/// A response whose client has read only the first chunk.
struct UnwrittenResponse {
    stream: BufReader<TcpStream>,
    /// The number of bytes of the body, up to the end that the proxy has received.
    body_bytes: usize,
}

/// What a backend and its test tell each other about a response.
struct ResponseControl {
    /// The connection between the proxy and the client, once the client has read the first chunk.
    client_connection: Mutex<Receiver<ConnectionPorts>>,
    /// The length of the body, once the proxy has received its end.
    body_bytes: Mutex<Sender<usize>>,
}

fn write_chunk(stream: &mut TcpStream, length: usize) {
    let chunk = [format!("{length:x}\r\n").as_bytes(), &vec![b'x'; length], b"\r\n"].concat();
    stream.write_all(&chunk).unwrap();
}

/// Waits until the proxy has read all that was written to it.
fn wait_until_read(stream: &TcpStream) {
    let ports = ConnectionPorts {
        local: stream.local_addr().unwrap().port(),
        remote: stream.peer_addr().unwrap().port(),
    };
    wait_for("the read of the proxy", || bytes_between(ports) == 0);
}

/// Returns whether the system accepts so many bytes of the response in time.
fn reaches_system(client_connection: ConnectionPorts, bytes: usize) -> bool {
    let started = Instant::now();
    while bytes_between(client_connection) < bytes {
        if started.elapsed() > TIME_UNTIL_BLOCKED {
            return false;
        }
        std::thread::sleep(Duration::from_millis(1));
    }
    true
}

/// Writes a chunked response. After the first chunk, writes small chunks one at a time until one stays in the
/// proxy, and then the end of the body.
fn write_response(stream: &mut TcpStream, control: &ResponseControl) {
    stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").unwrap();
    write_chunk(stream, FIRST_CHUNK_BYTES);
    let client_connection = control.client_connection.lock().unwrap().recv_timeout(TEST_TIMEOUT).unwrap();
    let mut unread_bytes = 0;
    loop {
        write_chunk(stream, CHUNK_BYTES);
        unread_bytes += CHUNK_BYTES;
        wait_until_read(stream);
        if !reaches_system(client_connection, unread_bytes) {
            break;
        }
    }
    stream.write_all(b"0\r\n\r\n").unwrap();
    wait_until_read(stream);
    control.body_bytes.lock().unwrap().send(FIRST_CHUNK_BYTES + unread_bytes).unwrap();
}

/// Starts a response, and reads its first chunk. Returns once the proxy has received the end of the response
/// and has not written its last bytes. `start` starts a proxy in front of a backend.
fn begin_response(start: impl FnOnce(&StubServer) -> ProxyProcess) -> (ProxyProcess, UnwrittenResponse) {
    let (report_connection, client_connection) = channel();
    let (report_bytes, body_bytes) = channel();
    let control = ResponseControl {
        client_connection: Mutex::new(client_connection),
        body_bytes: Mutex::new(report_bytes),
    };
    let backend = StubServer::with_connection_handler(move |stream| {
        let Some(head) = read_head(stream) else { return };
        let _ = read_body(stream, &head);
        write_response(stream.get_mut(), &control);
        wait_for_input_or_close(stream);
    });
    let proxy = start(&backend);
    let mut stream = proxy.begin_request(&request("look", 9000));
    assert_eq!(read_head(&mut stream).expect("no complete head").status(), 200);
    skip_chunks(&mut stream, FIRST_CHUNK_BYTES);
    let client_port = stream.get_ref().local_addr().unwrap().port();
    let ports = ConnectionPorts { local: proxy.address.port(), remote: client_port };
    report_connection.send(ports).unwrap();
    let body_bytes = body_bytes.recv_timeout(TEST_TIMEOUT).expect("the proxy does not take the response");
    (proxy, UnwrittenResponse { stream, body_bytes })
}

/// Reads whole chunks until their contents have so many bytes.
fn skip_chunks(stream: &mut BufReader<TcpStream>, bytes: usize) {
    let mut read = 0;
    while read < bytes {
        read += read_chunk(stream).expect("no complete chunk");
    }
    assert_eq!(read, bytes);
}

/// Reads a chunk, and returns its length. Returns `None` if the connection ends before.
fn read_chunk(stream: &mut BufReader<TcpStream>) -> Option<usize> {
    let mut line = String::new();
    std::io::BufRead::read_line(stream, &mut line).ok()?;
    let length = usize::from_str_radix(line.trim(), 16).ok()?;
    stream.read_exact(&mut vec![0; length + b"\r\n".len()]).ok()?;
    Some(length)
}

/// Reads the rest of a response, and asserts that the response is complete.
fn assert_complete(mut response: UnwrittenResponse) {
    let mut read = FIRST_CHUNK_BYTES;
    loop {
        match read_chunk(&mut response.stream) {
            Some(0) => break,
            Some(length) => read += length,
            None => panic!("the response ends after {read} of {} bytes", response.body_bytes),
        }
    }
    assert_eq!(read, response.body_bytes);
}

#[test]
fn a_response_is_written_to_its_end_before_the_process_exits() {
    let (mut proxy, response) = begin_response(|backend| ProxyProcess::in_front_of(&[backend]));
    let mut idle = proxy.connect();

    proxy.signal("-TERM");
    assert_eq!(idle.read(&mut [0]).unwrap(), 0, "an idle connection is closed at the end of full service");
    std::thread::sleep(Duration::from_secs(1)); // longer than the proxy waits for idle clients

    assert_complete(response);
    assert_eq!(exit_code(&mut proxy.child), Some(0));
}

#[test]
fn a_response_is_written_to_its_end_before_its_connection_is_closed_for_a_new_one() {
    let (proxy, response) = begin_response(|backend| ProxyProcess::with_socket_limit(&[backend], 64));
    std::thread::sleep(IDLE_TIME_BEFORE_EVICTION);

    let new: Vec<_> = (0..40).map(|_| proxy.connect()).collect();
    std::thread::sleep(Duration::from_secs(1)); // longer than the close of a connection takes

    assert_complete(response);
    drop(new);
}
