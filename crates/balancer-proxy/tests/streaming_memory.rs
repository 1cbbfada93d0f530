//! The memory that a proxy uses while it streams many long bodies at the same time.

mod common;

use common::body::{position_dependent_bytes, write_in_background};
use common::configuration::{request, request_with_framing};
use common::http::{read_body, read_head};
use common::proxy_process::ProxyProcess;
use common::stub_server::StubServer;
use common::waiting::{TEST_TIMEOUT, wait_for};
use std::io::Write;

/// Upper bound on the resident memory of a proxy while many long bodies are streamed, in kilobytes.
const MAX_MEMORY_KB: usize = 32 << 10;

/// Starts a backend that responds to a GET with this long body, and neither reads the body of a POST nor
/// responds to it during the test.
fn backend_with_long_response(body: &'static [u8]) -> StubServer {
    StubServer::with_connection_handler(move |stream| {
        let Some(head) = read_head(stream) else { return };
        if head.start_line.starts_with("POST") {
            std::thread::sleep(TEST_TIMEOUT);
        }
        let _ = read_body(stream, &head);
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        let _ = stream.get_mut().write_all(head.as_bytes());
        let _ = stream.get_mut().write_all(body);
    })
}

#[test]
fn many_long_bodies_and_responses_at_once_use_little_memory() {
    let body: &'static [u8] = position_dependent_bytes(32 << 20).leak();
    let backend = backend_with_long_response(body);
    let proxy = ProxyProcess::in_front_of(&[&backend]);
    let mut readers = Vec::new();
    for _ in 0..20 {
        let mut stream = proxy.begin_request(&request("look", 9000));
        let head = read_head(&mut stream).expect("no complete head");
        readers.push((stream, head)); // the body is read after the first measurement
    }
    let mut writers = Vec::new();
    for _ in 0..20 {
        let stream = proxy.connect();
        let head = request_with_framing("order", &format!("Content-Length: {}\r\n\r\n", body.len()));
        write_in_background(&stream, vec![head.into_bytes(), body.to_vec()]);
        writers.push(stream);
    }

    wait_for("all attempts", || backend.connection_count() == 40);

    // The bodies that are being streamed have 1.3 GB in total.
    let memory_kb = proxy.memory_kb("VmRSS");
    assert!(memory_kb < MAX_MEMORY_KB, "{memory_kb} kB");
    drop(writers);
    let readers: Vec<_> = readers
        .into_iter()
        .map(|(mut stream, head)| {
            std::thread::spawn(move || read_body(&mut stream, &head).is_some_and(|read| read == body))
        })
        .collect();
    for reader in readers {
        assert!(reader.join().unwrap());
    }
    let memory_kb = proxy.memory_kb("VmRSS");
    assert!(memory_kb < MAX_MEMORY_KB, "{memory_kb} kB");
}
