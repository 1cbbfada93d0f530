//! Requests forwarded to backends, and the responses that clients get when an attempt fails. An unsafe
//! request that may have run must not run again, and no request may reach a backend after its grace period.

mod common;

use balancer::Outcome;
use balancer_proxy::clock::Clock;
use balancer_proxy::limits::Budget;
use balancer_proxy::metrics::Metrics;
use balancer_proxy::settings::ProxySettings;
use balancer_proxy::upstream::attempt::{AttemptParameters, attempt};
use balancer_proxy::upstream::completion_flag::CompletionFlag;
use balancer_proxy::upstream::forwarded_request::{ForwardedBody, ForwardedRequest};
use balancer_proxy::upstream::pool::{ConnectionPool, ConnectionTimeouts};
use common::closed_address::ClosedAddress;
use common::configuration::{READINESS_REQUEST, default_settings, endpoint_list, listed_endpoint, request};
use common::proxy_process::ProxyProcess;
use common::stub_server::{Reply, StubServer, silent_discovery};
use common::waiting::{TEST_TIMEOUT, wait_for, wait_for_disconnect};
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

#[test]
fn forwards_a_request_and_its_response_unchanged() {
    let backend = StubServer::responding_with("hello");
    let proxy = ProxyProcess::in_front_of(&[&backend]);
    assert_eq!(proxy.exchange(READINESS_REQUEST).status(), 200);
    let text = request("save", 9000);

    let received_response = proxy.exchange(&text);

    assert_eq!((received_response.status(), received_response.body.as_slice()), (200, b"hello".as_slice()));
    let forwarded = backend.requests.lock().unwrap()[0].clone();
    assert_eq!(
        (forwarded.start_line.as_str(), forwarded.body.as_slice()),
        ("POST /api?q=1 HTTP/1.1", b"body".as_slice())
    );
    assert!(text.contains(&format!("X-Txn: {}\r\n", forwarded.header("x-txn").unwrap())));
    assert_eq!(forwarded.header("idempotency-key"), Some("5c0f6e1a"));
    let remaining_ms: u64 = forwarded.header("x-remaining-ms").unwrap().parse().unwrap();
    assert!((1..9000).contains(&remaining_ms), "{remaining_ms}");
}

#[test]
fn does_not_retry_an_unsafe_request_that_may_have_run() {
    let backends = [StubServer::new(|_, _| Reply::Close), StubServer::new(|_, _| Reply::Close)];
    let proxy = ProxyProcess::in_front_of(&[&backends[0], &backends[1]]);

    let status = proxy.exchange(&request("order", 9000)).status();

    assert!(status != 200 && status != 429 && status != 503, "{status}");
    assert_eq!(backends[0].request_count() + backends[1].request_count(), 1);
}

#[test]
fn rejects_an_unsafe_request_that_reached_no_backend() {
    let closed_address = ClosedAddress::new();
    let cached_list = endpoint_list(1, true, &[listed_endpoint("s-1", closed_address.address, "SERVING")]);
    let proxy = ProxyProcess::start(&default_settings(), &cached_list, silent_discovery().address);

    assert_eq!(proxy.exchange(&request("order", 1000)).status(), 503);
}

#[test]
fn responds_before_the_deadline_when_a_backend_never_responds() {
    let (report_disconnect, disconnected) = channel();
    let backend = StubServer::new(move |_, _| Reply::HangAndReport(report_disconnect.clone()));
    let proxy = ProxyProcess::in_front_of(&[&backend]);
    let start = Instant::now();

    let status = proxy.exchange(&request("order", 1500)).status();

    assert!(status != 200 && status != 429 && status != 503, "{status}");
    assert!(start.elapsed() < Duration::from_millis(1500), "{:?}", start.elapsed());
    wait_for_disconnect(&disconnected);
}

#[test]
fn cancels_the_attempt_when_the_client_disconnects() {
    let (report_disconnect, disconnected) = channel();
    let backend = StubServer::new(move |_, _| Reply::HangAndReport(report_disconnect.clone()));
    let proxy = ProxyProcess::in_front_of(&[&backend]);
    let client = proxy.begin_request(&request("order", 20_000));
    wait_for("an attempt", || backend.request_count() == 1);

    let start = Instant::now();
    drop(client);
    wait_for_disconnect(&disconnected);

    assert!(start.elapsed() < Duration::from_secs(10));
}

#[test]
fn sends_nothing_over_a_connection_established_after_the_grace_period() {
    let backend = StubServer::responding_with("hello");
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let attempt = |drain_deadline: Option<f64>| {
        let timeouts = ConnectionTimeouts { connect: TEST_TIMEOUT, idle: TEST_TIMEOUT };
        let pool = ConnectionPool::new(backend.address, Budget::new(4), timeouts);
        if let Some(deadline) = drain_deadline {
            pool.set_draining(backend.address, deadline);
        }
        let payload = ForwardedRequest {
            method: "POST".parse().unwrap(),
            uri: "/api".parse().unwrap(),
            headers: [("host".parse().unwrap(), "app.svc".parse().unwrap())].into_iter().collect(),
            body: ForwardedBody::Buffered("body".into()),
        };
        let metrics = Metrics::new(&ProxySettings::default());
        let running_attempt = attempt(AttemptParameters {
            pool: pool.into(),
            request: payload.into(),
            clock: Clock::start(),
            response_deadline: 20.0,
            write_deadline: Some(20.0),
            written: CompletionFlag::default(),
            metrics,
        });
        runtime.block_on(running_attempt).outcome
    };

    assert_eq!(attempt(Some(0.0)), Outcome::NoConnection);
    assert_eq!(backend.request_count(), 0);
    assert_eq!(attempt(None), Outcome::Success);
}
