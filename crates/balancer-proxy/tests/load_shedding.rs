//! Load shedding at the entry tier, with backends that stop responding for some time.

mod common;

use common::configuration::{default_settings, request, serving_list};
use common::http::response;
use common::proxy_process::ProxyProcess;
use common::stub_server::{Reply, StubServer, silent_discovery};
use common::waiting::{TEST_TIMEOUT, wait_for};
use serde_json::{Value, json};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Returns settings of the entry tier with one attempt for each request and this latency objective in
/// seconds.
fn entry_tier_settings(latency_objective_s: f64) -> Value {
    let mut settings = default_settings();
    settings["tier"] = json!(0);
    settings["caps"]["max-attempts"] = json!(1);
    for class in settings["classes"].as_array_mut().unwrap() {
        class["on-time"] = json!(latency_objective_s);
    }
    settings
}

/// Starts backends that respond after `response_time`. While `is_stalled` is set, the backends do not
/// respond, for `TEST_TIMEOUT` at most.
fn start_stalling_backends<const COUNT: usize>(
    is_stalled: &Arc<AtomicBool>,
    response_time: Duration,
) -> [StubServer; COUNT] {
    std::array::from_fn(|_| {
        let is_stalled = is_stalled.clone();
        StubServer::new(move |_, _| {
            std::thread::sleep(response_time);
            let start = Instant::now();
            while is_stalled.load(Ordering::SeqCst) && start.elapsed() < TEST_TIMEOUT {
                std::thread::sleep(Duration::from_millis(5));
            }
            Reply::Respond(response("200 OK", "hello"))
        })
    })
}

fn total_requests(backends: &[StubServer]) -> usize {
    backends.iter().map(StubServer::request_count).sum()
}

/// A backend that responds after 50 ms, and does not respond while it is stalled.
struct StallingBackend {
    server: StubServer,
    is_stalled: Arc<AtomicBool>,
}

impl StallingBackend {
    fn new() -> Self {
        let is_stalled = Arc::new(AtomicBool::new(false));
        let [server] = start_stalling_backends(&is_stalled, Duration::from_millis(50));
        Self { server, is_stalled }
    }

    fn set_stalled(&self, is_stalled: bool) {
        self.is_stalled.store(is_stalled, Ordering::SeqCst);
    }
}

#[test]
fn sends_no_further_requests_to_a_stalled_backend() {
    // The other backend still responds, so that it may have more requests in flight than the stalled one.
    let backends = [StallingBackend::new(), StallingBackend::new()];
    let cached_list = serving_list(&backends.each_ref().map(|backend| &backend.server));
    let proxy = ProxyProcess::start(&entry_tier_settings(20.0), &cached_list, silent_discovery().address);
    let send = || proxy.exchange(&request("order", 19_000)).status();
    // Two requests are sent at a time: single requests may all go to the backend that was slightly faster.
    wait_for("two requests at each backend", || {
        std::thread::scope(|scope| {
            let clients = [(); 2].map(|()| scope.spawn(send));
            assert!(clients.into_iter().all(|client| client.join().unwrap() == 200));
        });
        backends.iter().all(|backend| backend.server.request_count() > 1)
    });

    // The backend that receives the next request stays stalled.
    let counts_before = backends.each_ref().map(|backend| backend.server.request_count());
    let next_receiver =
        || (0..backends.len()).find(|index| backends[*index].server.request_count() > counts_before[*index]);
    for backend in &backends {
        backend.set_stalled(true);
    }
    std::thread::scope(|scope| {
        scope.spawn(send);
        wait_for("a request at a stalled backend", || next_receiver().is_some());
        let outlier = next_receiver().unwrap();
        backends[1 - outlier].set_stalled(false);

        // The pause is 20 times the usual latency, so that the missing response counts as abnormal.
        std::thread::sleep(Duration::from_secs(1));
        for _ in 0..5 {
            let clients = [(); 3].map(|()| scope.spawn(send));
            assert!(clients.into_iter().all(|client| client.join().unwrap() == 200));
        }

        assert_eq!(backends[outlier].server.request_count(), counts_before[outlier] + 1);
        backends[outlier].set_stalled(false);
    });
}

#[test]
fn rejects_no_request_with_few_in_flight_at_each_backend_even_far_above_the_usual_load() {
    let is_stalled = Arc::new(AtomicBool::new(false));
    let backends: [StubServer; 4] = start_stalling_backends(&is_stalled, Duration::ZERO);
    let mut settings = entry_tier_settings(6.0);
    settings["n-instances"] = json!(2);
    let cached_list = serving_list(&backends.each_ref());
    let proxy = ProxyProcess::start(&settings, &cached_list, silent_discovery().address);
    let send = || proxy.exchange(&request("order", 19_000)).status();
    for _ in 0..30 {
        assert_eq!(send(), 200);
    }

    is_stalled.store(true, Ordering::SeqCst);
    std::thread::scope(|scope| {
        for stalled_requests in 1..=4 {
            scope.spawn(send);
            wait_for("a request at a stalled backend", || total_requests(&backends) == 30 + stalled_requests);
        }
        // Four requests in flight for 3 s are a lasting excess over the usual load.
        std::thread::sleep(Duration::from_secs(3));
        let fifth = scope.spawn(send);
        let start = Instant::now();
        while total_requests(&backends) < 35 && start.elapsed() < Duration::from_secs(10) {
            std::thread::sleep(Duration::from_millis(5));
        }
        is_stalled.store(false, Ordering::SeqCst);

        assert_eq!(fifth.join().unwrap(), 200);
    });
}

#[test]
fn rejects_no_request_in_a_short_overload() {
    let is_stalled = Arc::new(AtomicBool::new(false));
    let backends: [StubServer; 1] = start_stalling_backends(&is_stalled, Duration::ZERO);
    let cached_list = serving_list(&backends.each_ref());
    let proxy = ProxyProcess::start(&entry_tier_settings(20.0), &cached_list, silent_discovery().address);
    let send = || proxy.exchange(&request("order", 19_000)).status();
    for _ in 0..30 {
        assert_eq!(send(), 200);
    }

    is_stalled.store(true, Ordering::SeqCst);
    std::thread::scope(|scope| {
        let clients: Vec<_> = (0..30).map(|_| scope.spawn(send)).collect();
        wait_for("the first requests at the stalled backend", || total_requests(&backends) > 32);
        // All requests arrive within this time, which is far shorter than their longest time in a queue.
        std::thread::sleep(Duration::from_millis(500));
        // The proxy does not send all requests to the overloaded backend.
        assert!(total_requests(&backends) < 55, "{}", total_requests(&backends));
        is_stalled.store(false, Ordering::SeqCst);

        assert!(clients.into_iter().all(|client| client.join().unwrap() == 200));
    });
}

/// The response to one request, with the time until it arrived.
#[derive(Debug)]
struct TimedResponse {
    status: u16,
    has_retry_after: bool,
    elapsed: Duration,
}

#[test]
fn rejects_with_retry_after_long_before_the_deadline_in_a_lasting_overload() {
    let is_stalled = Arc::new(AtomicBool::new(false));
    let backends: [StubServer; 1] = start_stalling_backends(&is_stalled, Duration::ZERO);
    let cached_list = serving_list(&backends.each_ref());
    let proxy = ProxyProcess::start(&entry_tier_settings(4.0), &cached_list, silent_discovery().address);
    let send = || {
        let start = Instant::now();
        let reply = proxy.exchange(&request("order", 19_000));
        let has_retry_after = reply.header("retry-after").is_some();
        TimedResponse { status: reply.status(), has_retry_after, elapsed: start.elapsed() }
    };
    for _ in 0..30 {
        assert_eq!(send().status, 200);
    }

    is_stalled.store(true, Ordering::SeqCst);
    std::thread::scope(|scope| {
        let clients: Vec<_> = (0..30).map(|_| scope.spawn(send)).collect();
        let responses = clients.into_iter().map(|client| client.join().unwrap());
        let rejected: Vec<_> = responses.filter(|reply| [429, 503].contains(&reply.status)).collect();
        is_stalled.store(false, Ordering::SeqCst);

        assert!(rejected.len() > 10, "{rejected:?}");
        assert!(
            rejected.iter().all(|reply| reply.has_retry_after && reply.elapsed < Duration::from_secs(10)),
            "{rejected:?}"
        );
    });
}
