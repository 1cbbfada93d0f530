//! Backends that are replaced again and again: removed ones are forgotten, and not before the last
//! reference to them is gone.

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
use std::rc::Rc;
use std::sync::mpsc::channel;
use std::time::Duration;

/// Interval at which a test evaluates a condition of the engine.
const CONDITION_INTERVAL: Duration = Duration::from_millis(20);

fn listed(id: u32, address: SocketAddr) -> ListedEndpoint {
    ListedEndpoint { endpoint: endpoint(id), address }
}

/// An engine whose discovery notifies it of removed backends, with a short grace period.
fn start_engine() -> Rc<Engine> {
    let proxy = ProxySettings {
        connect_timeout: TEST_TIMEOUT,
        idle_timeout: TEST_TIMEOUT,
        drain_grace_period: Duration::from_millis(100),
        max_open_requests: 10,
        ..ProxySettings::default()
    };
    let metrics = Metrics::new(&proxy);
    Engine::start(SettingsSnapshot { balancer: safe_settings(), proxy }.into(), 1, 10, metrics)
}

#[test]
fn the_engine_forgets_a_removed_backend_once_no_attempt_is_in_flight() {
    let (report_disconnect, disconnected) = channel();
    let backend = StubServer::new(move |_, _| Reply::HangAndReport(report_disconnect.clone()));
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let engine = start_engine();
        engine.on_watch_event(WatchEvent::Full(vec![listed(1, backend.address)]));
        let payload = ForwardedRequest {
            method: hyper::Method::GET,
            uri: "/api".parse().unwrap(),
            headers: [("host".parse().unwrap(), "app.svc".parse().unwrap())].into_iter().collect(),
            body: ForwardedBody::Buffered("".into()),
        };
        let request = Request { timeout: 20.0, ..Request::default() };
        let id = next_unique_number() as u64;
        let (id, _response) = engine.submit(id, request, payload).unwrap();
        let pause = || tokio::time::sleep(CONDITION_INTERVAL);
        while backend.request_count() == 0 {
            pause().await;
        }

        for id in 2..50 {
            engine.on_watch_event(WatchEvent::Full(vec![listed(id, backend.address)]));
        }

        // Many times the grace period and the interval of the next sweep.
        let mut pauses = 0;
        while (2..49).any(|id| engine.is_backend_known(BackendId(id))) {
            pause().await;
            pauses += 1;
            assert!(pauses < 1000, "they are not forgotten");
        }
        assert!(engine.is_backend_known(BackendId(49)), "the one that is listed");
        assert!(engine.is_backend_known(BackendId(1)), "the one with an attempt in flight");
        engine.client_disconnected(id);
        while engine.is_backend_known(BackendId(1)) {
            pause().await;
            pauses += 1;
            assert!(pauses < 2000, "it is not forgotten");
        }
    });
    wait_for_disconnect(&disconnected);
}

#[test]
fn the_decision_module_forgets_removed_backends_without_attempts_in_flight() {
    let mut harness = BalancerHarness::new(safe_settings(), &[endpoint(1)]);
    let first = sends(&harness.request(1));
    assert_eq!(first, [(1, 1)]);

    for id in 2..500 {
        harness.handle(Event::Endpoints(EndpointUpdate::Full(&[endpoint(id), endpoint(1000 + id)])));
        // Requests go on meanwhile, and are attributed to the right backends.
        harness.now += 0.01;
        let request = u64::from(id);
        let backend = sends(&harness.request(request))[0].1;
        assert!(backend == id || backend == 1000 + id, "{backend} at {id}");
        let actions = harness.end_attempt(request, 0, backend, Outcome::Success, 0.01);
        assert!(!is_rejected(&actions, request));
    }

    assert!(harness.balancer.backends_known() <= 5, "{}", harness.balancer.backends_known());
    // The backend of the first request is known until its attempt has ended.
    assert!(harness.balancer.backends_known() > 2);
    harness.end_attempt(1, 0, 1, Outcome::Success, 1.0);
    harness.handle(Event::Endpoints(EndpointUpdate::Changes(&[])));
    harness.handle(Event::Endpoints(EndpointUpdate::Full(&[endpoint(499)])));
    assert_eq!(harness.balancer.backends_known(), 1);
}
