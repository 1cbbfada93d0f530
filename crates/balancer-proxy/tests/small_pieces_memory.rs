//! The memory that a proxy uses for bodies that arrive in small pieces.
//!
//! The HTTP library returns each piece as a slice of its read buffer. A proxy that stores these slices uses
//! some 32 bytes for the slice, and keeps a read buffer allocated, for a piece of a few bytes: 160 bodies of
//! 64,000 bytes in chunks of 4 bytes took over 60 MB, which no budget counted.

mod common;

use common::body::position_dependent_bytes;
use common::configuration::{default_configuration, request, request_with_framing};
use common::http::{read_head, read_message};
use common::proxy_process::ProxyProcess;
use common::socket_table::{unread_bytes_from_port, unread_bytes_on_port};
use common::stub_server::{StubServer, silent_discovery};
use common::waiting::wait_for;
use serde_json::json;
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::sync::mpsc::{Sender, channel};

/// The memory limit of the proxy in MB, the lowest that deployments set.
const MEMORY_LIMIT_MB: usize = 32;
/// The number of bodies that arrive at the same time. Each is counted as 64 KiB of a fourth of the memory.
const BODIES: usize = 100;
/// Length of a chunk of a request body in bytes.
const CHUNK_BYTES: usize = 4;
/// Length of a chunked request body in bytes, short enough to be buffered.
const REQUEST_BODY_BYTES: usize = 33_000;
/// Length of a response body in bytes, each of which arrives in a packet of its own.
const RESPONSE_BODY_BYTES: usize = 150;

fn proxy_with_memory_limit(backend: &StubServer) -> ProxyProcess {
    let mut configuration = default_configuration(&[backend]);
    configuration["limits"]["memory_mb"] = json!(MEMORY_LIMIT_MB);
    ProxyProcess::with_configuration(&configuration, silent_discovery().address)
}

/// Fails if the memory of the proxy, without the text of the program, is above its limit.
fn assert_within_memory_limit(proxy: &ProxyProcess) {
    let memory_kb = proxy.memory_kb("RssAnon");
    assert!(memory_kb <= MEMORY_LIMIT_MB << 10, "{memory_kb} kB");
}

/// Returns the data in chunks of [`CHUNK_BYTES`], without the chunk that ends the body.
fn encode_small_chunks(data: &[u8]) -> Vec<u8> {
    let mut encoded = Vec::new();
    for chunk in data.chunks(CHUNK_BYTES) {
        write!(encoded, "{:x}\r\n", chunk.len()).unwrap();
        encoded.extend_from_slice(chunk);
        encoded.extend_from_slice(b"\r\n");
    }
    encoded
}

#[test]
fn request_bodies_in_small_chunks_stay_within_the_memory_limit() {
    let backend = StubServer::responding_with("hello");
    let proxy = proxy_with_memory_limit(&backend);
    let body = position_dependent_bytes(REQUEST_BODY_BYTES);
    let encoded = encode_small_chunks(&body);
    let mut clients: Vec<BufReader<TcpStream>> = (0..BODIES).map(|_| proxy.connect()).collect();

    for client in &mut clients {
        let head = request_with_framing("order", "Transfer-Encoding: chunked\r\n\r\n");
        client.get_mut().write_all(head.as_bytes()).unwrap();
        client.get_mut().write_all(&encoded).unwrap();
    }
    wait_for("the proxy to read all chunks", || unread_bytes_on_port(proxy.address.port()) == 0);

    assert_within_memory_limit(&proxy);
    assert_eq!(backend.request_count(), 0, "no body is complete");
    for client in &mut clients {
        client.get_mut().write_all(b"0\r\n\r\n").unwrap();
    }
    for client in &mut clients {
        assert_eq!(read_message(client).expect("no complete response").status(), 200);
    }
    assert!(backend.requests.lock().unwrap().iter().all(|forwarded| forwarded.body == body));
    assert_within_memory_limit(&proxy);
}

/// Starts a backend that writes the head of a response and hands over the connection, on which the test
/// writes the body.
fn backend_that_hands_over_connections(connections: Sender<TcpStream>) -> StubServer {
    StubServer::with_connection_handler(move |stream| {
        if read_message(stream).is_none() {
            return;
        }
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {RESPONSE_BODY_BYTES}\r\n\r\n");
        stream.get_mut().write_all(head.as_bytes()).unwrap();
        stream.get_ref().set_nodelay(true).unwrap();
        connections.send(stream.get_ref().try_clone().unwrap()).unwrap();
        let _ = read_head(stream); // returns when the proxy closes the connection
    })
}

#[test]
fn response_bodies_in_small_packets_stay_within_the_memory_limit() {
    let (connections, handed_over) = channel();
    let backend = backend_that_hands_over_connections(connections);
    let proxy = proxy_with_memory_limit(&backend);
    let mut clients: Vec<_> = (0..BODIES).map(|_| proxy.begin_request(&request("look", 9000))).collect();
    let mut backend_streams: Vec<TcpStream> = handed_over.iter().take(BODIES).collect();
    let body = position_dependent_bytes(RESPONSE_BODY_BYTES);

    for (index, byte) in body.iter().enumerate() {
        if index == RESPONSE_BODY_BYTES - 1 {
            assert_within_memory_limit(&proxy);
        }
        for stream in &mut backend_streams {
            stream.write_all(&[*byte]).unwrap();
        }
        wait_for("the proxy to read all bytes", || unread_bytes_from_port(backend.address.port()) == 0);
    }

    for client in &mut clients {
        assert_eq!(read_message(client).expect("no complete response").body, body);
    }
}
