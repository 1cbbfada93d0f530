//! The real proxy, from outside: its program between a client, backends and a discovery that the
//! test plays over loopback sockets.

mod common;

use balancer_proxy::Outcome;
use balancer_proxy::proxy::clock::Clock;
use balancer_proxy::proxy::limits::Budget;
use balancer_proxy::proxy::metrics::Metrics;
use balancer_proxy::proxy::settings::ProxySettings;
use balancer_proxy::proxy::upstream::attempt::attempt;
use balancer_proxy::proxy::upstream::forwarded_request::{ForwardedBody, ForwardedRequest};
use balancer_proxy::proxy::upstream::pool::ConnectionPool;
use common::configuration::{
    configuration, default_settings, endpoint_list, listed_endpoint, request, serving_list,
};
use common::http::{HttpMessage, exchange, read_message, response};
use common::proxy_process::{ProxyProcess, proxy_command};
use common::stub_server::{Reply, StubServer, silent_discovery};
use common::waiting::{TEST_TIMEOUT, wait_for, wait_for_disconnect};
use serde_json::json;
use std::io::Write;
use std::net::TcpListener;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

#[test]
fn a_request_goes_on_unchanged_and_so_does_its_answer() {
    let backend = StubServer::responding_with("hello");
    let proxy = ProxyProcess::in_front_of(&[&backend]);
    assert_eq!(proxy.exchange("GET /-/ready HTTP/1.1\r\nHost: p\r\n\r\n").status(), 200);
    let text = request("save", 9000);
    let answer = proxy.exchange(&text);
    assert_eq!((answer.status(), answer.body.as_slice()), (200, b"hello".as_slice()));
    let seen = backend.requests.lock().unwrap()[0].clone();
    assert_eq!(
        (seen.start_line.as_str(), seen.body.as_slice()),
        ("POST /api?q=1 HTTP/1.1", b"body".as_slice())
    );
    assert!(text.contains(&format!("X-Txn: {}\r\n", seen.header("x-txn").unwrap())));
    assert_eq!(seen.header("idempotency-key"), Some("5c0f6e1a"));
    let left: u64 = seen.header("x-remaining-ms").unwrap().parse().unwrap();
    assert!((1..9000).contains(&left), "{left}");
}

#[test]
fn what_is_malformed_gets_a_plain_4xx() {
    let backend = StubServer::responding_with("hello");
    let proxy = ProxyProcess::in_front_of(&[&backend]);
    let good = request("look", 9000);
    for (from, to) in [
        ("X-Lane: look", "X-Lane: unheard-of"),
        ("X-Org: acme", "X-Org: unheard-of"),
        ("X-Remaining-Ms: 9000", "X-Remaining-Ms: soon"),
        ("X-Txn: 0", "X-Txn: "),
        ("GET /api?q=1 HTTP/1.1", "nonsense"),
    ] {
        assert_eq!(proxy.exchange(&good.replace(from, to)).status(), 400, "{to}");
    }
    let large = good.replace("Content-Length: 4\r\n\r\nbody", "Content-Length: 62914560\r\n\r\n");
    assert_eq!(proxy.exchange(&large).status(), 413);
    assert_eq!(backend.request_count(), 0);
    assert_eq!(proxy.exchange(&good).status(), 200);
}

#[test]
fn a_bad_configuration_is_told_in_one_line() {
    let mut lacking = default_settings();
    lacking.as_object_mut().unwrap().remove("classes");
    let mut garbled = default_settings();
    garbled["rules"]["cold"] = json!("soon");
    let mut negative = default_settings();
    negative["classes"][0]["on-time"] = json!(-1);
    let known = endpoint_list(1, true, &[]);
    let texts = [lacking, garbled, negative].map(|settings| configuration(&settings, &known).to_string());
    for text in texts.into_iter().chain(["{".to_string()]) {
        let output = proxy_command(&text, silent_discovery().address).command.output().unwrap();
        let told = String::from_utf8(output.stderr).unwrap();
        assert!(!output.status.success());
        assert!(told.starts_with("balancer-proxy: ") && told.lines().count() == 1, "{told}");
    }
}

#[test]
fn what_the_settings_lack_has_a_plain_default_and_what_is_unknown_is_skipped() {
    let backend = StubServer::new(|_, message| match message.start_line.starts_with("GET") {
        true => Reply::Respond(response("200 OK", "hello")),
        false => Reply::Close,
    });
    let classes = json!([{"name": "look", "effect": "free"}, {"name": "order"},
                         {"name": "save", "effect": "unheard-of", "new": {"a": 1}}]);
    let settings = json!({"classes": classes, "new": [1], "caps": {"new": true}, "rules": {"new": 1}});
    let lean = json!({"settings": settings, "known": serving_list(&[&backend]), "new": null});
    let proxy = ProxyProcess::with_configuration(&lean, silent_discovery().address);
    let ask =
        |class| proxy.exchange(&request(class, 900).replace("Idempotency-Key: 5c0f6e1a\r\n", "")).status();
    assert_eq!(ask("look"), 200);
    // Where nothing is said, or nothing known, a second attempt might do harm.
    for class in ["order", "save"] {
        let before = backend.request_count();
        assert_eq!(ask(class), 502);
        assert_eq!(backend.request_count(), before + 1);
    }
}

#[test]
fn an_unsafe_request_that_may_have_run_is_failed_and_not_sent_again() {
    let backends = [StubServer::new(|_, _| Reply::Close), StubServer::new(|_, _| Reply::Close)];
    let proxy = ProxyProcess::in_front_of(&[&backends[0], &backends[1]]);
    let status = proxy.exchange(&request("order", 9000)).status();
    assert!(status != 200 && status != 429 && status != 503, "{status}");
    assert_eq!(backends[0].request_count() + backends[1].request_count(), 1);
}

#[test]
fn an_unsafe_request_that_met_no_backend_is_refused() {
    let closed = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let known = endpoint_list(1, true, &[listed_endpoint("s-1", closed, "SERVING")]);
    let proxy = ProxyProcess::start(&default_settings(), &known, silent_discovery().address);
    assert_eq!(proxy.exchange(&request("order", 1000)).status(), 503);
}

#[test]
fn a_connection_that_the_backend_has_closed_is_not_used_again() {
    let (closed, end) = channel();
    let backend = StubServer::new(move |_, _| Reply::RespondAndClose {
        response: response("200 OK", "hello"),
        closed: closed.clone(),
    });
    let proxy = ProxyProcess::in_front_of(&[&backend]);
    for _ in 0..5 {
        assert_eq!(proxy.exchange(&request("order", 9000)).status(), 200);
        wait_for_disconnect(&end);
    }
    assert_eq!(backend.connection_count(), 5);
}

#[test]
fn a_connection_is_used_again() {
    let backend = StubServer::responding_with("hello");
    let proxy = ProxyProcess::in_front_of(&[&backend]);
    for _ in 0..10 {
        assert_eq!(proxy.exchange(&request("order", 9000)).status(), 200);
        std::thread::sleep(Duration::from_millis(100)); // not before it has settled
    }
    assert_eq!(backend.connection_count(), 1);
}

#[test]
fn a_connection_near_the_idle_limit_is_not_used_again() {
    let backend = StubServer::responding_with("hello");
    let mut settings = default_settings();
    settings["caps"]["idle-close"] = json!(0.2);
    let proxy = ProxyProcess::start(&settings, &serving_list(&[&backend]), silent_discovery().address);
    for _ in 0..2 {
        assert_eq!(proxy.exchange(&request("order", 9000)).status(), 200);
        std::thread::sleep(Duration::from_millis(180));
    }
    assert_eq!(backend.connection_count(), 2);
}

#[test]
fn a_silent_backend_leaves_no_client_without_an_answer() {
    let (ended, end) = channel();
    let backend = StubServer::new(move |_, _| Reply::HangAndReport(ended.clone()));
    let proxy = ProxyProcess::in_front_of(&[&backend]);
    let start = Instant::now();
    let status = proxy.exchange(&request("order", 1500)).status();
    assert!(status != 200 && status != 429 && status != 503, "{status}");
    assert!(start.elapsed() < Duration::from_millis(1500), "{:?}", start.elapsed());
    wait_for_disconnect(&end);
}

#[test]
fn an_attempt_ends_when_its_client_leaves() {
    let (ended, end) = channel();
    let backend = StubServer::new(move |_, _| Reply::HangAndReport(ended.clone()));
    let proxy = ProxyProcess::in_front_of(&[&backend]);
    let mut client = proxy.connect();
    client.get_mut().write_all(request("order", 20_000).as_bytes()).unwrap();
    wait_for("attempt", || backend.request_count() == 1);
    let left = Instant::now();
    drop(client);
    wait_for_disconnect(&end);
    assert!(left.elapsed() < Duration::from_secs(10));
}

#[test]
fn sigterm_loses_nothing_that_was_taken() {
    let (backend, release) = StubServer::holding_first_response("hello");
    let mut proxy = ProxyProcess::in_front_of(&[&backend]);
    let mut idle = proxy.connect();
    assert_eq!(exchange(&mut idle, "GET /-/ready HTTP/1.1\r\nHost: p\r\n\r\n").status(), 200);
    let mut busy = proxy.connect();
    busy.get_mut().write_all(request("order", 20_000).as_bytes()).unwrap();
    wait_for("attempt", || backend.request_count() == 1);
    proxy.signal("-TERM");
    // Requests on old connections and on new ones are served on, each more than once, and the
    // connections then end.
    wait_for("stop", || proxy.exchange("GET /-/ready HTTP/1.1\r\nHost: p\r\n\r\n").status() == 503);
    let mut new = [proxy.connect(), proxy.connect()];
    let [first, unused] = &mut new;
    for stream in [0, 1, 0, 1] {
        let stream = if stream == 0 { &mut idle } else { &mut *first };
        assert_eq!(exchange(stream, &request("look", 20_000)).status(), 200);
    }
    for stream in [&mut idle, first, unused] {
        assert!(read_message(stream).is_none(), "an idle connection is ended");
    }
    release.send(()).unwrap();
    assert_eq!(read_message(&mut busy).expect("an answer").status(), 200);
    wait_for("exit", || proxy.child.try_wait().unwrap().is_some());
    assert_eq!(proxy.child.wait().unwrap().code(), Some(0));
}

#[test]
fn connections_outlast_the_return_of_the_proxy_stopped_before() {
    // In a rolling restart the one before was seen to be back up to 2.2 s after the next signal.
    let backend = StubServer::responding_with("hello");
    let proxy = ProxyProcess::in_front_of(&[&backend]);
    let mut kept = proxy.connect();
    assert_eq!(exchange(&mut kept, &request("look", 9000)).status(), 200);
    let signalled = Instant::now();
    proxy.signal("-TERM");
    wait_for("stop", || proxy.exchange("GET /-/ready HTTP/1.1\r\nHost: p\r\n\r\n").status() == 503);
    assert_eq!(exchange(&mut kept, &request("look", 9000)).status(), 200);
    assert!(read_message(&mut kept).is_none(), "an idle connection is ended in the end");
    let lasted = signalled.elapsed();
    assert!(lasted >= Duration::from_millis(2200), "ended after {lasted:?}");
}

#[test]
fn a_request_that_never_comes_whole_does_not_hold_up_the_exit() {
    let backend = StubServer::responding_with("hello");
    let mut proxy = ProxyProcess::in_front_of(&[&backend]);
    let mut slow = proxy.connect();
    slow.get_mut().write_all(request("look", 9000).strip_suffix("dy").unwrap().as_bytes()).unwrap();
    // Another connection's answer tells that this one has been accepted before.
    assert_eq!(proxy.exchange(&request("look", 9000)).status(), 200);
    proxy.signal("-TERM");
    wait_for("exit", || proxy.child.try_wait().unwrap().is_some());
    assert_eq!(proxy.child.wait().unwrap().code(), Some(0));
}

#[test]
fn nothing_goes_out_on_a_connection_that_comes_up_after_the_grace() {
    let backend = StubServer::responding_with("hello");
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let attempt = |last_send: Option<f64>| {
        let endpoint = ConnectionPool::new(backend.address, Budget::new(4), TEST_TIMEOUT, TEST_TIMEOUT);
        endpoint.update(backend.address, last_send);
        let payload = ForwardedRequest {
            method: "POST".parse().unwrap(),
            uri: "/api".parse().unwrap(),
            headers: [("host".parse().unwrap(), "app.svc".parse().unwrap())].into_iter().collect(),
            body: ForwardedBody::Buffered("body".into()),
        };
        let figures = Metrics::new(&ProxySettings::default());
        let attempted =
            attempt(endpoint.into(), payload.into(), Clock::start(), 20.0, 20.0, Default::default(), figures);
        runtime.block_on(attempted).outcome
    };
    assert_eq!(attempt(Some(0.0)), Outcome::NoConnection);
    assert_eq!(backend.request_count(), 0);
    assert_eq!(attempt(None), Outcome::Success);
}

#[test]
fn discovery_that_talks_nonsense_is_asked_again_and_the_last_list_kept() {
    let (old, new) = (StubServer::responding_with("old"), StubServer::responding_with("new"));
    let news = endpoint_list(
        2,
        false,
        &[listed_endpoint("s-0", old.address, "DELETED"), listed_endpoint("s-1", new.address, "SERVING")],
    );
    let good = Arc::new(AtomicUsize::new(0));
    let (may, told) = (good.clone(), news.to_string());
    let discovery = StubServer::new(move |before, _| match (before, may.load(Ordering::SeqCst)) {
        (0, _) => Reply::Close,
        (1, _) => Reply::Respond(response("503 Service Unavailable", "")),
        (_, 0) => Reply::Respond(response("200 OK", "{\"generation\":")),
        (_, 1) => Reply::Respond(response("200 OK", &told)),
        _ => Reply::Hang,
    });
    let proxy = ProxyProcess::start(&default_settings(), &serving_list(&[&old]), discovery.address);
    wait_for("further call", || discovery.request_count() >= 3);
    assert_eq!(proxy.exchange(&request("look", 20_000)).body, b"old");
    good.store(1, Ordering::SeqCst);
    let asked_for_more = |m: &HttpMessage| m.start_line.contains("since=2&");
    wait_for("list", || discovery.requests.lock().unwrap().iter().any(asked_for_more));
    assert_eq!(proxy.exchange(&request("look", 20_000)).body, b"new");
}

#[test]
fn where_the_list_must_be_asked_for_a_call_that_failed_is_made_again() {
    let (old, new) = (StubServer::responding_with("old"), StubServer::responding_with("new"));
    let all = endpoint_list(7, true, &[listed_endpoint("s-1", new.address, "SERVING")]).to_string();
    let discovery = StubServer::new(move |before, _| match before {
        0 | 1 => Reply::Respond(response("503 Service Unavailable", "")),
        2 => Reply::Respond(response("200 OK", &all)),
        _ => Reply::Hang,
    });
    let mut settings = default_settings();
    settings["registry-mode"] = json!("subscribe");
    settings["rules"]["ask-within"] = json!(1.0);
    let proxy = ProxyProcess::start(&settings, &serving_list(&[&old]), discovery.address);
    wait_for("further watch", || discovery.request_count() >= 4);
    assert!(discovery.requests.lock().unwrap()[3].start_line.contains("since=7&timeout_ms=1000"));
    assert_eq!(proxy.exchange(&request("look", 20_000)).body, b"new");
}

#[test]
fn a_watch_that_falls_silent_or_stops_half_way_is_made_again_before_its_news_counts_as_told() {
    let (old, new) = (StubServer::responding_with("old"), StubServer::responding_with("new"));
    let news = endpoint_list(
        2,
        false,
        &[listed_endpoint("s-0", old.address, "DRAINING"), listed_endpoint("s-1", new.address, "SERVING")],
    );
    let whole = response("200 OK", &news.to_string());
    for half in [None, Some(whole[..whole.len() / 2].to_string())] {
        let whole = whole.clone();
        let discovery = StubServer::new(move |before, _| match (before, &half) {
            (0, None) => Reply::Hang,
            (0, Some(half)) => {
                Reply::RespondInParts { first: half.clone(), pause: TEST_TIMEOUT, rest: String::new() }
            }
            (1, _) => Reply::Respond(whole.clone()),
            _ => Reply::Hang,
        });
        let started = Instant::now();
        let proxy = ProxyProcess::start(&default_settings(), &serving_list(&[&old]), discovery.address);
        wait_for("further call", || discovery.request_count() >= 3);
        assert!(started.elapsed() < Duration::from_secs(6), "noticed after {:?}", started.elapsed());
        assert_eq!(proxy.exchange(&request("look", 20_000)).body, b"new");
    }
}

#[test]
fn proxies_do_not_return_at_once_to_a_discovery_that_fell_silent() {
    let backend = StubServer::responding_with("good");
    let start = |seed: usize| {
        let calls: Arc<Mutex<Vec<Instant>>> = Arc::default();
        let times = calls.clone();
        let discovery = StubServer::new(move |_, _| {
            times.lock().unwrap().push(Instant::now());
            Reply::Hang
        });
        let mut config = configuration(&default_settings(), &serving_list(&[&backend]));
        config["seed"] = json!(format!("{seed:016x}"));
        (ProxyProcess::with_configuration(&config, discovery.address), calls)
    };
    let started: Vec<_> = (1..=6).map(start).collect();
    let returned = |(_, calls): &(ProxyProcess, Arc<Mutex<Vec<Instant>>>)| {
        wait_for("further call", || calls.lock().unwrap().len() >= 2);
        let calls = calls.lock().unwrap();
        calls[1] - calls[0]
    };
    let after: Vec<Duration> = started.iter().map(returned).collect();
    let (first, last) = (after.iter().min().unwrap(), after.iter().max().unwrap());
    assert!(*last > *first + Duration::from_millis(200), "{after:?}");
}
