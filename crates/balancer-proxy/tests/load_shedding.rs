//! Load shedding at the entry tier, with real backends that stop responding for a while.

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

/// Settings of the entry tier with one attempt for each request and a latency objective in seconds.
fn entry_settings(latency_objective: f64) -> Value {
    let mut settings = default_settings();
    settings["tier"] = json!(0);
    settings["caps"]["max-attempts"] = json!(1);
    for class in settings["classes"].as_array_mut().unwrap() {
        class["on-time"] = json!(latency_objective);
    }
    settings
}

/// Starts backends that respond after `response_time`. While `stuck` is set, the backends do not respond,
/// for `TEST_TIMEOUT` at most.
fn backends_that_get_stuck<const COUNT: usize>(
    stuck: &Arc<AtomicBool>,
    response_time: Duration,
) -> [StubServer; COUNT] {
    std::array::from_fn(|_| {
        let stuck = stuck.clone();
        StubServer::new(move |_, _| {
            std::thread::sleep(response_time);
            let start = Instant::now();
            while stuck.load(Ordering::SeqCst) && start.elapsed() < TEST_TIMEOUT {
                std::thread::sleep(Duration::from_millis(5));
            }
            Reply::Respond(response("200 OK", "hello"))
        })
    })
}

fn total_requests(backends: &[StubServer]) -> usize {
    backends.iter().map(StubServer::request_count).sum()
}

/// Starts a backend that responds after 50 ms, unless the backend is stuck.
struct StallingBackend {
    server: StubServer,
    is_stuck: Arc<AtomicBool>,
}

impl StallingBackend {
    fn new() -> Self {
        let is_stuck = Arc::new(AtomicBool::new(false));
        let [server] = backends_that_get_stuck(&is_stuck, Duration::from_millis(50));
        Self { server, is_stuck }
    }

    fn set_stuck(&self, is_stuck: bool) {
        self.is_stuck.store(is_stuck, Ordering::SeqCst);
    }
}

#[test]
fn requests_do_not_pile_up_at_a_backend_that_is_stuck() {
    // The other backend still responds, and so may have more in flight than the stuck one.
    let backends = [StallingBackend::new(), StallingBackend::new()];
    let cached_list = serving_list(&backends.each_ref().map(|backend| &backend.server));
    let proxy = ProxyProcess::start(&entry_settings(20.0), &cached_list, silent_discovery().address);
    let send = || proxy.exchange(&request("order", 19_000)).status();
    // Two requests are sent at a time: single ones may all go to the backend that was a little faster.
    wait_for("responses of each", || {
        std::thread::scope(|scope| {
            let clients = [(); 2].map(|()| scope.spawn(send));
            assert!(clients.into_iter().all(|client| client.join().unwrap() == 200));
        });
        backends.iter().all(|backend| backend.server.request_count() > 1)
    });

    // The backend to which the proxy happens to send the next request stays stuck.
    let counts_before = backends.each_ref().map(|backend| backend.server.request_count());
    let next_receiver =
        || (0..backends.len()).find(|index| backends[*index].server.request_count() > counts_before[*index]);
    for backend in &backends {
        backend.set_stuck(true);
    }
    std::thread::scope(|scope| {
        scope.spawn(send);
        wait_for("request", || next_receiver().is_some());
        let outlier = next_receiver().unwrap();
        backends[1 - outlier].set_stuck(false);

        // This is twenty times the usual latency, so that the silence shows.
        std::thread::sleep(Duration::from_secs(1));
        for _ in 0..5 {
            let clients = [(); 3].map(|()| scope.spawn(send));
            assert!(clients.into_iter().all(|client| client.join().unwrap() == 200));
        }

        assert_eq!(backends[outlier].server.request_count(), counts_before[outlier] + 1);
        backends[outlier].set_stuck(false);
    });
}

#[test]
fn a_few_requests_at_each_backend_are_no_overload_however_far_above_the_usual_load() {
    let stuck = Arc::new(AtomicBool::new(false));
    let backends: [StubServer; 4] = backends_that_get_stuck(&stuck, Duration::ZERO);
    let mut settings = entry_settings(6.0);
    settings["n-instances"] = json!(2);
    let cached_list = serving_list(&backends.each_ref());
    let proxy = ProxyProcess::start(&settings, &cached_list, silent_discovery().address);
    let send = || proxy.exchange(&request("order", 19_000)).status();
    for _ in 0..30 {
        assert_eq!(send(), 200);
    }

    stuck.store(true, Ordering::SeqCst);
    std::thread::scope(|scope| {
        for more in 1..=4 {
            scope.spawn(send);
            wait_for("request", || total_requests(&backends) == 30 + more);
        }
        // This many in flight for this long are an excess that lasts.
        std::thread::sleep(Duration::from_secs(3));
        let fifth = scope.spawn(send);
        let start = Instant::now();
        while total_requests(&backends) < 35 && start.elapsed() < Duration::from_secs(10) {
            std::thread::sleep(Duration::from_millis(5));
        }
        stuck.store(false, Ordering::SeqCst);

        assert_eq!(fifth.join().unwrap(), 200);
    });
}

#[test]
fn rejects_nothing_in_an_overload_that_ends_soon() {
    let stuck = Arc::new(AtomicBool::new(false));
    let backends: [StubServer; 1] = backends_that_get_stuck(&stuck, Duration::ZERO);
    let cached_list = serving_list(&backends.each_ref());
    let proxy = ProxyProcess::start(&entry_settings(20.0), &cached_list, silent_discovery().address);
    let send = || proxy.exchange(&request("order", 19_000)).status();
    for _ in 0..30 {
        assert_eq!(send(), 200);
    }

    stuck.store(true, Ordering::SeqCst);
    std::thread::scope(|scope| {
        let clients: Vec<_> = (0..30).map(|_| scope.spawn(send)).collect();
        wait_for("requests", || total_requests(&backends) > 32);
        // All requests arrive in this time, which is far less than they may wait.
        std::thread::sleep(Duration::from_millis(500));
        // Not all are sent to the backend that is overloaded.
        assert!(total_requests(&backends) < 55, "{}", total_requests(&backends));
        stuck.store(false, Ordering::SeqCst);

        assert!(clients.into_iter().all(|client| client.join().unwrap() == 200));
    });
}

/// The response that a client got, with its time.
#[derive(Debug)]
struct TimedResponse {
    status: u16,
    has_retry_after: bool,
    elapsed: Duration,
}

#[test]
fn rejects_with_retry_after_long_before_the_deadline_in_an_overload_that_lasts() {
    let stuck = Arc::new(AtomicBool::new(false));
    let backends: [StubServer; 1] = backends_that_get_stuck(&stuck, Duration::ZERO);
    let cached_list = serving_list(&backends.each_ref());
    let proxy = ProxyProcess::start(&entry_settings(4.0), &cached_list, silent_discovery().address);
    let send = || {
        let start = Instant::now();
        let reply = proxy.exchange(&request("order", 19_000));
        let has_retry_after = reply.header("retry-after").is_some();
        TimedResponse { status: reply.status(), has_retry_after, elapsed: start.elapsed() }
    };
    for _ in 0..30 {
        assert_eq!(send().status, 200);
    }

    stuck.store(true, Ordering::SeqCst);
    std::thread::scope(|scope| {
        let clients: Vec<_> = (0..30).map(|_| scope.spawn(send)).collect();
        let responses = clients.into_iter().map(|client| client.join().unwrap());
        let rejected: Vec<_> = responses.filter(|reply| [429, 503].contains(&reply.status)).collect();
        stuck.store(false, Ordering::SeqCst);

        assert!(rejected.len() > 10, "{rejected:?}");
        assert!(
            rejected.iter().all(|reply| reply.has_retry_after && reply.elapsed < Duration::from_secs(10)),
            "{rejected:?}"
        );
    });
}
