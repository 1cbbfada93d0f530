//! Readiness after a start: slow, silent or unreachable discovery does not delay it, even when many proxies
//! start at the same moment.

mod common;

use common::closed_address::ClosedAddress;
use common::configuration::{
    configuration, configuration_with_management, default_settings, endpoint_list, request, serving_list,
};
use common::http::response;
use common::late_server::LateServer;
use common::proxy_process::ProxyProcess;
use common::shared_address::SharedAddress;
use common::stub_server::{Reply, StubServer, silent_discovery};
use common::waiting::wait_for;
use serde_json::json;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Barrier, Mutex};
use std::time::{Duration, Instant};

/// The longest time from the start of a proxy until it must be ready.
const MAX_TIME_TO_READINESS: Duration = Duration::from_secs(10);

/// A function that starts one proxy.
type StartProxy = Box<dyn Fn() -> ProxyProcess + Send + Sync>;

/// Returns whether the proxy reports readiness to clients and, if it has a management address, there too.
fn is_ready(proxy: &ProxyProcess) -> bool {
    let ready = proxy.exchange("GET /-/ready HTTP/1.1\r\nHost: app.svc\r\n\r\n").status() == 200;
    ready && (proxy.management.is_none() || proxy.management_call("status\n").starts_with("OK"))
}

/// Starts a discovery whose responses take longer than a starting proxy waits for them.
fn slow_discovery(list: String) -> StubServer {
    StubServer::new(move |_, _| {
        std::thread::sleep(Duration::from_secs(4));
        Reply::Respond(response("200 OK", &list))
    })
}

/// A started proxy and the time that it took to be ready.
struct StartedProxy {
    proxy: ProxyProcess,
    time_to_readiness: Duration,
}

/// Calls all functions at the same moment and waits until each of the proxies is ready.
fn start_simultaneously(starts: &[StartProxy]) -> Vec<StartedProxy> {
    let (barrier, started) = (Barrier::new(starts.len()), Mutex::new(Vec::new()));
    std::thread::scope(|scope| {
        for start in starts {
            scope.spawn(|| {
                barrier.wait();
                let start_time = Instant::now();
                let proxy = start();
                wait_for("the readiness of the proxy", || is_ready(&proxy));
                let time_to_readiness = start_time.elapsed();
                started.lock().unwrap().push(StartedProxy { proxy, time_to_readiness });
            });
        }
    });
    started.into_inner().unwrap()
}

#[test]
fn proxies_started_simultaneously_are_ready_in_time_without_a_timely_discovery_response() {
    let backend = StubServer::responding_with("hello");
    let cached_list = serving_list(&[&backend]);
    let without_management = configuration(&default_settings(), &cached_list);
    let with_management = configuration_with_management(&default_settings(), &cached_list);
    let (silent, late) = (silent_discovery(), LateServer::with_full_backlog());
    let slow = slow_discovery(cached_list.to_string());
    let closed = ClosedAddress::new();
    let discoveries = [closed.address, silent.address, slow.address, late.address];
    let mut starts: Vec<StartProxy> = Vec::new();
    // Four proxies start after another one was killed. Four more start while another one still runs, and call
    // discovery before they are ready.
    let shared_addresses: Vec<_> = (0..8).map(|_| Arc::new(SharedAddress::new())).collect();
    let old_proxies: Vec<_> =
        shared_addresses.iter().map(|shared_address| shared_address.start(&without_management)).collect();
    for old in &old_proxies {
        wait_for("the readiness of the proxy", || is_ready(old));
    }
    for (index, mut old) in old_proxies.into_iter().enumerate() {
        let shared_address = shared_addresses[index].clone();
        let (configuration, discovery) = (without_management.clone(), discoveries[index % 4]);
        if index < 4 {
            old.kill();
            starts.push(Box::new(move || shared_address.start_with_discovery(&configuration, discovery)));
        } else {
            let old = Mutex::new(Some(old));
            starts.push(Box::new(move || {
                let next = shared_address.start_with_discovery(&configuration, discovery);
                // The new proxy listens already. The old one ends so that it cannot respond instead.
                drop(old.lock().unwrap().take());
                next
            }));
        }
    }
    for index in 0..16 {
        let discovery = discoveries[index % 4];
        let configuration = if index < 8 { without_management.clone() } else { with_management.clone() };
        starts.push(Box::new(move || ProxyProcess::with_configuration(&configuration, discovery)));
    }

    let started = start_simultaneously(&starts);

    for StartedProxy { proxy, time_to_readiness } in started {
        assert!(time_to_readiness < MAX_TIME_TO_READINESS, "{time_to_readiness:?}");
        assert_eq!(proxy.exchange(&request("look", 9000)).body, b"hello");
    }
}

#[test]
fn a_proxy_without_a_cached_list_is_ready_soon_after_discovery_responds_again() {
    let backend = StubServer::responding_with("hello");
    for registry_mode in ["automatic", "subscribe"] {
        let is_up = Arc::new(AtomicBool::new(false));
        let (may_respond, full_list) = (is_up.clone(), serving_list(&[&backend]).to_string());
        let discovery = StubServer::new(move |_, message| {
            if !may_respond.load(Ordering::SeqCst) {
                Reply::Close
            } else if message.start_line.contains("since=1&") {
                Reply::Hang
            } else {
                Reply::Respond(response("200 OK", &full_list))
            }
        });
        let mut settings = default_settings();
        settings["registry-mode"] = json!(registry_mode);
        settings["rules"]["ask-within"] = json!(2.0);
        let configuration = configuration_with_management(&settings, &endpoint_list(0, true, &[]));
        let proxy = ProxyProcess::with_configuration(&configuration, discovery.address);
        wait_for("three calls to discovery", || discovery.request_count() >= 3);
        assert!(!is_ready(&proxy) && proxy.management_call("status\n").starts_with("ERR"), "{registry_mode}");

        let returned = Instant::now();
        is_up.store(true, Ordering::SeqCst);
        wait_for("the readiness of the proxy", || is_ready(&proxy));

        assert!(returned.elapsed() < Duration::from_secs(6), "{registry_mode}: {:?}", returned.elapsed());
        assert_eq!(proxy.exchange(&request("look", 9000)).body, b"hello", "{registry_mode}");
    }
}
