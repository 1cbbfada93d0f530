//! Request bodies: long bodies are streamed, short bodies are buffered, and slow clients are served.

mod common;

use common::body::{encode_chunked, position_dependent_bytes, write_in_background};
use common::configuration::{request, request_with_framing};
use common::http::{exchange, read_message, response};
use common::proxy_process::ProxyProcess;
use common::stub_server::{Reply, StubServer};
use common::waiting::wait_for_disconnect;
use std::io::{Read, Write};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::time::Duration;

#[test]
fn streams_a_long_body_unchanged_in_either_framing() {
    let backend = StubServer::responding_with("hello");
    let proxy = ProxyProcess::in_front_of(&[&backend]);
    let body = position_dependent_bytes(3_000_000);
    for (framing, bytes) in [
        (format!("Content-Length: {}\r\n\r\n", body.len()), body.clone()),
        ("Transfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n".to_string(), encode_chunked(&body, 70_001)),
        ("Transfer-Encoding: chunked\r\n\r\n".to_string(), encode_chunked(&body, 1_000)),
    ] {
        let mut stream = proxy.connect();
        let head = request_with_framing("order", &framing).into_bytes();

        let writer = write_in_background(&stream, vec![head, bytes]);
        let reply = read_message(&mut stream).expect("no complete response");

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
    let body = position_dependent_bytes(60_000);
    let mut stream = proxy.connect();
    let head = request("save", 4000).replace("Content-Length: 4\r\n\r\nbody", "");

    stream.get_mut().write_all(format!("{head}Transfer-Encoding: chunked\r\n\r\n").as_bytes()).unwrap();
    stream.get_mut().write_all(&encode_chunked(&body, 999)).unwrap();

    assert_eq!(read_message(&mut stream).expect("no complete response").status(), 200);
    for backend in &backends {
        assert_eq!(backend.request_count(), 1);
        assert!(backend.requests.lock().unwrap()[0].body == body);
    }
}

#[test]
fn does_not_retry_a_long_body_after_the_backend_closes_the_connection_within_it() {
    let backends = [0, 1].map(|_| {
        StubServer::with_connection_handler(|stream| {
            let _ = stream.read_exact(&mut [0; 200_000]);
        })
    });
    let proxy = ProxyProcess::in_front_of(&[&backends[0], &backends[1]]);
    let mut stream = proxy.connect();
    let body = position_dependent_bytes(30_000_000);
    let head = request_with_framing("save", &format!("Content-Length: {}\r\n\r\n", body.len()));

    let writer = write_in_background(&stream, vec![head.into_bytes(), body]);
    let status = read_message(&mut stream).map(|reply| reply.status());

    assert!(status.is_none_or(|status| status != 200), "{status:?}");
    writer.join().unwrap();
    assert_eq!(backends[0].connection_count() + backends[1].connection_count(), 1);
}

#[test]
fn ends_a_request_and_its_attempt_when_the_body_stops_arriving() {
    let (report_disconnect, disconnected) = channel();
    let backend = StubServer::with_connection_handler(move |stream| {
        let _ = std::io::copy(stream, &mut std::io::sink());
        let _ = report_disconnect.send(());
    });
    let proxy = ProxyProcess::in_front_of(&[&backend]);
    let mut stream = proxy.connect();
    let head = request_with_framing("order", "Content-Length: 1000000\r\n\r\n");
    stream.get_mut().write_all(head.as_bytes()).unwrap();
    stream.get_mut().write_all(&position_dependent_bytes(100_000)).unwrap();

    let status = read_message(&mut stream).map(|reply| reply.status());

    assert!(status.is_none_or(|status| status == 408), "{status:?}");
    wait_for_disconnect(&disconnected);
}

/// A part of a request, and the pause of the client after the part.
struct PacedPart {
    bytes: Vec<u8>,
    pause: Duration,
}

/// Divides bytes into parts of this length, with the same pause after each part.
fn paced_parts(bytes: &[u8], part_length: usize, pause: Duration) -> Vec<PacedPart> {
    bytes.chunks(part_length).map(|part| PacedPart { bytes: part.to_vec(), pause }).collect()
}

#[test]
fn serves_slow_clients() {
    let backend = StubServer::responding_with("hello");
    let proxy = ProxyProcess::in_front_of(&[&backend]);
    // The head and the short body take 2 s together; the long body arrives at 100 kB/s.
    let text = request("save", 9000);
    let short_request = paced_parts(text.as_bytes(), text.len() / 19, Duration::from_millis(100));
    let body = position_dependent_bytes(300_000);
    let head = request_with_framing("order", "Content-Length: 300000\r\n\r\n").into_bytes();
    let mut long_request = vec![PacedPart { bytes: head, pause: Duration::from_millis(500) }];
    long_request.extend(paced_parts(&body, 20_000, Duration::from_millis(200)));

    let clients = [short_request, long_request].map(|parts| {
        let mut stream = proxy.connect();
        std::thread::spawn(move || {
            for PacedPart { bytes, pause } in parts {
                stream.get_mut().write_all(&bytes).unwrap();
                std::thread::sleep(pause);
            }
            read_message(&mut stream).expect("no complete response").status()
        })
    });

    assert_eq!(clients.map(|client| client.join().unwrap()), [200, 200]);
    assert!(backend.requests.lock().unwrap().iter().any(|forwarded| forwarded.body == body));
}
