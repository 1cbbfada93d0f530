//! Readiness after a start: discovery can't hold it up, whatever it does, also where many start at once.

mod common;

use common::configuration::{configuration, default_settings, endpoint_list, request, serving_list};
use common::http::response;
use common::late_server::LateServer;
use common::proxy_process::{ProxyProcess, SharedAddress};
use common::stub_server::{Reply, StubServer, silent_discovery};
use common::waiting::wait_for;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::Barrier;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A proxy must be ready so soon after its start.
const READY_WITHIN: Duration = Duration::from_secs(10);

/// Both of the words that it is ready with; a request is served then.
fn is_ready(proxy: &ProxyProcess) -> bool {
    let ready = proxy.exchange("GET /-/ready HTTP/1.1\r\nHost: app.svc\r\n\r\n").status() == 200;
    ready && (proxy.management.is_none() || proxy.management_call("status\n").starts_with("OK"))
}

/// An address that refuses connections.
fn refusing() -> SocketAddr {
    std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

/// A discovery that takes its time for each answer, longer than a start may wait.
fn slow(list: String) -> StubServer {
    StubServer::new(move |_, _| {
        std::thread::sleep(Duration::from_secs(4));
        Reply::Respond(response("200 OK", &list))
    })
}

/// Starts all of these in one moment. Returns how long each took to be ready, and the processes.
fn start_all(starts: Vec<Box<dyn Fn() -> ProxyProcess + Send + Sync>>) -> Vec<(Duration, ProxyProcess)> {
    let (together, begun) = (Barrier::new(starts.len()), Mutex::new(Vec::new()));
    std::thread::scope(|scope| {
        for start in &starts {
            scope.spawn(|| {
                together.wait();
                let began = Instant::now();
                let proxy = start();
                wait_for("readiness", || is_ready(&proxy));
                begun.lock().unwrap().push((began.elapsed(), proxy));
            });
        }
    });
    begun.into_inner().unwrap()
}

fn with_management(mut config: Value) -> Value {
    config["management"] = json!("127.0.0.1:0");
    config
}

#[test]
fn proxies_that_start_at_once_are_ready_in_time_whatever_discovery_does() {
    let backend = StubServer::responding_with("hello");
    let config = configuration(&default_settings(), &serving_list(&[&backend]));
    let (silent, late) = (silent_discovery(), LateServer::with_full_backlog());
    let slow = slow(serving_list(&[&backend]).to_string());
    // It refuses, says nothing, is slow, or its connections don't come up.
    let discoveries = [refusing(), silent.address, slow.address, late.address];
    let mut starts: Vec<Box<dyn Fn() -> ProxyProcess + Send + Sync>> = Vec::new();
    let places: Vec<_> = (0..8).map(|_| Arc::new(SharedAddress::new())).collect();
    // Those that take over from another process ask discovery first, and others have been killed.
    let before: Vec<_> = places.iter().map(|shared_address| shared_address.start(&config)).collect();
    before.iter().for_each(|old| wait_for("readiness", || is_ready(old)));
    for (nth, mut old) in before.into_iter().enumerate() {
        let (config, shared_address, at) = (config.clone(), places[nth].clone(), discoveries[nth % 4]);
        if nth < 4 {
            old.child.kill().unwrap();
            old.child.wait().unwrap();
            starts.push(Box::new(move || shared_address.start_with_discovery(&config, at)));
        } else {
            let old = Mutex::new(Some(old));
            starts.push(Box::new(move || {
                let next = shared_address.start_with_discovery(&config, at);
                // It listens: the one before is not needed any more, nor may it answer for this one.
                drop(old.lock().unwrap().take());
                next
            }));
        }
    }
    for nth in 0..16 {
        let at = discoveries[nth % 4];
        let config = if nth < 8 { config.clone() } else { with_management(config.clone()) };
        starts.push(Box::new(move || ProxyProcess::with_configuration(&config, at)));
    }
    for (took, proxy) in start_all(starts) {
        assert!(took < READY_WITHIN, "{took:?}");
        assert_eq!(proxy.exchange(&request("look", 9000)).body, b"hello");
    }
}

#[test]
fn a_proxy_that_has_never_had_a_list_is_ready_as_soon_as_discovery_tells_it() {
    let backend = StubServer::responding_with("hello");
    for mode in ["automatic", "subscribe"] {
        let up = Arc::new(AtomicBool::new(false));
        let (told, whole) = (up.clone(), serving_list(&[&backend]).to_string());
        let discovery = StubServer::new(move |_, message| match told.load(Ordering::SeqCst) {
            true if !message.start_line.contains("since=1&") => Reply::Respond(response("200 OK", &whole)),
            true => Reply::Hang,
            false => Reply::Close,
        });
        let mut settings = default_settings();
        settings["registry-mode"] = json!(mode);
        settings["rules"]["ask-within"] = json!(2.0);
        let proxy = ProxyProcess::with_configuration(
            &with_management(configuration(&settings, &endpoint_list(0, true, &[]))),
            discovery.address,
        );
        wait_for("calls", || discovery.request_count() >= 3);
        assert!(!is_ready(&proxy) && proxy.management_call("status\n").starts_with("ERR"), "{mode}");
        let returned = Instant::now();
        up.store(true, Ordering::SeqCst);
        wait_for("readiness", || is_ready(&proxy));
        assert!(returned.elapsed() < Duration::from_secs(6), "{mode}: {:?}", returned.elapsed());
        assert_eq!(proxy.exchange(&request("look", 9000)).body, b"hello", "{mode}");
    }
}
