//! Clients that disconnect while their request waits for a connection, a retry or a timer: what has
//! not been written completely to a backend by then never is, whether or not attempts may be
//! cancelled.

mod common;

use balancer_proxy::clock::Clock;
use balancer_proxy::limits::Budget;
use balancer_proxy::metrics::Metrics;
use balancer_proxy::settings::ProxySettings;
use balancer_proxy::upstream::attempt::{AttemptParameters, attempt};
use balancer_proxy::upstream::forwarded_request::{ForwardedBody, ForwardedRequest};
use balancer_proxy::upstream::pool::ConnectionPool;
use balancer_proxy::upstream::shared_flag::SharedFlag;
use common::client_disconnect::{
    Disconnect, proxy_with_cancellation, received_of_class, wait_for_no_open_request,
    wait_until_input_is_handled,
};
use common::configuration::{endpoint_list, listed_endpoint, request, request_with_framing, serving_list};
use common::http::{exchange, read_body, read_head, read_message, response};
use common::late_server::LateServer;
use common::socket_table::{CLOSE_WAIT, ESTABLISHED, sockets_on_port, sockets_to_port};
use common::stub_server::{Reply, StubServer, wait_for_end};
use common::waiting::{TEST_TIMEOUT, wait_for, wait_for_disconnect};
use socket2::{Domain, Socket, Type};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::Mutex;
use std::sync::mpsc::{Sender, channel};
use std::time::{Duration, Instant};

/// Rejects a request as a backend does that sheds load before the request runs.
const REJECTION: &str = "503 Service Unavailable\r\nX-Turned-Away: 1";
/// Time for a connection that served a request to return to its pool.
const SETTLING_TIME: Duration = Duration::from_millis(50);

/// A request waits for a connection to its backend, its client disconnects, and the connection is
/// established.
fn disconnects_while_connecting(cancel: bool, disconnect: Disconnect) {
    let backend = LateServer::with_full_backlog();
    let cached_list = endpoint_list(1, true, &[listed_endpoint("s-0", backend.address, "SERVING")]);
    let proxy = proxy_with_cancellation(cancel, &cached_list);
    let stream = proxy.begin_request(&disconnect.written_text(&request("order", 20_000)));
    wait_for("connection attempt", || backend.has_pending_connection());
    assert_eq!(proxy.stats()["outstanding"], 1);

    let readable_stream = disconnect.disconnect(stream);
    let start = Instant::now();
    wait_for_no_open_request(&proxy);
    assert!(start.elapsed() < Duration::from_secs(10), "{disconnect:?}: only at its deadline");
    let received = backend.accept_all();

    assert!(received.is_empty(), "{disconnect:?}, cancel {cancel}: {received:?}");
    // A client that can still read gets the end of its connection.
    if let Some(mut stream) = readable_stream {
        let end = stream.read(&mut [0]);
        assert!(matches!(&end, Ok(0)) || end.is_err_and(|e| e.kind() == ErrorKind::ConnectionReset));
    }
    assert_eq!(proxy.stats()["forwards"], 0, "{disconnect:?}, cancel {cancel}");
}

#[test]
fn sends_nothing_over_a_connection_established_after_the_client_disconnected() {
    for cancel in [true, false] {
        for disconnect in Disconnect::WITHOUT_PIPELINING {
            disconnects_while_connecting(cancel, disconnect);
        }
    }
}

#[test]
fn notices_a_disconnect_behind_a_pipelined_request() {
    for cancel in [true, false] {
        for disconnect in [Disconnect::CloseAfterPipelining, Disconnect::ResetAfterPipelining] {
            disconnects_while_connecting(cancel, disconnect);
        }
    }
}

#[test]
fn notices_a_disconnect_behind_a_body_that_the_backend_does_not_read() {
    for cancel in [true, false] {
        // The whole body is on its way: more than the buffers up to the backend hold, which reads none.
        let (release, released) = channel();
        let (report_completeness, completeness) = channel();
        let (released, report_completeness) = (Mutex::new(released), Mutex::new(report_completeness));
        let backend = StubServer::with_connection_handler(move |stream| {
            let head = read_head(stream).expect("a head");
            released.lock().unwrap().recv_timeout(TEST_TIMEOUT).unwrap();
            report_completeness.lock().unwrap().send(read_body(stream, &head).is_some()).unwrap();
        });
        let proxy = proxy_with_cancellation(cancel, &serving_list(&[&backend]));
        let length = 5 << 20;
        let head = request_with_framing("order", &format!("Content-Length: {length}\r\n\r\n"));
        let mut stream = proxy.begin_request(&head);
        let port = stream.get_ref().local_addr().unwrap().port();
        stream.get_mut().write_all(&vec![b'x'; length]).unwrap();
        wait_for("attempt", || backend.connection_count() == 1);

        drop(stream);
        wait_for("end of the client", || sockets_on_port(port, ESTABLISHED) == 0);
        // The end has reached the proxy's system, as far as its buffers hold what comes before it.
        // The proxy closes its side, or has had ample time to do so.
        let start = Instant::now();
        while sockets_to_port(port, CLOSE_WAIT) > 0 && start.elapsed() < Duration::from_secs(3) {
            std::thread::sleep(Duration::from_millis(5));
        }
        release.send(()).unwrap();

        assert!(!completeness.recv_timeout(TEST_TIMEOUT).unwrap(), "cancel {cancel}");
        assert_eq!(proxy.stats()["forwards"], 0, "cancel {cancel}");
    }
}

#[test]
fn does_not_retry_a_rejected_attempt_after_the_client_disconnected() {
    for cancel in [true, false] {
        for disconnect in [Disconnect::Close, Disconnect::Reset, Disconnect::HalfClose] {
            let rejection = || response(REJECTION, "");
            let backends = [0, 1].map(|_| StubServer::new(move |_, _| Reply::Respond(rejection())));
            let proxy = proxy_with_cancellation(cancel, &serving_list(&[&backends[0], &backends[1]]));
            // Its next timer is due 0.4 s after its arrival.
            let stream = proxy.begin_request(&request("order", 1000));
            let attempts = || backends[0].request_count() + backends[1].request_count();
            wait_for("attempt", || attempts() == 1);

            let readable_stream = disconnect.disconnect(stream);
            wait_for_no_open_request(&proxy);
            std::thread::sleep(Duration::from_millis(800));

            assert_eq!(attempts(), 1, "{disconnect:?}, cancel {cancel}");
            drop(readable_stream);
        }
    }
}

/// What the client has sent before the rest of its request arrives together with its disconnect.
#[derive(Clone, Copy, Debug)]
enum SentBefore {
    /// An earlier request, which left a connection to the backend ready for use.
    EarlierRequest,
    /// The same, and all but the end of the request's body.
    PartOfTheBody,
    /// Nothing: its connection waits in the listener's backlog.
    Nothing,
}

fn request_arrives_with_the_disconnect(cancel: bool, disconnect: Disconnect, sent_before: SentBefore) {
    let backend = StubServer::responding_with("hello");
    let proxy = proxy_with_cancellation(cancel, &serving_list(&[&backend]));
    let mut text = request("order", 9000);
    let mut stream = None;
    if !matches!(sent_before, SentBefore::Nothing) {
        let connected = stream.insert(proxy.connect());
        assert_eq!(exchange(connected, &request("save", 9000)).status(), 200);
        std::thread::sleep(SETTLING_TIME);
    }
    if matches!(sent_before, SentBefore::PartOfTheBody) {
        let rest = text.split_off(text.len() - 2);
        stream.as_mut().unwrap().get_mut().write_all(text.as_bytes()).unwrap();
        text = rest;
    }
    let text = disconnect.written_text(&text);

    let readable_stream = proxy.while_stopped(|| {
        let mut stream = stream.unwrap_or_else(|| proxy.connect());
        stream.get_mut().write_all(text.as_bytes()).unwrap();
        disconnect.disconnect(stream)
    });
    wait_until_input_is_handled(&proxy);

    assert_eq!(
        received_of_class(&backend, "order"),
        0,
        "{disconnect:?}, cancel {cancel}, sent before: {sent_before:?}"
    );
    drop(readable_stream);
}

#[test]
fn does_not_forward_a_request_that_arrives_together_with_the_disconnect() {
    for cancel in [true, false] {
        for disconnect in Disconnect::ALL {
            for sent_before in [SentBefore::EarlierRequest, SentBefore::PartOfTheBody, SentBefore::Nothing] {
                request_arrives_with_the_disconnect(cancel, disconnect, sent_before);
            }
        }
    }
}

/// The retry timer of a request falls due while the process is stopped, and so does the disconnect.
/// The first attempt hangs, so that a hedged request would be due, or was rejected.
fn timer_falls_due_with_the_disconnect(cancel: bool, disconnect: Disconnect, hangs: bool) {
    let rejection = || response(REJECTION, "");
    let backends = [0, 1].map(|_| {
        StubServer::new(move |_, message| match message.header("x-lane") {
            Some("look") if hangs => Reply::Hang,
            Some("look") => Reply::Respond(rejection()),
            _ => Reply::Respond(response("200 OK", "hello")),
        })
    });
    let proxy = proxy_with_cancellation(cancel, &serving_list(&[&backends[0], &backends[1]]));
    // Its next timer is due 0.8 s after its arrival, plus or minus a tenth.
    let stream = proxy.begin_request(&request("look", 2000));
    let attempts = || received_of_class(&backends[0], "look") + received_of_class(&backends[1], "look");
    wait_for("attempt", || attempts() == 1);

    let readable_stream = proxy.while_stopped(|| {
        std::thread::sleep(Duration::from_millis(1000));
        disconnect.disconnect(stream)
    });
    wait_until_input_is_handled(&proxy);

    assert_eq!(attempts(), 1, "{disconnect:?}, cancel {cancel}, hangs {hangs}");
    drop(readable_stream);
}

#[test]
fn sends_nothing_at_a_timer_that_falls_due_together_with_the_disconnect() {
    let test_with_cancellation = |cancel| {
        for disconnect in Disconnect::WITHOUT_PIPELINING {
            for hangs in [true, false] {
                timer_falls_due_with_the_disconnect(cancel, disconnect, hangs);
            }
        }
    };

    std::thread::scope(|scope| {
        scope.spawn(|| test_with_cancellation(true));
        test_with_cancellation(false);
    });
}

#[test]
fn does_not_hedge_a_request_whose_client_disconnected() {
    for cancel in [true, false] {
        let backends = [0, 1].map(|_| StubServer::new(|_, _| Reply::Hang));
        let proxy = proxy_with_cancellation(cancel, &serving_list(&[&backends[0], &backends[1]]));
        let stream = proxy.begin_request(&request("look", 2000));
        let attempts = || backends[0].request_count() + backends[1].request_count();
        wait_for("attempt", || attempts() == 1);

        Disconnect::Close.disconnect(stream);
        wait_for_no_open_request(&proxy);
        std::thread::sleep(Duration::from_millis(1400));

        assert_eq!(attempts(), 1, "cancel {cancel}");
    }
}

#[test]
fn does_not_retry_after_a_failed_connection_once_the_client_disconnected() {
    for cancel in [true, false] {
        // Bound, but not yet listening.
        let sockets = [0, 1].map(|_| {
            let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
            socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
            socket
        });
        let endpoints = [0, 1].map(|index| {
            let address = sockets[index].local_addr().unwrap().as_socket().unwrap();
            listed_endpoint(&format!("s-{index}"), address, "SERVING")
        });
        let proxy = proxy_with_cancellation(cancel, &endpoint_list(1, true, &endpoints));
        let stream = proxy.begin_request(&request("order", 1000));
        // A connection over loopback fails before the next management call gets its response.
        wait_for("attempt", || proxy.stats()["outstanding"] == 1);
        assert_eq!(proxy.stats()["outstanding"], 1);

        Disconnect::Close.disconnect(stream);
        wait_for_no_open_request(&proxy);
        let listeners = sockets.map(|socket| {
            socket.listen(8).unwrap();
            let listener = TcpListener::from(socket);
            listener.set_nonblocking(true).unwrap();
            listener
        });
        std::thread::sleep(Duration::from_millis(800));

        for listener in listeners {
            assert_eq!(listener.accept().unwrap_err().kind(), ErrorKind::WouldBlock, "cancel {cancel}");
        }
    }
}

/// A pooled connection ends under a request whose body is still coming. The attempt opens a new
/// connection, which is not yet established as the client disconnects.
fn disconnects_while_the_attempt_reconnects(cancel: bool, disconnect: Disconnect) {
    let mut backend = LateServer::with_empty_backlog();
    let cached_list = endpoint_list(1, true, &[listed_endpoint("s-0", backend.address, "SERVING")]);
    let proxy = proxy_with_cancellation(cancel, &cached_list);
    let mut first_client = proxy.begin_request(&request("look", 9000));
    let mut pooled_connection = backend.accept();
    read_message(&mut pooled_connection).expect("a request");
    pooled_connection.get_mut().write_all(response("200 OK", "hello").as_bytes()).unwrap();
    assert_eq!(read_message(&mut first_client).expect("a response").status(), 200);
    std::thread::sleep(SETTLING_TIME);
    backend.fill_backlog();
    // The next request begins on the pooled connection; what is lost with it is still buffered.
    let head = request_with_framing("order", "Content-Length: 200000\r\n\r\n");
    let mut stream = proxy.begin_request(&head);
    let port = stream.get_ref().local_addr().unwrap().port();
    stream.get_mut().write_all(&[b'x'; (64 << 10) + 1]).unwrap();
    read_head(&mut pooled_connection).expect("a head");
    drop(pooled_connection);
    wait_for("second connection attempt", || backend.has_pending_connection());

    let readable_stream = disconnect.disconnect(stream);
    wait_for("close by the proxy", || sockets_to_port(port, CLOSE_WAIT) == 0);
    let received = backend.accept_all();

    assert!(received.is_empty(), "{disconnect:?}, cancel {cancel}: {received:?}");
    assert_eq!(proxy.stats()["forwards"], 1, "{disconnect:?}, cancel {cancel}");
    drop(readable_stream);
}

#[test]
fn writes_nothing_over_the_second_connection_of_an_attempt_after_the_disconnect() {
    for cancel in [true, false] {
        for disconnect in Disconnect::WITHOUT_PIPELINING {
            disconnects_while_the_attempt_reconnects(cancel, disconnect);
        }
    }
}

/// A backend that never completes its responses of class `look`, and reports when the proxy closes
/// such a connection.
fn incomplete_backend(report_close: Sender<()>) -> StubServer {
    let report_close = Mutex::new(report_close);
    StubServer::with_connection_handler(move |stream| {
        while let Some(message) = read_message(stream) {
            if message.header("x-lane") == Some("save") {
                let _ = stream.get_mut().write_all(response("200 OK", "hello").as_bytes());
                continue;
            }
            let head = "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n";
            let _ = stream.get_mut().write_all(head.as_bytes());
            let _ = stream.get_mut().write_all(&[b'x'; 100_000]);
            wait_for_end(stream);
            let _ = report_close.lock().unwrap().send(());
        }
    })
}

#[test]
fn abandons_a_streamed_response_and_does_not_retry_after_the_client_disconnected() {
    for cancel in [true, false] {
        for disconnect in Disconnect::WITHOUT_PIPELINING {
            let (report_close, closed) = channel();
            let backends = [report_close.clone(), report_close].map(incomplete_backend);
            let proxy = proxy_with_cancellation(cancel, &serving_list(&[&backends[0], &backends[1]]));
            let mut stream = proxy.begin_request(&request("look", 1000));
            assert_eq!(read_head(&mut stream).expect("a head").status(), 200);
            let forwards_before = proxy.stats()["forwards"].clone();

            let readable_stream = disconnect.disconnect(stream);
            wait_for_disconnect(&closed);
            std::thread::sleep(Duration::from_millis(800));

            assert_eq!(proxy.stats()["forwards"], forwards_before, "{disconnect:?}, cancel {cancel}");
            drop(readable_stream);
        }
    }
}

/// Everything that has arrived over a connection.
fn read_available(stream: &mut TcpStream) -> String {
    let mut buffer = [0; 4096];
    stream.set_nonblocking(true).unwrap();
    let length = stream.read(&mut buffer).unwrap_or(0);
    String::from_utf8_lossy(&buffer[..length]).into_owned()
}

#[test]
fn does_not_send_the_withheld_last_byte_right_after_a_standstill_of_the_process() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let payload = ForwardedRequest {
            method: "POST".parse().unwrap(),
            uri: "/api".parse().unwrap(),
            headers: [("host".parse().unwrap(), "app.svc".parse().unwrap())].into_iter().collect(),
            body: ForwardedBody::Buffered("body".into()),
        };
        let written = SharedFlag::default();
        let metrics = Metrics::new(&ProxySettings::default());
        let pool = Rc::new(ConnectionPool::new(address, Budget::new(4), TEST_TIMEOUT, TEST_TIMEOUT));
        let attempted = attempt(AttemptParameters {
            pool,
            request: payload.into(),
            clock: Clock::start(),
            response_deadline: 20.0,
            write_deadline: 20.0,
            written: written.clone(),
            metrics: metrics.clone(),
        });
        let mut attempted = std::pin::pin!(attempted);
        // The attempt proceeds only where the test polls it.
        let mut poll_attempt = async || {
            std::future::poll_fn(|cx| std::task::Poll::Ready(attempted.as_mut().poll(cx).is_ready())).await
        };
        let let_runtime_run = || tokio::time::sleep(Duration::from_millis(5));
        assert!(!poll_attempt().await);
        let (mut stream, _) = listener.accept().unwrap();
        let mut received = String::new();
        while !received.ends_with("bod") {
            let_runtime_run().await;
            assert!(!poll_attempt().await);
            received += &read_available(&mut stream);
        }
        // The time for which the byte is withheld passes, which the process notices long after.
        let_runtime_run().await;
        std::thread::sleep(Duration::from_millis(200));
        assert!(!poll_attempt().await);
        assert_eq!(read_available(&mut stream), "", "the client may have disconnected meanwhile");
        assert!(!written.get());
        // If it has not, the request is sent, however slow the process may be.
        let_runtime_run().await;
        std::thread::sleep(Duration::from_millis(200));
        assert!(!poll_attempt().await);
        assert_eq!(read_available(&mut stream), "y");
        assert!(written.get());
    });
}
