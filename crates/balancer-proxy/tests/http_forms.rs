//! Less common forms of HTTP messages: HEAD, pipelining, interim responses and HTTP/1.0. An error in finding
//! the end of such a message would mix up the messages of a connection.

mod common;

use common::configuration::request;
use common::http::{read_head, read_message};
use common::proxy_process::ProxyProcess;
use common::stub_server::StubServer;
use std::io::{Read, Write};

/// Starts a backend that sends an interim response before each final one, and no body in response to HEAD.
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

    // HEAD: the response has a length, but no body.
    let head =
        request("look", 9000).replace("GET ", "HEAD ").replace("Content-Length: 4\r\n\r\nbody", "\r\n");
    stream.get_mut().write_all(head.as_bytes()).unwrap();
    let reply = read_head(&mut stream).expect("no complete head");
    assert_eq!((reply.status(), reply.header("content-length")), (200, Some("5")));

    // Pipelining: the responses come in the order of the requests.
    let pipelined: String = ["save", "look", "order"].map(|class| request(class, 9000)).concat();
    stream.get_mut().write_all(pipelined.as_bytes()).unwrap();
    for _ in 0..3 {
        assert_eq!(read_message(&mut stream).expect("no complete response").body, b"hello");
    }

    // Expect: the client sends its body after an interim response.
    let expecting = request("save", 9000).replace("X-Lane", "Expect: 100-continue\r\nX-Lane");
    stream.get_mut().write_all(expecting.strip_suffix("body").unwrap().as_bytes()).unwrap();
    assert_eq!(read_head(&mut stream).expect("no interim response").status(), 100);
    stream.get_mut().write_all(b"body").unwrap();
    assert_eq!(read_message(&mut stream).expect("no complete response").body, b"hello");

    // HTTP/1.0 without a Connection header: the connection is closed after the response.
    stream.get_mut().write_all(request("save", 9000).replace("HTTP/1.1", "HTTP/1.0").as_bytes()).unwrap();
    let mut text = String::new();
    stream.read_to_string(&mut text).unwrap();
    assert!(text.contains(" 200 OK\r\n") && text.ends_with("hello"), "{text}");
}
