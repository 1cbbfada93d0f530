//! Clients that disconnect while their request is queued: behind another request with the same connection,
//! ordering key or id, or until the proxy has capacity. The proxy must never forward such a request.

mod common;

use common::client_disconnect::{
    Disconnect, proxy_with_cancellation, request_count_of_class, wait_for_no_open_request,
    wait_until_input_is_handled,
};
use common::configuration::{
    READINESS_REQUEST, configuration_with_management, default_settings, endpoint_list, listed_endpoint,
    request, serving_list,
};
use common::http::{HttpMessage, read_message, response};
use common::late_server::LateServer;
use common::proxy_process::{ProxyProcess, exit_code};
use common::socket_table::{TCP_CLOSE_WAIT, sockets_to_port};
use common::stub_server::{StubServer, silent_discovery};
use common::waiting::{TEST_TIMEOUT, wait_for};
use serde_json::json;
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// A proxy that dispatches requests of class `look` with the same ordering key one after another. One request
/// of that class is in flight.
struct OccupiedOrderingKey {
    proxy: ProxyProcess,
    /// The backend, which holds the response to the first request until the response is released.
    backend: StubServer,
    /// The connection whose client waits for the first response.
    first_client: BufReader<TcpStream>,
    first_response: HeldResponse,
}

/// A response that the backend holds until the test releases it.
struct HeldResponse {
    release: Sender<()>,
    written: Receiver<()>,
}

impl HeldResponse {
    /// Lets the backend respond, and returns once the response has been written.
    fn write(self) {
        self.release.send(()).unwrap();
        self.written.recv_timeout(TEST_TIMEOUT).unwrap();
    }

    /// Calls `disconnect` and writes the response, the response first if `response_first` is set. Returns the
    /// result of `disconnect`.
    fn write_around_disconnect<T>(self, response_first: bool, disconnect: impl FnOnce() -> T) -> T {
        if response_first {
            self.write();
            return disconnect();
        }
        let result = disconnect();
        self.write();
        result
    }
}

/// Starts a backend that holds the first response that it writes to any of its connections.
fn backend_with_held_response() -> (StubServer, HeldResponse) {
    let (release, released) = channel::<()>();
    let (report_write, written) = channel();
    let (released, report_write) = (Mutex::new(released), Mutex::new(report_write));
    let requests: Arc<Mutex<Vec<HttpMessage>>> = Arc::default();
    let received = requests.clone();
    let mut backend = StubServer::with_connection_handler(move |stream| {
        while let Some(message) = read_message(stream) {
            let is_first = {
                let mut received = received.lock().unwrap();
                received.push(message);
                received.len() == 1
            };
            if is_first {
                let _ = released.lock().unwrap().recv_timeout(TEST_TIMEOUT);
            }
            let _ = stream.get_mut().write_all(response("200 OK", "hello").as_bytes());
            if is_first {
                let _ = report_write.lock().unwrap().send(());
            }
        }
    });
    backend.requests = requests;
    (backend, HeldResponse { release, written })
}

impl OccupiedOrderingKey {
    fn new(cancel: bool, socket_limit: u64) -> Self {
        let (backend, first_response) = backend_with_held_response();
        let mut settings = default_settings();
        settings["caps"]["cancel"] = json!(cancel);
        settings["classes"][0]["fifo-by-key"] = json!(true);
        let mut configuration = configuration_with_management(&settings, &serving_list(&[&backend]));
        configuration["limits"]["sockets"] = json!(socket_limit);
        let proxy = ProxyProcess::with_configuration(&configuration, silent_discovery().address);
        let first_client = proxy.begin_request(&request("look", 20_000));
        wait_for("an attempt", || backend.request_count() == 1);
        Self { proxy, backend, first_client, first_response }
    }
}

/// The socket limit in tests whose connections must not reach the limit.
const AMPLE_SOCKET_LIMIT: u64 = 1024;

#[test]
fn does_not_forward_a_request_pipelined_behind_a_readiness_request_after_a_disconnect() {
    for disconnect in Disconnect::ALL {
        let backend = StubServer::responding_with("hello");
        let proxy = proxy_with_cancellation(true, &serving_list(&[&backend]));

        let readable_stream = proxy.while_stopped(|| {
            let both = READINESS_REQUEST.to_string() + &disconnect.written_text(&request("order", 9000));
            disconnect.disconnect(proxy.begin_request(&both))
        });
        wait_until_input_is_handled(&proxy);

        assert_eq!(request_count_of_class(&backend, "order"), 0, "{disconnect:?}");
        drop(readable_stream);
    }
}

#[test]
fn does_not_forward_a_pipelined_request_whose_client_disconnected() {
    for cancel in [true, false] {
        for disconnect in Disconnect::ALL {
            for response_first in [true, false] {
                let OccupiedOrderingKey { proxy, backend, mut first_client, first_response } =
                    OccupiedOrderingKey::new(cancel, AMPLE_SOCKET_LIMIT);

                let readable_stream = proxy.while_stopped(|| {
                    let text = disconnect.written_text(&request("order", 20_000));
                    first_client.get_mut().write_all(text.as_bytes()).unwrap();
                    first_response
                        .write_around_disconnect(response_first, || disconnect.disconnect(first_client))
                });
                wait_until_input_is_handled(&proxy);

                assert_eq!(
                    request_count_of_class(&backend, "order"),
                    0,
                    "{disconnect:?}, cancel {cancel}, response first: {response_first}"
                );
                drop(readable_stream);
            }
        }
    }
}

fn check_disconnect_while_the_ordering_key_is_occupied(
    cancel: bool,
    disconnect: Disconnect,
    response_first: bool,
) {
    let OccupiedOrderingKey { proxy, backend, mut first_client, first_response } =
        OccupiedOrderingKey::new(cancel, AMPLE_SOCKET_LIMIT);
    let second_client = proxy.begin_request(&disconnect.written_text(&request("look", 20_000)));
    wait_for("the second request", || proxy.stats()["outstanding"] == 2);

    let readable_stream = proxy.while_stopped(|| {
        first_response.write_around_disconnect(response_first, || disconnect.disconnect(second_client))
    });

    assert_eq!(read_message(&mut first_client).expect("no complete response").status(), 200);
    wait_until_input_is_handled(&proxy);
    let case = format!("{disconnect:?}, cancel {cancel}, response first: {response_first}");
    assert_eq!(request_count_of_class(&backend, "look"), 1, "{case}");
    assert_eq!(request_count_of_class(&backend, "order"), 0, "{case}");
    // The ordering key is available to the next request.
    assert_eq!(proxy.exchange(&request("look", 9000)).status(), 200);
    drop(readable_stream);
}

#[test]
fn does_not_forward_a_request_queued_for_its_ordering_key_whose_client_disconnected() {
    for cancel in [true, false] {
        for disconnect in Disconnect::ALL {
            for response_first in [true, false] {
                check_disconnect_while_the_ordering_key_is_occupied(cancel, disconnect, response_first);
            }
        }
    }
}

#[test]
fn does_not_forward_a_request_queued_for_its_id_whose_client_disconnected() {
    for disconnect in Disconnect::ALL {
        for response_first in [true, false] {
            let OccupiedOrderingKey { proxy, backend, mut first_client, first_response } =
                OccupiedOrderingKey::new(true, AMPLE_SOCKET_LIMIT);
            let id_in_use = backend.requests.lock().unwrap()[0].header("x-txn").unwrap().to_string();
            let text = request("order", 20_000);
            let own_id = text.split_once("X-Txn: ").unwrap().1.split_once('\r').unwrap().0;
            let text = disconnect.written_text(&text.replace(own_id, &id_in_use));
            let second_client = proxy.begin_request(&text);
            wait_for("the second request", || {
                let stats = proxy.stats();
                stats["outstanding"] == 2 || stats["results"]["order"]["aborted"] == 1
            });

            let readable_stream = proxy.while_stopped(|| {
                first_response
                    .write_around_disconnect(response_first, || disconnect.disconnect(second_client))
            });

            assert_eq!(read_message(&mut first_client).expect("no complete response").status(), 200);
            wait_until_input_is_handled(&proxy);
            assert_eq!(
                request_count_of_class(&backend, "order"),
                0,
                "{disconnect:?}, response first: {response_first}"
            );
            drop(readable_stream);
        }
    }
}

/// Opens connections with a request each until the proxy rejects a request for lack of capacity. Returns
/// the connections that wait behind the first, and the rejected one.
fn fill_connection_limit(
    proxy: &ProxyProcess,
    first_client: BufReader<TcpStream>,
) -> (Vec<BufReader<TcpStream>>, BufReader<TcpStream>) {
    let mut waiting = vec![first_client];
    let is_full = || proxy.stats()["results"]["look"]["declined"] == 1;
    while !is_full() {
        waiting.push(proxy.begin_request(&request("look", 20_000)));
        wait_for("an admitted request", || proxy.stats()["outstanding"] == waiting.len() || is_full());
    }
    let rejected = waiting.pop().unwrap();
    (waiting, rejected)
}

fn check_disconnect_at_the_connection_limit(disconnect: Disconnect) {
    let OccupiedOrderingKey { proxy, backend, first_client, first_response } =
        OccupiedOrderingKey::new(true, 64);
    // Requests that wait behind the first one and connections without a request use the whole limit.
    let (mut waiting, rejected) = fill_connection_limit(&proxy, first_client);
    let without_request: Vec<_> = (0..waiting.len() / 7 + 2).map(|_| proxy.connect()).collect();
    let awaits_close = |port| sockets_to_port(port, TCP_CLOSE_WAIT) == 1;

    let (readable_stream, mut remaining_client) = proxy.while_stopped(|| {
        // Two clients connect, and one of them disconnects. Capacity for both becomes available afterwards:
        // other clients disconnect, and the connections without a request exceed their idle time.
        let (mut stream, mut remaining_client) = (proxy.connect(), proxy.connect());
        let port = stream.get_ref().local_addr().unwrap().port();
        stream.get_mut().write_all(disconnect.written_text(&request("order", 20_000)).as_bytes()).unwrap();
        remaining_client.get_mut().write_all(request("order", 20_000).as_bytes()).unwrap();
        let readable_stream = disconnect.disconnect(stream);
        assert!(disconnect.resets() || awaits_close(port));
        std::thread::sleep(Duration::from_millis(700));
        waiting.truncate(1);
        (readable_stream, remaining_client)
    });

    assert_eq!(
        read_message(&mut remaining_client).expect("no complete response").status(),
        200,
        "{disconnect:?}"
    );
    first_response.write();
    assert_eq!(read_message(&mut waiting[0]).expect("no complete response").status(), 200);
    drop((rejected, without_request));
    wait_for_no_open_request(&proxy);
    assert_eq!(request_count_of_class(&backend, "order"), 1, "{disconnect:?}");
    drop(readable_stream);
}

#[test]
fn does_not_forward_a_request_whose_client_disconnected_before_its_connection_was_accepted() {
    for disconnect in Disconnect::ALL {
        check_disconnect_at_the_connection_limit(disconnect);
    }
}

#[test]
fn does_not_forward_a_queued_request_whose_client_disconnected_during_graceful_shutdown() {
    for disconnect in Disconnect::WITHOUT_PIPELINING {
        let backend = LateServer::with_full_backlog();
        let cached_list = endpoint_list(1, true, &[listed_endpoint("s-0", backend.address, "SERVING")]);
        let mut proxy = proxy_with_cancellation(false, &cached_list);
        let connecting = proxy.begin_request(&request("order", 20_000));
        wait_for("a connection attempt", || backend.has_pending_connection());

        // When SIGTERM arrives, the listener's backlog holds another request, whose client has disconnected.
        let readable_streams = proxy.while_stopped(|| {
            let in_backlog = proxy.begin_request(&request("order", 20_000));
            proxy.signal("-TERM");
            (disconnect.disconnect(connecting), disconnect.disconnect(in_backlog))
        });
        let received = backend.accept_all();

        assert!(received.is_empty(), "{disconnect:?}: {received:?}");
        assert_eq!(exit_code(&mut proxy.child), Some(0));
        drop(readable_streams);
    }
}
