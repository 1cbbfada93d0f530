//! Clients that send malformed requests, incomplete requests or none. The proxy soon responds with an error
//! or closes the connection, forwards nothing to a backend and still serves other clients.

mod common;

use common::configuration::request;
use common::http::{exchange, read_message};
use common::proxy_process::ProxyProcess;
use common::stub_server::StubServer;
use common::waiting::wait_for;
use std::io::{BufReader, Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// Waits for an error response or the end of the connection. Returns the status of the response, if any.
fn wait_for_error(stream: &mut BufReader<TcpStream>) -> Option<u16> {
    let status = read_message(stream).map(|reply| reply.status());
    assert!(status.is_none_or(|status| status >= 400), "{status:?}");
    status
}

/// Starts a proxy whose limit of 64 sockets leaves capacity for about 20 client connections.
fn proxy_with_64_sockets(backend: &StubServer) -> ProxyProcess {
    ProxyProcess::with_socket_limit(&[backend], 64)
}

/// Sends a request on a new connection, and repeats that while the proxy closes the connection or rejects the
/// request for lack of capacity. Returns the connection on which the request is served.
fn connect_until_served(proxy: &ProxyProcess) -> BufReader<TcpStream> {
    let mut stream = proxy.connect();
    wait_for("a response", || {
        let written = stream.get_mut().write_all(request("look", 9000).as_bytes());
        let is_served = written.is_ok() && read_message(&mut stream).is_some_and(|m| m.status() == 200);
        if !is_served {
            stream = proxy.connect();
            std::thread::sleep(Duration::from_millis(50));
        }
        is_served
    });
    stream
}

#[test]
fn closes_connections_without_a_request_to_serve_other_clients() {
    let backend = StubServer::responding_with("hello");
    let proxy = proxy_with_64_sockets(&backend);
    // The idle connections alone exceed the descriptors of the proxy, and so do those without a request.
    let idle: Vec<_> = (0..70).map(|_| connect_until_served(&proxy)).collect();
    let without_request: Vec<_> = (0..70).map(|_| proxy.connect()).collect();

    connect_until_served(&proxy);

    drop((idle, without_request));
}

#[test]
fn does_not_close_a_connection_with_an_open_request_at_the_connection_limit() {
    let (backend, release) = StubServer::holding_first_response("hello");
    let proxy = proxy_with_64_sockets(&backend);
    let mut busy = proxy.begin_request(&request("order", 20_000));
    wait_for("an attempt", || backend.request_count() == 1);

    let without_request: Vec<_> = (0..60).map(|_| proxy.connect()).collect();

    // All connections without a request are closed in time; the connection with a request is not.
    for mut stream in without_request {
        assert_eq!(wait_for_error(&mut stream), None);
    }
    release.send(()).unwrap();
    assert_eq!(read_message(&mut busy).expect("no complete response").status(), 200);
}

/// Guards against a connection that stays open for 75 s: the beginning of the second head was read together
/// with the first request, and the connection counted as idle once the first response was finished.
#[test]
fn ends_a_head_that_arrives_with_the_request_before_and_stays_incomplete_within_three_seconds() {
    let backend = StubServer::responding_with("hello");
    let proxy = ProxyProcess::in_front_of(&[&backend]);
    let mut stream = proxy.connect();
    let next = request("order", 9000);

    let text = request("order", 9000) + &next[..next.len() / 2];
    assert_eq!(exchange(&mut stream, &text).status(), 200);

    let started = Instant::now();
    wait_for_error(&mut stream);
    // The timeout is 3 s. A busy machine is given more, still far less than without a timeout.
    assert!(started.elapsed() < Duration::from_secs(15), "{:?}", started.elapsed());
    assert_eq!(backend.request_count(), 1);
}

#[test]
fn ends_a_request_that_stays_incomplete_within_three_seconds() {
    let backend = StubServer::responding_with("hello");
    let proxy = ProxyProcess::in_front_of(&[&backend]);
    let complete = request("look", 9000);
    let start = Instant::now();
    let parts = ["", "GET /api HT", complete.strip_suffix("dy").unwrap()];
    let mut streams = parts.map(|part| proxy.begin_request(part));
    // The timeout also applies to a request that follows a served one on the same connection.
    let mut after_another = proxy.connect();
    assert_eq!(exchange(&mut after_another, &request("look", 9000)).status(), 200);
    after_another.get_mut().write_all(b"GET /api HT").unwrap();

    let statuses = streams.each_mut().map(wait_for_error);

    assert_eq!(statuses, [None, None, Some(408)]);
    wait_for_error(&mut after_another);
    // The timeout is 3 s. A busy machine is given more, still far less than without a timeout.
    assert!(start.elapsed() < Duration::from_secs(15), "{:?}", start.elapsed());
    assert_eq!(backend.request_count(), 1);
}

#[test]
fn keeps_an_idle_connection_open() {
    let backend = StubServer::responding_with("hello");
    let proxy = ProxyProcess::in_front_of(&[&backend]);
    let mut stream = proxy.connect();
    assert_eq!(exchange(&mut stream, &request("look", 9000)).status(), 200);

    std::thread::sleep(Duration::from_millis(3500));

    assert_eq!(exchange(&mut stream, &request("look", 9000)).status(), 200);
}

#[test]
fn does_not_forward_a_request_with_ambiguous_framing() {
    let backend = StubServer::responding_with("hello");
    let proxy = ProxyProcess::in_front_of(&[&backend]);
    let valid = request("save", 9000);
    let smuggled = format!("0\r\n\r\n{}", request("save", 9000));
    for framing in [
        format!("Content-Length: {}\r\nTransfer-Encoding: chunked\r\n\r\n{smuggled}", smuggled.len()),
        format!("Transfer-Encoding: chunked\r\nContent-Length: {}\r\n\r\n{smuggled}", smuggled.len()),
        "Transfer-Encoding: gzip\r\n\r\n4\r\nbody\r\n0\r\n\r\n".to_string(),
        "Transfer-Encoding: chunked, gzip\r\n\r\n4\r\nbody\r\n0\r\n\r\n".to_string(),
        "Content-Length: 4\r\nContent-Length: 5\r\n\r\nbody".to_string(),
        "Content-Length: -4\r\n\r\nbody".to_string(),
        "Content-Length: +4\r\n\r\nbody".to_string(),
        "Content-Length: 99999999999999999999999\r\n\r\nbody".to_string(),
    ] {
        let mut stream = proxy.connect();
        let text = valid.replace("Content-Length: 4\r\n\r\nbody", &framing);
        stream.get_mut().write_all(text.as_bytes()).unwrap();

        wait_for_error(&mut stream);

        // The bytes after the malformed request do not reach a backend either.
        assert!(read_message(&mut stream).is_none(), "{framing}");
    }
    assert_eq!(backend.request_count(), 0);
}

#[test]
fn rejects_a_body_announced_as_too_large_without_reading_it() {
    let backend = StubServer::responding_with("hello");
    let proxy = ProxyProcess::in_front_of(&[&backend]);
    let text =
        request("save", 9000).replace("Content-Length: 4\r\n\r\nbody", "Content-Length: 62914560\r\n\r\n");
    let mut stream = proxy.begin_request(&text);

    // The proxy responds although no byte of the body has been sent, and then closes the connection.
    let reply = read_message(&mut stream).expect("no complete response");

    assert_eq!((reply.status(), reply.header("connection")), (413, Some("close")));
    assert_eq!(stream.read(&mut [0]).unwrap_or(0), 0);
    assert_eq!(backend.request_count(), 0);
}

#[test]
fn responds_with_a_4xx_to_a_malformed_request_and_serves_the_next() {
    let backend = StubServer::responding_with("hello");
    let proxy = ProxyProcess::in_front_of(&[&backend]);
    let valid = request("look", 9000);

    for (from, to) in [
        ("X-Lane: look", "X-Lane: unheard-of"),
        ("X-Org: acme", "X-Org: unheard-of"),
        ("X-Remaining-Ms: 9000", "X-Remaining-Ms: soon"),
        ("X-Txn: 0", "X-Txn: "),
        ("GET /api?q=1 HTTP/1.1", "nonsense"),
    ] {
        assert_eq!(proxy.exchange(&valid.replace(from, to)).status(), 400, "{to}");
    }
    let too_large = valid.replace("Content-Length: 4\r\n\r\nbody", "Content-Length: 62914560\r\n\r\n");
    assert_eq!(proxy.exchange(&too_large).status(), 413);

    assert_eq!(backend.request_count(), 0);
    assert_eq!(proxy.exchange(&valid).status(), 200);
}

#[test]
fn responds_with_400_to_an_invalid_request_and_closes_its_connection() {
    let backend = StubServer::responding_with("hello");
    let proxy = ProxyProcess::in_front_of(&[&backend]);
    let (look, save, order) = (request("look", 9000), request("save", 9000), request("order", 9000));
    let id_line = look.lines().find(|line| line.starts_with("X-Txn")).unwrap();
    for text in [
        look.replace("GET ", "POST "),
        save.replace("POST ", "GET "),
        order.replace("POST ", "PUT "),
        order.replace("X-Org", "Idempotency-Key: 5c0f6e1a\r\nX-Org"),
        save.replace("Idempotency-Key: 5c0f6e1a\r\n", ""),
        look.replace("X-Txn: 0", "X-Txn: +"),
        look.replace(id_line, &format!("{id_line}\r\n{id_line}")),
        look.replace(&format!("{id_line}\r\n"), ""),
        look.replace("X-Lane: look", "X-Lane: look\r\nX-Lane: save"),
        look.replace("X-Remaining-Ms: 9000", "X-Remaining-Ms: -1"),
        look.replace("X-Remaining-Ms: 9000", "X-Remaining-Ms: +9000"),
        look.replace("X-Remaining-Ms: 9000", "X-Remaining-Ms: 99999999999999"),
        look.replace("GET /api", "GET http://elsewhere/api"),
        look.replace("GET /api?q=1", "CONNECT elsewhere:80"),
    ] {
        let mut stream = proxy.connect();

        let reply = exchange(&mut stream, &text);

        assert_eq!((reply.status(), reply.header("connection")), (400, Some("close")), "{text}");
        assert!(read_message(&mut stream).is_none(), "{text}");
    }
    assert_eq!(backend.request_count(), 0);
}

#[test]
fn shortens_a_client_timeout_longer_than_any_class_allows() {
    let backend = StubServer::responding_with("hello");
    let proxy = ProxyProcess::in_front_of(&[&backend]);
    let text = request("look", 9000).replace("9000", "4294967295");

    assert_eq!(proxy.exchange(&text).status(), 200);

    let forwarded = backend.requests.lock().unwrap()[0].clone();
    assert!(forwarded.header("x-remaining-ms").unwrap().parse::<u64>().unwrap() <= 30_000);
}

#[test]
fn rejects_an_endless_request_head() {
    let backend = StubServer::responding_with("hello");
    let proxy = ProxyProcess::in_front_of(&[&backend]);
    let mut stream = proxy.connect();
    let _ = stream.get_mut().write_all(b"GET /api HTTP/1.1\r\n");
    for number in 0..2000 {
        let header = format!("X-{number}: {}\r\n", "y".repeat(64));
        // The proxy may have closed the connection meanwhile.
        if stream.get_mut().write_all(header.as_bytes()).is_err() {
            break;
        }
    }

    wait_for_error(&mut stream);

    assert_eq!(backend.request_count(), 0);
}
