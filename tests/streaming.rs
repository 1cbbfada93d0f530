//! Bodies and answers that are too long to be held, slow peers, and the forms that HTTP/1.1 takes.

mod common;

use common::configuration::{request, request_with_framing};
use common::http::{exchange, read_body, read_head, read_message, response};
use common::proxy_process::ProxyProcess;
use common::stub_server::{Reply, StubServer};
use common::waiting::{TEST_TIMEOUT, wait_for, wait_for_disconnect};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Bytes that tell their shared_address.
fn pattern(length: usize) -> Vec<u8> {
    (0..length).map(|i| (i ^ (i >> 8) ^ (i >> 16)) as u8).collect()
}

fn chunked(data: &[u8], chunk: usize) -> Vec<u8> {
    let mut text = Vec::new();
    for piece in data.chunks(chunk) {
        write!(text, "{:x};a=b\r\n", piece.len()).unwrap();
        text.extend_from_slice(piece);
        text.extend_from_slice(b"\r\n");
    }
    text.extend_from_slice(b"0\r\nX-Sum: 1\r\n\r\n");
    text
}

/// Sends from another thread, as a client does that reads while it writes.
fn write_aside(stream: &BufReader<TcpStream>, parts: Vec<Vec<u8>>) -> std::thread::JoinHandle<()> {
    let mut stream = stream.get_ref().try_clone().unwrap();
    std::thread::spawn(move || {
        for part in parts {
            if stream.write_all(&part).is_err() {
                return; // it has been answered before its end
            }
        }
    })
}

#[test]
fn a_long_body_passes_through_unchanged_in_either_framing() {
    let backend = StubServer::responding_with("hello");
    let proxy = ProxyProcess::in_front_of(&[&backend]);
    let body = pattern(3_000_000);
    for (framing, bytes) in [
        (format!("Content-Length: {}\r\n\r\n", body.len()), body.clone()),
        ("Transfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n".to_string(), chunked(&body, 70_001)),
        ("Transfer-Encoding: chunked\r\n\r\n".to_string(), chunked(&body, 1_000)),
    ] {
        let mut stream = proxy.connect();
        let writing = write_aside(&stream, vec![request_with_framing("order", &framing).into_bytes(), bytes]);
        let reply = read_message(&mut stream).expect("an answer");
        assert_eq!((reply.status(), reply.body.as_slice()), (200, b"hello".as_slice()), "{framing}");
        writing.join().unwrap();
        let seen = backend.requests.lock().unwrap().pop().unwrap();
        assert!(seen.body == body, "{framing}");
        // The connection goes on.
        assert_eq!(exchange(&mut stream, &request("look", 9000)).status(), 200);
    }
}

#[test]
fn a_short_chunked_body_is_held_and_repeated() {
    let played = Arc::new(Mutex::new(0));
    let backends = [played.clone(), played].map(|played| {
        StubServer::new(move |_, _| {
            let mut played = played.lock().unwrap();
            *played += 1;
            if *played == 1 { Reply::Close } else { Reply::Respond(response("200 OK", "hello")) }
        })
    });
    let proxy = ProxyProcess::in_front_of(&[&backends[0], &backends[1]]);
    let body = pattern(60_000);
    let mut stream = proxy.connect();
    let head = request("save", 4000).replace("Content-Length: 4\r\n\r\nbody", "");
    stream.get_mut().write_all(format!("{head}Transfer-Encoding: chunked\r\n\r\n").as_bytes()).unwrap();
    stream.get_mut().write_all(&chunked(&body, 999)).unwrap();
    assert_eq!(read_message(&mut stream).expect("an answer").status(), 200);
    for backend in &backends {
        assert_eq!(backend.request_count(), 1);
        assert!(backend.requests.lock().unwrap()[0].body == body);
    }
}

#[test]
fn a_long_body_that_broke_on_the_way_is_not_sent_again() {
    // Closes in the middle of it.
    let backends = [0, 1].map(|_| {
        StubServer::with_connection_handler(|stream| {
            let _ = stream.read_exact(&mut [0; 200_000]);
        })
    });
    let proxy = ProxyProcess::in_front_of(&[&backends[0], &backends[1]]);
    let mut stream = proxy.connect();
    let body = pattern(30_000_000);
    let head = request_with_framing("save", &format!("Content-Length: {}\r\n\r\n", body.len()));
    let writing = write_aside(&stream, vec![head.into_bytes(), body]);
    let status = read_message(&mut stream).map(|reply| reply.status());
    assert!(status.is_none_or(|s| s != 200), "{status:?}");
    writing.join().unwrap();
    let connections = |b: &StubServer| b.connection_count();
    assert_eq!(connections(&backends[0]) + connections(&backends[1]), 1);
}

#[test]
fn a_body_that_stops_is_given_up_and_so_is_its_attempt() {
    let (ended, end) = channel();
    let backend = StubServer::with_connection_handler(move |stream| {
        let _ = std::io::copy(stream, &mut std::io::sink());
        let _ = ended.send(());
    });
    let proxy = ProxyProcess::in_front_of(&[&backend]);
    let mut stream = proxy.connect();
    let head = request_with_framing("order", "Content-Length: 1000000\r\n\r\n");
    stream.get_mut().write_all(head.as_bytes()).unwrap();
    stream.get_mut().write_all(&pattern(100_000)).unwrap();
    let status = read_message(&mut stream).map(|reply| reply.status());
    assert!(status.is_none_or(|s| s == 408), "{status:?}");
    wait_for_disconnect(&end);
}

/// A backend that answers with this head and body, and halts in the middle until it is let go.
fn halting(head: String, whole: Vec<u8>) -> (StubServer, std::sync::mpsc::Sender<()>) {
    let (release, held) = channel();
    let held = Mutex::new(held);
    let backend = StubServer::with_connection_handler(move |stream| {
        while read_message(stream).is_some() {
            let (first, rest) = whole.split_at(whole.len() / 2);
            let _ = stream.get_mut().write_all(format!("HTTP/1.1 200 OK\r\n{head}\r\n\r\n").as_bytes());
            let _ = stream.get_mut().write_all(first);
            if held.lock().unwrap().recv_timeout(TEST_TIMEOUT).is_err() {
                return; // it is to break off here
            }
            let _ = stream.get_mut().write_all(rest);
        }
    });
    (backend, release)
}

#[test]
fn a_long_answer_begins_before_it_has_come_and_goes_on_unchanged() {
    let body = pattern(2_000_000);
    for (coding, whole) in [
        (format!("Content-Length: {}", body.len()), body.clone()),
        ("Transfer-Encoding: chunked\r\nTrailer: X-Sum".to_string(), chunked(&body, 10_000)),
    ] {
        let (backend, release) = halting(format!("Content-Type: text/x\r\nX-Other: y\r\n{coding}"), whole);
        let proxy = ProxyProcess::in_front_of(&[&backend]);
        let mut stream = proxy.connect();
        for _ in 0..2 {
            stream.get_mut().write_all(request("look", 9000).as_bytes()).unwrap();
            let head = read_head(&mut stream).expect("a head");
            assert_eq!((head.status(), head.header("content-type")), (200, Some("text/x")), "{coding}");
            assert_eq!(head.header("x-other"), Some("y"), "{coding}");
            // There is something of the body before the backend goes on.
            assert!(!stream.fill_buf().unwrap().is_empty());
            release.send(()).unwrap();
            assert!(read_body(&mut stream, &head).expect("a body") == body, "{coding}");
            std::thread::sleep(Duration::from_millis(100)); // until the connection has settled
        }
        assert_eq!(backend.connection_count(), 1, "{coding}");
    }
}

#[test]
fn a_client_can_tell_an_answer_that_broke_off() {
    let body = pattern(400_000);
    for (coding, whole) in [
        (format!("Content-Length: {}", body.len()), body.clone()),
        ("Transfer-Encoding: chunked".to_string(), chunked(&body, 10_000)),
    ] {
        let (backend, release) = halting(coding, whole);
        let proxy = ProxyProcess::with_management(&[&backend]);
        let mut stream = proxy.connect();
        stream.get_mut().write_all(request("order", 9000).as_bytes()).unwrap();
        let head = read_head(&mut stream).expect("a head");
        assert!(!stream.fill_buf().unwrap().is_empty());
        drop(release);
        assert!(read_body(&mut stream, &head).is_none());
        // It has failed, not been served; and there is no other attempt.
        wait_for("count", || proxy.stats()["results"]["order"]["aborted"] == 1);
        assert_eq!(proxy.stats()["outstanding"], 0);
        assert_eq!(proxy.stats()["forwards"], 1);
    }
}

/// Kilobytes of memory that the process has in use.
fn memory(proxy: &ProxyProcess) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{}/status", proxy.child.id())).unwrap();
    let line = status.lines().find(|l| l.starts_with("VmRSS")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

#[test]
fn many_long_answers_and_bodies_at_once_take_little_memory() {
    let body: &'static [u8] = pattern(32 << 20).leak();
    let backend = StubServer::with_connection_handler(move |stream| {
        let Some(head) = read_head(stream) else { return };
        if head.start_line.starts_with("POST") {
            // Takes nothing of the body while the test looks.
            std::thread::sleep(TEST_TIMEOUT);
        }
        let _ = read_body(stream, &head);
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        let _ = stream.get_mut().write_all(head.as_bytes());
        let _ = stream.get_mut().write_all(body);
    });
    let proxy = ProxyProcess::in_front_of(&[&backend]);
    let mut readers = Vec::new();
    for _ in 0..20 {
        let mut stream = proxy.connect();
        stream.get_mut().write_all(request("look", 9000).as_bytes()).unwrap();
        let head = read_head(&mut stream).expect("a head");
        readers.push((stream, head)); // and takes nothing more for now
    }
    let mut writers = Vec::new();
    for _ in 0..20 {
        let stream = proxy.connect();
        let head = request_with_framing("order", &format!("Content-Length: {}\r\n\r\n", body.len()));
        write_aside(&stream, vec![head.into_bytes(), body.to_vec()]);
        writers.push(stream);
    }
    wait_for("attempts", || backend.connection_count() == 40);
    // 1.3 GB are under way.
    assert!(memory(&proxy) < 32 << 10, "{} kB", memory(&proxy));
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
    assert!(memory(&proxy) < 32 << 10, "{} kB", memory(&proxy));
}

#[test]
fn a_client_that_takes_its_time_is_served() {
    let backend = StubServer::responding_with("hello");
    let proxy = ProxyProcess::in_front_of(&[&backend]);
    // A head and a short body that take 2 s together, and a long body at 100 kB a second.
    let text = request("save", 9000);
    let short: Vec<_> = text.as_bytes().chunks(text.len() / 19).map(|part| (part.to_vec(), 100)).collect();
    let body = pattern(300_000);
    let head = request_with_framing("order", "Content-Length: 300000\r\n\r\n");
    let long = body.chunks(20_000).map(|part| (part.to_vec(), 200));
    let long: Vec<_> = [(head.into_bytes(), 500)].into_iter().chain(long).collect();
    let clients = [short, long].map(|parts| {
        let mut stream = proxy.connect();
        std::thread::spawn(move || {
            for (part, wait) in parts {
                stream.get_mut().write_all(&part).unwrap();
                std::thread::sleep(Duration::from_millis(wait));
            }
            read_message(&mut stream).expect("an answer").status()
        })
    });
    assert_eq!(clients.map(|client| client.join().unwrap()), [200, 200]);
    assert!(backend.requests.lock().unwrap().iter().any(|seen| seen.body == body));
}

#[test]
fn head_expect_and_pipelining_are_understood() {
    let backend = StubServer::with_connection_handler(|stream| {
        while let Some(message) = read_message(stream) {
            let early = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";
            let body = if message.start_line.starts_with("HEAD") { "" } else { "hello" };
            let text = format!("{early}HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n{body}");
            let _ = stream.get_mut().write_all(text.as_bytes());
        }
    });
    let proxy = ProxyProcess::in_front_of(&[&backend]);
    let mut stream = proxy.connect();
    // HEAD: the length, and nothing behind it.
    let head =
        request("look", 9000).replace("GET ", "HEAD ").replace("Content-Length: 4\r\n\r\nbody", "\r\n");
    stream.get_mut().write_all(head.as_bytes()).unwrap();
    let reply = read_head(&mut stream).expect("an answer");
    assert_eq!((reply.status(), reply.header("content-length")), (200, Some("5")));
    // Several at once, answered in turn.
    let texts: String = ["save", "look", "order"].map(|class| request(class, 9000)).concat();
    stream.get_mut().write_all(texts.as_bytes()).unwrap();
    for _ in 0..3 {
        assert_eq!(read_message(&mut stream).expect("an answer").body, b"hello");
    }
    // A client that waits to be told to go on.
    let expecting = request("save", 9000).replace("X-Lane", "Expect: 100-continue\r\nX-Lane");
    stream.get_mut().write_all(expecting.strip_suffix("body").unwrap().as_bytes()).unwrap();
    assert_eq!(read_head(&mut stream).expect("a word").status(), 100);
    stream.get_mut().write_all(b"body").unwrap();
    assert_eq!(read_message(&mut stream).expect("an answer").body, b"hello");
    // HTTP/1.0, without a word on the connection: it is closed behind the answer.
    stream.get_mut().write_all(request("save", 9000).replace("HTTP/1.1", "HTTP/1.0").as_bytes()).unwrap();
    let mut text = String::new();
    stream.read_to_string(&mut text).unwrap();
    assert!(text.contains(" 200 OK\r\n") && text.ends_with("hello"), "{text}");
}
