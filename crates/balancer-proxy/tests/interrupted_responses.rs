//! Long responses that break off just after their beginning.
//!
//! Guards against a response of which the client gets no byte. The proxy read the beginning and the end of
//! the backend's connection at once. The HTTP library ends a connection as soon as the body of its response
//! fails, and discards what it has not written. The client took the close for one between requests, and sent
//! its request again, which ran twice.

mod common;

use common::configuration::request;
use common::http::{read_body, read_head, read_message};
use common::proxy_process::ProxyProcess;
use common::socket_table::{ConnectionPorts, TCP_CLOSE_WAIT, sockets_between};
use common::stub_server::StubServer;
use common::waiting::{TEST_TIMEOUT, wait_for};
use std::io::Write;
use std::net::Shutdown;
use std::sync::Mutex;
use std::sync::mpsc::{Receiver, Sender, channel};

/// Length of a response that the proxy streams, in bytes.
const RESPONSE_BYTES: usize = 1 << 20;
/// Number of bytes of the body that the backend writes, which fit into one read of the proxy together with
/// the head.
const WRITTEN_BYTES: usize = 4_000;

/// A backend that breaks off its response to each request.
struct InterruptingBackend {
    server: StubServer,
    /// Reports the connection of each complete request, from the proxy's side.
    requests: Receiver<ConnectionPorts>,
    /// Lets the backend respond to the request that it has reported.
    respond: Sender<()>,
}

/// Starts a backend that writes the beginning of a response, and closes the connection.
fn start_interrupting_backend() -> InterruptingBackend {
    let (report_request, requests) = channel();
    let (respond, may_respond) = channel();
    let report_request = Mutex::new(report_request);
    let may_respond = Mutex::new(may_respond);
    let server = StubServer::with_connection_handler(move |stream| {
        if read_message(stream).is_none() {
            return;
        }
        let proxy_side = ConnectionPorts {
            local: stream.get_ref().peer_addr().unwrap().port(),
            remote: stream.get_ref().local_addr().unwrap().port(),
        };
        report_request.lock().unwrap().send(proxy_side).unwrap();
        if may_respond.lock().unwrap().recv_timeout(TEST_TIMEOUT).is_err() {
            return;
        }
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {RESPONSE_BYTES}\r\n\r\n");
        let beginning = [head.as_bytes(), &[b'x'; WRITTEN_BYTES]].concat();
        stream.get_mut().write_all(&beginning).unwrap();
        stream.get_mut().shutdown(Shutdown::Write).unwrap();
    });
    InterruptingBackend { server, requests, respond }
}

/// The test stops the proxy until the beginning and the end of the response have arrived there, so that the
/// proxy reads both at once.
#[test]
fn a_client_gets_the_beginning_of_a_response_that_breaks_off_before_any_of_it_is_written() {
    let backend = start_interrupting_backend();
    let proxy = ProxyProcess::with_management_address(&[&backend.server]);
    for broken_off in 1..=5 {
        let mut client = proxy.begin_request(&request("order", 9000));
        let proxy_side = backend.requests.recv_timeout(TEST_TIMEOUT).expect("no request at the backend");

        proxy.while_stopped(|| {
            backend.respond.send(()).unwrap();
            wait_for("the end of the response", || sockets_between(proxy_side, TCP_CLOSE_WAIT) == 1);
        });

        let head = read_head(&mut client).expect("the client got no response");
        assert_eq!(head.status(), 200);
        assert!(read_body(&mut client, &head).is_none(), "the response counts as complete");
        wait_for("the response in the metrics", || {
            proxy.stats()["results"]["order"]["aborted"] == broken_off && proxy.stats()["outstanding"] == 0
        });
    }
}
