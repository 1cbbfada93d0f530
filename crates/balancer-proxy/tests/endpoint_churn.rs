//! Backends that are replaced again and again. The engine must discard the state of a removed backend, or its
//! memory would grow with each replacement, but not before the last attempt on that backend has ended.

mod common;

use balancer::{BackendId, Effect, Endpoint, Request, RequestClass, Settings, Tier};
use balancer_proxy::control::discovery::WatchListener;
use balancer_proxy::engine::Engine;
use balancer_proxy::metrics::Metrics;
use balancer_proxy::settings::{ProxySettings, SettingsSnapshot};
use balancer_proxy::upstream::forwarded_request::{ForwardedBody, ForwardedRequest};
use balancer_proxy::watch_event::{ListedEndpoint, WatchEvent};
use common::stub_server::{Reply, StubServer};
use common::waiting::{TEST_TIMEOUT, next_unique_number, wait_for_disconnect};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::mpsc::channel;
use std::time::Duration;

/// Interval at which a test evaluates a condition of the engine.
const CONDITION_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Returns settings of an inner balancer with one class of safe requests. The class allows a request more
/// time than the test takes, so that an attempt without a response stays in flight.
fn settings_of_one_safe_class() -> Settings {
    let class = RequestClass {
        latency_objective: TEST_TIMEOUT.as_secs_f64(),
        max_timeout: TEST_TIMEOUT.as_secs_f64(),
        effect: Effect::Safe,
        ..RequestClass::default()
    };
    Settings { classes: vec![class], tier: Tier(1), ..Settings::default() }
}

fn listed_endpoint(id: u32, address: SocketAddr) -> ListedEndpoint {
    ListedEndpoint { endpoint: Endpoint { id: BackendId(id), ..Endpoint::default() }, address }
}

/// Starts an engine with a drain grace period of 100 ms.
fn start_engine() -> Rc<Engine> {
    let proxy = ProxySettings {
        connect_timeout: TEST_TIMEOUT,
        idle_timeout: TEST_TIMEOUT,
        drain_grace_period: Duration::from_millis(100),
        max_open_requests: 10,
        ..ProxySettings::default()
    };
    let metrics = Metrics::new(&proxy);
    Engine::start(SettingsSnapshot { balancer: settings_of_one_safe_class(), proxy }.into(), 1, 10, metrics)
}

#[test]
fn engine_discards_a_removed_backend_once_no_attempt_on_it_is_in_flight() {
    let (report_disconnect, disconnected) = channel();
    let backend = StubServer::new(move |_, _| Reply::HangAndReport(report_disconnect.clone()));
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let engine = start_engine();
        engine.on_watch_event(WatchEvent::Full(vec![listed_endpoint(1, backend.address)]));
        let payload = ForwardedRequest {
            method: hyper::Method::GET,
            uri: "/api".parse().unwrap(),
            headers: [("host".parse().unwrap(), "app.svc".parse().unwrap())].into_iter().collect(),
            body: ForwardedBody::Buffered("".into()),
        };
        let request = Request { timeout: TEST_TIMEOUT.as_secs_f64(), ..Request::default() };
        let id = next_unique_number() as u64;
        let submitted = engine.submit(id, request, payload).unwrap();
        let pause = || tokio::time::sleep(CONDITION_POLL_INTERVAL);
        while backend.request_count() == 0 {
            pause().await;
        }

        for id in 2..50 {
            engine.on_watch_event(WatchEvent::Full(vec![listed_endpoint(id, backend.address)]));
        }

        // The bound is many times the grace period and the interval of the removal of expired backends.
        let mut pauses = 0;
        while (2..49).any(|id| engine.is_backend_in_use(BackendId(id))) {
            pause().await;
            pauses += 1;
            assert!(pauses < 1000, "the engine still holds removed backends without attempts");
        }
        assert!(engine.is_backend_in_use(BackendId(49)), "the engine discarded the listed backend");
        assert!(
            engine.is_backend_in_use(BackendId(1)),
            "the engine discarded a backend with an attempt in flight"
        );
        engine.abandon(submitted.id);
        while engine.is_backend_in_use(BackendId(1)) {
            pause().await;
            pauses += 1;
            assert!(pauses < 2000, "the engine still holds the backend of the ended attempt");
        }
    });
    wait_for_disconnect(&disconnected);
}
