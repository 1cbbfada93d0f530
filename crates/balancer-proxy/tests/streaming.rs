//! Bodies and responses that are streamed, slow peers, and the forms of HTTP/1.1.

mod common;

use common::configuration::{request, request_with_framing};
use common::http::{exchange, read_body, read_head, read_message, response};
use common::proxy_process::ProxyProcess;
use common::stub_server::{Reply, StubServer};
use common::waiting::{TEST_TIMEOUT, wait_for, wait_for_disconnect};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::sync::mpsc::{Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

/// The memory that a proxy may use while many long bodies are streamed, in kilobytes.
const MAX_MEMORY_KB: usize = 32 << 10;

/// Bytes that depend on their position.
fn pattern(length: usize) -> Vec<u8> {
    (0..length).map(|index| (index ^ (index >> 8) ^ (index >> 16)) as u8).collect()
}

/// The data in chunked encoding, with chunk extensions and a trailer.
fn chunked(data: &[u8], chunk_length: usize) -> Vec<u8> {
    let mut encoded = Vec::new();
    for chunk in data.chunks(chunk_length) {
        write!(encoded, "{:x};a=b\r\n", chunk.len()).unwrap();
        encoded.extend_from_slice(chunk);
        encoded.extend_from_slice(b"\r\n");
    }
    encoded.extend_from_slice(b"0\r\nX-Sum: 1\r\n\r\n");
    encoded
}

/// Writes from another thread, as a client does that reads while it writes.
fn write_in_background(stream: &BufReader<TcpStream>, parts: Vec<Vec<u8>>) -> JoinHandle<()> {
    let mut stream = stream.get_ref().try_clone().unwrap();
    std::thread::spawn(move || {
        for part in parts {
            if stream.write_all(&part).is_err() {
                return; // it has got its response before its end
            }
        }
    })
}

#[test]
fn streams_a_long_body_unchanged_in_either_framing() {
    let backend = StubServer::responding_with("hello");
    let proxy = ProxyProcess::in_front_of(&[&backend]);
    let body = pattern(3_000_000);
    for (framing, bytes) in [
        (format!("Content-Length: {}\r\n\r\n", body.len()), body.clone()),
        ("Transfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n".to_string(), chunked(&body, 70_001)),
        ("Transfer-Encoding: chunked\r\n\r\n".to_string(), chunked(&body, 1_000)),
    ] {
        let mut stream = proxy.connect();
        let head = request_with_framing("order", &framing).into_bytes();

        let writer = write_in_background(&stream, vec![head, bytes]);
        let reply = read_message(&mut stream).expect("a response");

        assert_eq!((reply.status(), reply.body.as_slice()), (200, b"hello".as_slice()), "{framing}");
        writer.join().unwrap();
        let forwarded = backend.requests.lock().unwrap().pop().unwrap();
        assert!(forwarded.body == body, "{framing}");
        // The connection is kept open.
        assert_eq!(exchange(&mut stream, &request("look", 9000)).status(), 200);
    }
}

#[test]
fn buffers_a_short_chunked_body_for_a_retry() {
    let attempts = Arc::new(Mutex::new(0));
    let backends = [attempts.clone(), attempts].map(|attempts| {
        StubServer::new(move |_, _| {
            let mut attempts = attempts.lock().unwrap();
            *attempts += 1;
            if *attempts == 1 { Reply::Close } else { Reply::Respond(response("200 OK", "hello")) }
        })
    });
    let proxy = ProxyProcess::in_front_of(&[&backends[0], &backends[1]]);
    let body = pattern(60_000);
    let mut stream = proxy.connect();
    let head = request("save", 4000).replace("Content-Length: 4\r\n\r\nbody", "");

    stream.get_mut().write_all(format!("{head}Transfer-Encoding: chunked\r\n\r\n").as_bytes()).unwrap();
    stream.get_mut().write_all(&chunked(&body, 999)).unwrap();

    assert_eq!(read_message(&mut stream).expect("a response").status(), 200);
    for backend in &backends {
        assert_eq!(backend.request_count(), 1);
        assert!(backend.requests.lock().unwrap()[0].body == body);
    }
}

#[test]
fn does_not_retry_a_long_body_after_a_connection_closed_in_the_middle() {
    let backends = [0, 1].map(|_| {
        StubServer::with_connection_handler(|stream| {
            let _ = stream.read_exact(&mut [0; 200_000]);
        })
    });
    let proxy = ProxyProcess::in_front_of(&[&backends[0], &backends[1]]);
    let mut stream = proxy.connect();
    let body = pattern(30_000_000);
    let head = request_with_framing("save", &format!("Content-Length: {}\r\n\r\n", body.len()));

    let writer = write_in_background(&stream, vec![head.into_bytes(), body]);
    let status = read_message(&mut stream).map(|reply| reply.status());

    assert!(status.is_none_or(|status| status != 200), "{status:?}");
    writer.join().unwrap();
    assert_eq!(backends[0].connection_count() + backends[1].connection_count(), 1);
}

#[test]
fn ends_a_request_whose_body_stops_and_its_attempt() {
    let (report_disconnect, disconnected) = channel();
    let backend = StubServer::with_connection_handler(move |stream| {
        let _ = std::io::copy(stream, &mut std::io::sink());
        let _ = report_disconnect.send(());
    });
    let proxy = ProxyProcess::in_front_of(&[&backend]);
    let mut stream = proxy.connect();
    let head = request_with_framing("order", "Content-Length: 1000000\r\n\r\n");
    stream.get_mut().write_all(head.as_bytes()).unwrap();
    stream.get_mut().write_all(&pattern(100_000)).unwrap();

    let status = read_message(&mut stream).map(|reply| reply.status());

    assert!(status.is_none_or(|status| status == 408), "{status:?}");
    wait_for_disconnect(&disconnected);
}

/// A backend that responds with these headers and this encoded body, and pauses in the middle until
/// the returned sender sends. It closes the connection there when the sender is dropped.
fn backend_that_pauses(headers: String, encoded_body: Vec<u8>) -> (StubServer, Sender<()>) {
    let (release, released) = channel();
    let released = Mutex::new(released);
    let backend = StubServer::with_connection_handler(move |stream| {
        while read_message(stream).is_some() {
            let (first, rest) = encoded_body.split_at(encoded_body.len() / 2);
            let _ = stream.get_mut().write_all(format!("HTTP/1.1 200 OK\r\n{headers}\r\n\r\n").as_bytes());
            let _ = stream.get_mut().write_all(first);
            if released.lock().unwrap().recv_timeout(TEST_TIMEOUT).is_err() {
                return;
            }
            let _ = stream.get_mut().write_all(rest);
        }
    });
    (backend, release)
}

#[test]
fn streams_a_long_response_unchanged_before_it_is_complete() {
    let body = pattern(2_000_000);
    for (framing, encoded_body) in [
        (format!("Content-Length: {}", body.len()), body.clone()),
        ("Transfer-Encoding: chunked\r\nTrailer: X-Sum".to_string(), chunked(&body, 10_000)),
    ] {
        let headers = format!("Content-Type: text/x\r\nX-Other: y\r\n{framing}");
        let (backend, release) = backend_that_pauses(headers, encoded_body);
        let proxy = ProxyProcess::in_front_of(&[&backend]);
        let mut stream = proxy.connect();
        for _ in 0..2 {
            stream.get_mut().write_all(request("look", 9000).as_bytes()).unwrap();

            let head = read_head(&mut stream).expect("a head");

            assert_eq!((head.status(), head.header("content-type")), (200, Some("text/x")), "{framing}");
            assert_eq!(head.header("x-other"), Some("y"), "{framing}");
            // The body begins before the backend goes on.
            assert!(!stream.fill_buf().unwrap().is_empty());
            release.send(()).unwrap();
            assert!(read_body(&mut stream, &head).expect("a body") == body, "{framing}");
            std::thread::sleep(Duration::from_millis(100)); // until the connection is in its pool
        }
        assert_eq!(backend.connection_count(), 1, "{framing}");
    }
}

#[test]
fn a_client_can_tell_that_a_response_is_incomplete() {
    let body = pattern(400_000);
    for (framing, encoded_body) in [
        (format!("Content-Length: {}", body.len()), body.clone()),
        ("Transfer-Encoding: chunked".to_string(), chunked(&body, 10_000)),
    ] {
        let (backend, release) = backend_that_pauses(framing, encoded_body);
        let proxy = ProxyProcess::with_management(&[&backend]);
        let mut stream = proxy.begin_request(&request("order", 9000));
        let head = read_head(&mut stream).expect("a head");
        assert!(!stream.fill_buf().unwrap().is_empty());

        drop(release);

        assert!(read_body(&mut stream, &head).is_none());
        // It counts as failed, and is not retried.
        wait_for("count", || proxy.stats()["results"]["order"]["aborted"] == 1);
        assert_eq!(proxy.stats()["outstanding"], 0);
        assert_eq!(proxy.stats()["forwards"], 1);
    }
}

/// The resident memory of the process in kilobytes.
fn memory_kb(proxy: &ProxyProcess) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{}/status", proxy.child.id())).unwrap();
    let line = status.lines().find(|line| line.starts_with("VmRSS")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

/// A backend that responds with this long body, and reads no body of a POST during the test.
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
    let body: &'static [u8] = pattern(32 << 20).leak();
    let backend = backend_with_long_response(body);
    let proxy = ProxyProcess::in_front_of(&[&backend]);
    let mut readers = Vec::new();
    for _ in 0..20 {
        let mut stream = proxy.begin_request(&request("look", 9000));
        let head = read_head(&mut stream).expect("a head");
        readers.push((stream, head)); // which reads no more for now
    }
    let mut writers = Vec::new();
    for _ in 0..20 {
        let stream = proxy.connect();
        let head = request_with_framing("order", &format!("Content-Length: {}\r\n\r\n", body.len()));
        write_in_background(&stream, vec![head.into_bytes(), body.to_vec()]);
        writers.push(stream);
    }

    wait_for("attempts", || backend.connection_count() == 40);

    // 1.3 GB are being streamed.
    assert!(memory_kb(&proxy) < MAX_MEMORY_KB, "{} kB", memory_kb(&proxy));
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
    assert!(memory_kb(&proxy) < MAX_MEMORY_KB, "{} kB", memory_kb(&proxy));
}

/// A part of a request, and the pause behind it.
struct PacedPart {
    bytes: Vec<u8>,
    pause: Duration,
}

/// The bytes in parts of this length with the same pause behind each.
fn paced(bytes: &[u8], part_length: usize, pause: Duration) -> Vec<PacedPart> {
    bytes.chunks(part_length).map(|part| PacedPart { bytes: part.to_vec(), pause }).collect()
}

#[test]
fn serves_slow_clients() {
    let backend = StubServer::responding_with("hello");
    let proxy = ProxyProcess::in_front_of(&[&backend]);
    // A head and a short body that take 2 s together, and a long body at 100 kB a second.
    let text = request("save", 9000);
    let short = paced(text.as_bytes(), text.len() / 19, Duration::from_millis(100));
    let body = pattern(300_000);
    let head = request_with_framing("order", "Content-Length: 300000\r\n\r\n").into_bytes();
    let mut long = vec![PacedPart { bytes: head, pause: Duration::from_millis(500) }];
    long.extend(paced(&body, 20_000, Duration::from_millis(200)));

    let clients = [short, long].map(|parts| {
        let mut stream = proxy.connect();
        std::thread::spawn(move || {
            for PacedPart { bytes, pause } in parts {
                stream.get_mut().write_all(&bytes).unwrap();
                std::thread::sleep(pause);
            }
            read_message(&mut stream).expect("a response").status()
        })
    });

    assert_eq!(clients.map(|client| client.join().unwrap()), [200, 200]);
    assert!(backend.requests.lock().unwrap().iter().any(|forwarded| forwarded.body == body));
}

/// A backend that sends an interim response before each final one, and no body to HEAD.
fn backend_with_interim_responses() -> StubServer {
    StubServer::with_connection_handler(|stream| {
        while let Some(message) = read_message(stream) {
            let interim = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";
            let body = if message.start_line.starts_with("HEAD") { "" } else { "hello" };
            let text = format!("{interim}HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n{body}");
            let _ = stream.get_mut().write_all(text.as_bytes());
        }
    })
}

#[test]
fn supports_head_pipelining_expect_and_http_1_0() {
    let backend = backend_with_interim_responses();
    let proxy = ProxyProcess::in_front_of(&[&backend]);
    let mut stream = proxy.connect();

    // HEAD: the length without a body.
    let head =
        request("look", 9000).replace("GET ", "HEAD ").replace("Content-Length: 4\r\n\r\nbody", "\r\n");
    stream.get_mut().write_all(head.as_bytes()).unwrap();
    let reply = read_head(&mut stream).expect("a response");
    assert_eq!((reply.status(), reply.header("content-length")), (200, Some("5")));

    // Pipelining: responses in the order of the requests.
    let pipelined: String = ["save", "look", "order"].map(|class| request(class, 9000)).concat();
    stream.get_mut().write_all(pipelined.as_bytes()).unwrap();
    for _ in 0..3 {
        assert_eq!(read_message(&mut stream).expect("a response").body, b"hello");
    }

    // Expect: the client sends its body after an interim response.
    let expecting = request("save", 9000).replace("X-Lane", "Expect: 100-continue\r\nX-Lane");
    stream.get_mut().write_all(expecting.strip_suffix("body").unwrap().as_bytes()).unwrap();
    assert_eq!(read_head(&mut stream).expect("an interim response").status(), 100);
    stream.get_mut().write_all(b"body").unwrap();
    assert_eq!(read_message(&mut stream).expect("a response").body, b"hello");

    // HTTP/1.0 without a Connection header: the connection is closed behind the response.
    stream.get_mut().write_all(request("save", 9000).replace("HTTP/1.1", "HTTP/1.0").as_bytes()).unwrap();
    let mut text = String::new();
    stream.read_to_string(&mut text).unwrap();
    assert!(text.contains(" 200 OK\r\n") && text.ends_with("hello"), "{text}");
}
