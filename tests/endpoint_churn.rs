//! Backends that are replaced by ever new ones: what is gone is forgotten, and no sooner than
//! nothing can name it any more.

mod common;

use balancer_proxy::proxy::control::discovery::WatchListener;
use balancer_proxy::proxy::engine::Engine;
use balancer_proxy::proxy::metrics::Metrics;
use balancer_proxy::proxy::settings::{ProxySettings, SettingsSnapshot};
use balancer_proxy::proxy::upstream::forwarded_request::{ForwardedBody, ForwardedRequest};
use balancer_proxy::proxy::watch_event::{ListedEndpoint, WatchEvent};
use balancer_proxy::*;
use common::balancer_harness::{BalancerHarness, endpoint, is_rejected, safe_settings, sends};
use common::stub_server::{Reply, StubServer};
use common::waiting::{TEST_TIMEOUT, next_unique_number, wait_for_disconnect};
use std::net::SocketAddr;
use std::sync::mpsc::channel;
use std::time::Duration;

fn listed(id: u32, address: SocketAddr) -> ListedEndpoint {
    ListedEndpoint { endpoint: endpoint(id), address }
}

#[test]
fn the_engine_forgets_a_backend_that_is_gone_once_no_attempt_is_out() {
    let (ended, end) = channel();
    let silent = StubServer::new(move |_, _| Reply::HangAndReport(ended.clone()));
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let wire = ProxySettings {
            connect_timeout: TEST_TIMEOUT,
            idle_close: TEST_TIMEOUT,
            drain_grace: Duration::from_millis(100),
            max_open: 10,
            ..ProxySettings::default()
        };
        let figures = Metrics::new(&wire);
        let engine =
            Engine::start(SettingsSnapshot { settings: safe_settings(), proxy: wire }.into(), 1, 10, figures);
        engine.on_watch_event(WatchEvent::Full(vec![listed(1, silent.address)]));
        let payload = ForwardedRequest {
            method: hyper::Method::GET,
            uri: "/api".parse().unwrap(),
            headers: [("host".parse().unwrap(), "app.svc".parse().unwrap())].into_iter().collect(),
            body: ForwardedBody::Buffered("".into()),
        };
        let request = Request { timeout: 20.0, ..Request::default() };
        let id = next_unique_number() as u64;
        let (id, _answer) = engine.submit(id, request, payload).unwrap();
        let pause = || tokio::time::sleep(Duration::from_millis(20));
        while silent.request_count() == 0 {
            pause().await;
        }
        for new in 2..50 {
            engine.on_watch_event(WatchEvent::Full(vec![listed(new, silent.address)]));
        }
        // Long enough for the grace and the next sweep, over and over.
        let mut waits = 0;
        while (2..49).any(|id| engine.is_referenced(BackendId(id))) {
            pause().await;
            waits += 1;
            assert!(waits < 1000, "they are not forgotten");
        }
        assert!(engine.is_referenced(BackendId(49)), "the one that is listed");
        assert!(engine.is_referenced(BackendId(1)), "the one with an attempt out");
        engine.client_disconnected(id);
        while engine.is_referenced(BackendId(1)) {
            pause().await;
            waits += 1;
            assert!(waits < 2000, "it is not forgotten");
        }
    });
    wait_for_disconnect(&end);
}

#[test]
fn the_module_forgets_backends_that_are_gone_and_keeps_count_of_those_with_calls() {
    let mut harness = BalancerHarness::new(safe_settings(), &[endpoint(1)]);
    let first = sends(&harness.request(1));
    assert_eq!(first, [(1, 1)]);
    for new in 2..500 {
        harness.handle(Event::Endpoints(EndpointUpdate::Full(&[endpoint(new), endpoint(1000 + new)])));
        // Calls go on meanwhile, and their places are not mixed up.
        harness.now += 0.01;
        let id = u64::from(new);
        let to = sends(&harness.request(id))[0].1;
        assert!(to == new || to == 1000 + new, "{to} at {new}");
        let over = harness.end_attempt(id, 0, to, Outcome::Success, 0.01);
        assert!(!is_rejected(&over, id));
    }
    assert!(harness.balancer.backends_known() <= 5, "{}", harness.balancer.backends_known());
    // The first call's backend is known until its attempt has ended.
    assert!(harness.balancer.backends_known() > 2);
    harness.end_attempt(1, 0, 1, Outcome::Success, 1.0);
    harness.handle(Event::Endpoints(EndpointUpdate::Changes(&[])));
    harness.handle(Event::Endpoints(EndpointUpdate::Full(&[endpoint(499)])));
    assert_eq!(harness.balancer.backends_known(), 1);
}
