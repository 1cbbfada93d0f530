//! The watch of the endpoint list at discovery. A watch can fail without a closed connection: by no response,
//! or by one that never ends. In each case the proxy must repeat the watch soon enough to receive the missed
//! event within 6 s.

mod common;

use common::configuration::{configuration, default_settings, request, serving_list};
use common::http::response;
use common::proxy_process::ProxyProcess;
use common::scripted_discovery::{
    BackendReplacement, PARTIAL_BODY, PARTIAL_HEAD, ScriptedDiscovery, write_and_hang,
};
use common::stub_server::{Reply, StubServer, wait_for_input_or_close};
use common::waiting::{TEST_TIMEOUT, wait_for};
use serde_json::json;
use socket2::SockRef;
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::ops::ControlFlow;
use std::time::{Duration, Instant};

/// Handles a connection to discovery after a call has arrived on it.
type ConnectionHandler = Box<dyn Fn(&mut BufReader<TcpStream>) + Send + Sync>;

/// A way in which a call to discovery can fail.
struct Fault {
    name: &'static str,
    handler: ConnectionHandler,
}

impl Fault {
    fn new(name: &'static str, handler: impl Fn(&mut BufReader<TcpStream>) + Send + Sync + 'static) -> Self {
        Self { name, handler: Box::new(handler) }
    }
}

/// Returns a connection handler that writes `start`, then `piece` every 20 ms until the connection ends.
fn write_without_end(
    start: &'static str,
    piece: &'static str,
) -> impl Fn(&mut BufReader<TcpStream>) + Send + Sync + 'static {
    move |stream| {
        let _ = stream.get_mut().write_all(start.as_bytes());
        while stream.get_mut().write_all(piece.as_bytes()).is_ok() {
            std::thread::sleep(Duration::from_millis(20));
        }
    }
}

/// Returns the faults of a call to discovery.
fn faults() -> Vec<Fault> {
    let reset = |stream: &mut BufReader<TcpStream>| {
        SockRef::from(stream.get_ref()).set_linger(Some(Duration::ZERO)).unwrap();
    };
    let endless_body = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    vec![
        Fault::new("no response", wait_for_input_or_close),
        Fault::new("closed", |_| {}),
        Fault::new("reset", reset),
        Fault::new("partial head", write_and_hang(PARTIAL_HEAD)),
        Fault::new("partial body", write_and_hang(PARTIAL_BODY)),
        Fault::new("endless head", write_without_end("HTTP/1.1 200 OK\r\n", "X-More: more\r\n")),
        Fault::new("endless body", write_without_end(endless_body, "1\r\n \r\n")),
        Fault::new("invalid", write_and_hang("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[]")),
        Fault::new("error", write_and_hang("HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n")),
    ]
}

/// Starts a proxy with this discovery and the old backend in its cached endpoint list.
fn start_proxy(backends: &BackendReplacement, discovery: &StubServer) -> ProxyProcess {
    ProxyProcess::start(&default_settings(), &backends.cached_list(), discovery.address)
}

#[test]
fn receives_a_missed_event_within_6_s_after_any_fault_of_the_watch() {
    std::thread::scope(|scope| {
        for Fault { name, handler } in faults() {
            scope.spawn(move || {
                let backends = BackendReplacement::start();
                // The JSON is indented, as endpoint lists may be.
                let event = serde_json::to_string_pretty(&backends.event(2, "DRAINING")).unwrap();
                let discovery =
                    ScriptedDiscovery::with_failing_first_call(handler, response("200 OK", &event));
                let proxy = start_proxy(&backends, &discovery.server);
                let start = Instant::now();

                wait_for("the call after the event", || discovery.call_count() >= 3);

                assert!(start.elapsed() < Duration::from_secs(6), "{name}: {:?}", start.elapsed());
                for _ in 0..5 {
                    assert_eq!(proxy.exchange(&request("look", 9000)).body, b"new", "{name}");
                }
                assert!(discovery.call(2).request_line.contains("since=2&"), "{name}");
            });
        }
    });
}

#[test]
fn repeats_a_watch_without_a_complete_response_before_its_event_counts_as_notified() {
    let backends = BackendReplacement::start();
    let full_response = response("200 OK", &backends.event(2, "DRAINING").to_string());
    let half_response = full_response[..full_response.len() / 2].to_string();
    for partial_response in [None, Some(half_response)] {
        let full_response = full_response.clone();
        let discovery = StubServer::new(move |earlier_calls, _| match (earlier_calls, &partial_response) {
            (0, Some(partial_response)) => Reply::RespondInParts {
                first: partial_response.clone(),
                pause: TEST_TIMEOUT,
                rest: String::new(),
            },
            (1, _) => Reply::Respond(full_response.clone()),
            _ => Reply::Hang,
        });
        let start = Instant::now();
        let proxy = start_proxy(&backends, &discovery);

        wait_for("the next watch", || discovery.request_count() >= 3);

        assert!(start.elapsed() < Duration::from_secs(6), "received the event after {:?}", start.elapsed());
        assert_eq!(proxy.exchange(&request("look", 20_000)).body, b"new");
    }
}

/// A proxy and its own discovery.
struct WatchingProxy {
    _process: ProxyProcess,
    discovery: ScriptedDiscovery,
}

#[test]
fn proxies_repeat_their_watches_at_different_times_after_discovery_stops_responding() {
    let backend = StubServer::responding_with("hello");
    let start_with_seed = |seed: usize| {
        let discovery = ScriptedDiscovery::new(|_, stream| {
            wait_for_input_or_close(stream);
            ControlFlow::Break(())
        });
        let mut configuration = configuration(&default_settings(), &serving_list(&[&backend]));
        configuration["seed"] = json!(format!("{seed:016x}"));
        let process = ProxyProcess::with_configuration(&configuration, discovery.server.address);
        WatchingProxy { _process: process, discovery }
    };
    let proxies: Vec<_> = (1..=6).map(start_with_seed).collect();

    let delays: Vec<Duration> = proxies
        .iter()
        .map(|WatchingProxy { discovery, .. }| {
            wait_for("a second call", || discovery.call_count() >= 2);
            discovery.call(1).received_at - discovery.call(0).received_at
        })
        .collect();

    let (first, last) = (delays.iter().min().unwrap(), delays.iter().max().unwrap());
    assert!(*last > *first + Duration::from_millis(200), "{delays:?}");
}
