//! The watch of the endpoint list at discovery: however a watch fails, the event that it missed is
//! received in time, and binds requests that were already placed.

mod common;

use common::configuration::{
    configuration, default_settings, endpoint_list, listed_endpoint, request, serving_list,
};
use common::http::{HttpMessage, read_message, response};
use common::late_server::LateServer;
use common::proxy_process::ProxyProcess;
use common::stub_server::{Reply, StubServer, wait_for_end};
use common::waiting::{TEST_TIMEOUT, wait_for};
use serde_json::{Value, json};
use socket2::SockRef;
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// What a scripted discovery does with a connection.
type ConnectionHandler = Box<dyn Fn(&mut BufReader<TcpStream>) + Send + Sync>;

/// The request lines that a scripted discovery has received.
type ReceivedCalls = Arc<Mutex<Vec<String>>>;

/// A call that a scripted discovery has received.
struct TimedCall {
    at: Instant,
    request_line: String,
}

/// Two backends, the first of which drains in favour of the second by a watch event.
struct Replacement {
    old: StubServer,
    new: StubServer,
}

impl Replacement {
    fn start() -> Self {
        Self { old: StubServer::responding_with("old"), new: StubServer::responding_with("new") }
    }

    /// The event, with `old` in this lifecycle.
    fn event(&self, generation: u64, old_lifecycle: &str) -> Value {
        let endpoints = [
            listed_endpoint("s-0", self.old.address, old_lifecycle),
            listed_endpoint("s-1", self.new.address, "SERVING"),
        ];
        endpoint_list(generation, false, &endpoints)
    }

    /// The list before the event.
    fn cached_list(&self) -> Value {
        serving_list(&[&self.old])
    }
}

/// A discovery whose first call fails; the second gets the event, and later ones no response.
fn discovery_with_failing_first_call(
    fault: impl Fn(&mut BufReader<TcpStream>) + Send + Sync + 'static,
    event: String,
) -> (StubServer, ReceivedCalls) {
    let calls = ReceivedCalls::default();
    let received = calls.clone();
    let discovery = StubServer::with_connection_handler(move |stream| {
        while let Some(message) = read_message(stream) {
            let earlier_calls = {
                let mut received = received.lock().unwrap();
                received.push(message.start_line);
                received.len() - 1
            };
            match earlier_calls {
                0 => return fault(stream),
                1 => stream.get_mut().write_all(event.as_bytes()).unwrap(),
                _ => wait_for_end(stream),
            }
        }
    });
    (discovery, calls)
}

/// Writes the text and holds the connection.
fn write_and_hang(text: &'static str) -> impl Fn(&mut BufReader<TcpStream>) + Send + Sync + 'static {
    move |stream| {
        let _ = stream.get_mut().write_all(text.as_bytes());
        wait_for_end(stream);
    }
}

/// Writes the start, and the piece over and over until the connection ends.
fn write_without_end(start: &'static str, piece: &'static str) -> ConnectionHandler {
    Box::new(move |stream| {
        let _ = stream.get_mut().write_all(start.as_bytes());
        while stream.get_mut().write_all(piece.as_bytes()).is_ok() {
            std::thread::sleep(Duration::from_millis(20));
        }
    })
}

const PARTIAL_HEAD: &str = "HTTP/1.1 200 OK\r\nContent-Le";
const PARTIAL_BODY: &str = "HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{\"generation\":2,";

/// The ways in which a call to discovery can fail, with their names.
fn faults() -> Vec<(&'static str, ConnectionHandler)> {
    let reset = |stream: &mut BufReader<TcpStream>| {
        SockRef::from(stream.get_ref()).set_linger(Some(Duration::ZERO)).unwrap();
    };
    let endless_body = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    vec![
        ("no response", Box::new(wait_for_end)),
        ("closed", Box::new(|_| {})),
        ("reset", Box::new(reset)),
        ("partial head", Box::new(write_and_hang(PARTIAL_HEAD))),
        ("partial body", Box::new(write_and_hang(PARTIAL_BODY))),
        ("endless head", write_without_end("HTTP/1.1 200 OK\r\n", "X-More: more\r\n")),
        ("endless body", write_without_end(endless_body, "1\r\n \r\n")),
        ("invalid", Box::new(write_and_hang("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[]"))),
        ("error", Box::new(write_and_hang("HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n"))),
    ]
}

#[test]
fn receives_a_missed_event_within_6_s_after_any_fault_of_the_watch() {
    std::thread::scope(|scope| {
        for (name, fault) in faults() {
            scope.spawn(move || {
                let backends = Replacement::start();
                // Indented, as lists may be.
                let event = serde_json::to_string_pretty(&backends.event(2, "DRAINING")).unwrap();
                let (discovery, calls) = discovery_with_failing_first_call(fault, response("200 OK", &event));
                let proxy =
                    ProxyProcess::start(&default_settings(), &backends.cached_list(), discovery.address);
                let start = Instant::now();

                wait_for("list", || calls.lock().unwrap().len() >= 3);

                assert!(start.elapsed() < Duration::from_secs(6), "{name}: {:?}", start.elapsed());
                for _ in 0..5 {
                    assert_eq!(proxy.exchange(&request("look", 9000)).body, b"new", "{name}");
                }
                assert!(calls.lock().unwrap()[2].contains("since=2&"), "{name}");
            });
        }
    });
}

/// A discovery that returns after faults. Its first call is answered with the cached list. It closes
/// `closed_calls` calls, leaves one without a response, just after which it has the event, sends part
/// of the response to the next, and responds to the one after that.
fn returning_discovery(
    closed_calls: usize,
    partial_response: &'static str,
    cached_list: String,
    event: String,
) -> (StubServer, Arc<Mutex<Vec<TimedCall>>>) {
    let calls: Arc<Mutex<Vec<TimedCall>>> = Arc::default();
    let received = calls.clone();
    let discovery = StubServer::with_connection_handler(move |stream| {
        while let Some(message) = read_message(stream) {
            let call_number = {
                let mut received = received.lock().unwrap();
                received.push(TimedCall { at: Instant::now(), request_line: message.start_line });
                received.len()
            };
            match call_number.checked_sub(closed_calls + 2) {
                None if call_number == 1 => stream.get_mut().write_all(cached_list.as_bytes()).unwrap(),
                None => return,
                Some(0) => return wait_for_end(stream),
                Some(1) => return write_and_hang(partial_response)(stream),
                Some(2) => stream.get_mut().write_all(event.as_bytes()).unwrap(),
                Some(_) => wait_for_end(stream),
            }
        }
    });
    (discovery, calls)
}

/// How the proxy learns of changes, and how many calls fail before discovery returns.
#[derive(Clone, Copy)]
struct FaultChain {
    registry_mode: &'static str,
    closed_calls: usize,
}

/// Watched or polled, with backoff at its shortest and at its longest.
const FAULT_CHAINS: [FaultChain; 4] = [
    FaultChain { registry_mode: "automatic", closed_calls: 0 },
    FaultChain { registry_mode: "automatic", closed_calls: 7 },
    FaultChain { registry_mode: "subscribe", closed_calls: 0 },
    FaultChain { registry_mode: "subscribe", closed_calls: 3 },
];

fn receives_the_event_after_a_chain_of_faults(chain: FaultChain, seed: usize) {
    let FaultChain { registry_mode, closed_calls } = chain;
    let backends = Replacement::start();
    let event = response("200 OK", &backends.event(2, "DRAINING").to_string());
    let cached_list = response("200 OK", &backends.cached_list().to_string());
    let partial_response = [PARTIAL_HEAD, PARTIAL_BODY][seed % 2];
    let (discovery, calls) = returning_discovery(closed_calls, partial_response, cached_list, event);
    let mut settings = default_settings();
    settings["registry-mode"] = json!(registry_mode);
    settings["rules"]["ask-within"] = json!(60.0);
    let mut configuration = configuration(&settings, &backends.cached_list());
    configuration["seed"] = json!(format!("{seed:x}"));
    let proxy = ProxyProcess::with_configuration(&configuration, discovery.address);
    if registry_mode == "subscribe" {
        // It polls at once when its discovery moves, and otherwise some time within 30 s.
        configuration["discovery"] = json!(discovery.address.to_string());
        proxy.replace_configuration(&configuration);
        proxy.signal("-HUP");
    }

    wait_for("list", || calls.lock().unwrap().len() >= closed_calls + 5);

    let time_of_call = |index: usize| calls.lock().unwrap()[index].at;
    let elapsed = time_of_call(closed_calls + 3) - time_of_call(closed_calls + 1);
    let case = format!("{registry_mode}, {closed_calls} closed, seed {seed}");
    assert!(elapsed < Duration::from_secs(6), "{case}: {elapsed:?}");
    for _ in 0..5 {
        assert_eq!(proxy.exchange(&request("look", 9000)).body, b"new", "{case}");
    }
    assert!(calls.lock().unwrap()[closed_calls + 4].request_line.contains("since=2&"), "{case}");
    // Failed calls are not repeated without a pause. A poll may come in between, as it does once
    // after the start.
    if closed_calls > 0 && registry_mode == "automatic" {
        let last_pause = time_of_call(closed_calls + 1) - time_of_call(closed_calls);
        assert!(last_pause > Duration::from_millis(400), "{case}: {last_pause:?}");
    }
}

#[test]
fn receives_an_event_within_6_s_of_the_return_of_discovery_after_the_longest_chain_of_faults() {
    std::thread::scope(|scope| {
        for chain in FAULT_CHAINS {
            for seed in [1, 2, 3] {
                scope.spawn(move || receives_the_event_after_a_chain_of_faults(chain, seed));
            }
        }
    });
}

#[test]
fn applies_changes_whose_generation_restarts_and_asks_for_the_full_list() {
    // The cached list is of generation 1; changes of generation 0 come from a restarted discovery.
    for (generation, asks_for_full_list) in [(0, true), (1, false), (2, false)] {
        let backends = Replacement::start();
        let event = response("200 OK", &backends.event(generation, "DRAINING").to_string());
        let (discovery, calls) = discovery_with_failing_first_call(|_| {}, event);
        let proxy = ProxyProcess::start(&default_settings(), &backends.cached_list(), discovery.address);

        wait_for("list", || calls.lock().unwrap().len() >= 3);

        assert_eq!(proxy.exchange(&request("look", 9000)).body, b"new", "{generation}");
        let next_call = calls.lock().unwrap()[2].clone();
        assert_eq!(
            next_call.starts_with("GET /api/targets HTTP"),
            asks_for_full_list,
            "{generation}: {next_call}"
        );
    }
}

#[test]
fn does_not_send_a_request_placed_before_a_drain_notification_after_the_grace_period() {
    let backend = LateServer::with_full_backlog();
    let (is_draining, is_notified) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
    let event = endpoint_list(2, false, &[listed_endpoint("s-0", backend.address, "DRAINING")]).to_string();
    let (may_notify, report_notified) = (is_draining.clone(), is_notified.clone());
    let discovery = StubServer::new(move |_, message| {
        if message.start_line.contains("since=2&") {
            report_notified.store(true, Ordering::SeqCst);
            return Reply::Hang;
        }
        while !may_notify.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_millis(5));
        }
        Reply::Respond(response("200 OK", &event))
    });
    let mut settings = default_settings();
    settings["caps"]["connect-timeout"] = json!(20.0);
    let cached_list = endpoint_list(1, true, &[listed_endpoint("s-0", backend.address, "SERVING")]);
    let proxy = ProxyProcess::start(&settings, &cached_list, discovery.address);
    let mut stream = proxy.begin_request(&request("order", 9000));
    wait_for("connection attempt", || backend.has_pending_connection());

    is_draining.store(true, Ordering::SeqCst);
    wait_for("notification", || is_notified.load(Ordering::SeqCst));
    // The grace period is 1 s.
    std::thread::sleep(Duration::from_millis(1100));
    let received = backend.accept_all();

    assert!(received.is_empty(), "{received:?}");
    assert_eq!(read_message(&mut stream).expect("a response").status(), 503);
}

#[test]
fn keeps_the_cached_list_while_discovery_fails_and_repeats_its_calls() {
    let backends = Replacement::start();
    let event = backends.event(2, "DELETED").to_string();
    let is_working = Arc::new(AtomicBool::new(false));
    let may_respond = is_working.clone();
    let discovery = StubServer::new(move |earlier_calls, _| match earlier_calls {
        0 => Reply::Close,
        1 => Reply::Respond(response("503 Service Unavailable", "")),
        _ if may_respond.load(Ordering::SeqCst) => Reply::Respond(response("200 OK", &event)),
        _ => Reply::Respond(response("200 OK", "{\"generation\":")),
    });
    let proxy = ProxyProcess::start(&default_settings(), &backends.cached_list(), discovery.address);
    wait_for("repeated call", || discovery.request_count() >= 3);
    assert_eq!(proxy.exchange(&request("look", 20_000)).body, b"old");

    is_working.store(true, Ordering::SeqCst);
    let is_next_watch = |call: &HttpMessage| call.start_line.contains("since=2&");
    wait_for("list", || discovery.requests.lock().unwrap().iter().any(is_next_watch));

    assert_eq!(proxy.exchange(&request("look", 20_000)).body, b"new");
}

#[test]
fn repeats_a_failed_poll_where_the_list_must_be_polled() {
    let (old, new) = (StubServer::responding_with("old"), StubServer::responding_with("new"));
    let full_list = endpoint_list(7, true, &[listed_endpoint("s-1", new.address, "SERVING")]).to_string();
    let discovery = StubServer::new(move |earlier_calls, _| match earlier_calls {
        0 | 1 => Reply::Respond(response("503 Service Unavailable", "")),
        2 => Reply::Respond(response("200 OK", &full_list)),
        _ => Reply::Hang,
    });
    let mut settings = default_settings();
    settings["registry-mode"] = json!("subscribe");
    settings["rules"]["ask-within"] = json!(1.0);
    let proxy = ProxyProcess::start(&settings, &serving_list(&[&old]), discovery.address);

    wait_for("next poll", || discovery.request_count() >= 4);

    let next_poll = discovery.requests.lock().unwrap()[3].start_line.clone();
    assert!(next_poll.contains("since=7&timeout_ms=1000"));
    assert_eq!(proxy.exchange(&request("look", 20_000)).body, b"new");
}

#[test]
fn repeats_a_watch_without_a_complete_response_before_its_event_counts_as_notified() {
    let backends = Replacement::start();
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
        let proxy = ProxyProcess::start(&default_settings(), &backends.cached_list(), discovery.address);

        wait_for("next watch", || discovery.request_count() >= 3);

        assert!(start.elapsed() < Duration::from_secs(6), "noticed after {:?}", start.elapsed());
        assert_eq!(proxy.exchange(&request("look", 20_000)).body, b"new");
    }
}

#[test]
fn proxies_do_not_repeat_together_the_watches_of_a_discovery_that_went_silent() {
    let backend = StubServer::responding_with("hello");
    let start_with_seed = |seed: usize| {
        let calls: Arc<Mutex<Vec<Instant>>> = Arc::default();
        let received = calls.clone();
        let discovery = StubServer::new(move |_, _| {
            received.lock().unwrap().push(Instant::now());
            Reply::Hang
        });
        let mut configuration = configuration(&default_settings(), &serving_list(&[&backend]));
        configuration["seed"] = json!(format!("{seed:016x}"));
        (ProxyProcess::with_configuration(&configuration, discovery.address), calls)
    };
    let proxies: Vec<_> = (1..=6).map(start_with_seed).collect();

    let delays: Vec<Duration> = proxies
        .iter()
        .map(|(_, calls)| {
            wait_for("second call", || calls.lock().unwrap().len() >= 2);
            let calls = calls.lock().unwrap();
            calls[1] - calls[0]
        })
        .collect();

    let (first, last) = (delays.iter().min().unwrap(), delays.iter().max().unwrap());
    assert!(*last > *first + Duration::from_millis(200), "{delays:?}");
}
