//! Reload of settings by SIGHUP: new settings come into force completely, and a reload loses no request.

mod common;

use common::configuration::{default_settings, request, request_with_framing};
use common::http::{HttpMessage, exchange, read_head, read_message, response};
use common::proxy_process::ProxyProcess;
use common::settings_reload::{reload_configuration, settings_metrics, start_proxy, versioned_configuration};
use common::stub_server::{Reply, StubServer, silent_discovery};
use common::waiting::{TEST_TIMEOUT, wait_for};
use serde_json::{Value, json};
use std::io::Write;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Returns a class of the default settings with this name and effect.
fn named_class(name: &str, effect: &str) -> Value {
    let mut class = default_settings()["classes"][0].clone();
    class["name"] = json!(name);
    class["effect"] = json!(effect);
    class
}

/// Starts backends that hold the response to a request with the body `held` until `released` receives a
/// value. The first request of class `look` fails at either of them.
fn start_holding_and_failing_backends(
    released: Receiver<()>,
    has_failed: &Arc<AtomicBool>,
) -> [StubServer; 2] {
    let released = Arc::new(Mutex::new(released));
    [0, 1].map(|_| {
        let (released, has_failed) = (released.clone(), has_failed.clone());
        StubServer::new(move |_, message| match message.header("x-lane") {
            Some("look") if !has_failed.swap(true, Ordering::SeqCst) => Reply::Close,
            Some("order") if message.body == b"held" => {
                released.lock().unwrap().recv_timeout(TEST_TIMEOUT).unwrap();
                Reply::Respond(response("200 OK", "held"))
            }
            _ => Reply::Respond(response("200 OK", "hello")),
        })
    })
}

#[test]
fn open_requests_keep_the_settings_of_their_arrival_and_count_for_their_class() {
    let (release, released) = channel();
    let has_failed = Arc::default();
    let backends = start_holding_and_failing_backends(released, &has_failed);
    let connections = || backends.iter().map(StubServer::connection_count).sum::<usize>();
    let mut configuration = versioned_configuration(1, &[&backends[0], &backends[1]]);
    let proxy = start_proxy(&configuration);
    assert_eq!(settings_metrics(&proxy), [Some(1), Some(0), Some(0)]);
    // Two requests are without their bodies. The proxy has asked for the bodies, so it has read the heads.
    let mut without_body = ["save", "order"].map(|class| {
        let text = request_with_framing(class, "Expect: 100-continue\r\nContent-Length: 4\r\n\r\n");
        let mut stream = proxy.begin_request(&text);
        assert_eq!(read_head(&mut stream).unwrap().status(), 100);
        stream
    });
    // The next request waits for its response.
    let mut waiting = proxy.begin_request(&request("order", 9000).replace("body", "held"));
    wait_for("an attempt", || connections() == 1);
    // The body of the next request is still being streamed.
    let mut streamed = proxy.begin_request(&request_with_framing("order", "Content-Length: 200000\r\n\r\n"));
    streamed.get_mut().write_all(&[b'x'; 100_000]).unwrap();
    wait_for("a second attempt", || connections() == 2);
    // The next request waits for its retry.
    let mut failed = proxy.begin_request(&request("look", 4000));
    wait_for("a failed attempt", || has_failed.load(Ordering::SeqCst));

    configuration["settings"]["version"] = json!(2);
    configuration["settings"]["classes"] =
        json!([named_class("order", "single_shot"), named_class("gaze", "free")]);
    configuration["settings"]["projects"] = json!([{"name": "other", "quota-per-s": 1.0}, {"name": "acme"}]);
    configuration["settings"]["caps"]["max-attempts"] = json!(1);
    reload_configuration(&proxy, &configuration);

    assert_eq!(settings_metrics(&proxy), [Some(2), Some(1), Some(0)]);
    // The reload has removed the class of the first request and changed the index of the second one's class.
    for (stream, status) in without_body.iter_mut().zip([400, 200]) {
        stream.get_mut().write_all(b"body").unwrap();
        let reply = read_message(stream).unwrap();
        assert_eq!(reply.status(), status, "{}", String::from_utf8_lossy(&reply.body));
    }
    release.send(()).unwrap();
    assert_eq!(read_message(&mut waiting).unwrap().body, b"held");
    streamed.get_mut().write_all(&[b'x'; 100_000]).unwrap();
    assert_eq!(read_message(&mut streamed).unwrap().status(), 200);
    assert_eq!(
        read_message(&mut failed).unwrap().status(),
        200,
        "the request failed after one attempt, with four allowed on its arrival"
    );
    let of_other_tenant = request("order", 9000).replace("X-Org: acme", "X-Org: other");
    assert_eq!(
        (proxy.exchange(&of_other_tenant).status(), proxy.exchange(&request("save", 9000)).status()),
        (200, 400)
    );
    let succeeded = |class: &str| proxy.stats()["results"][class]["succeeded"].clone();
    assert_eq!((succeeded("order"), succeeded("look"), succeeded("save")), (json!(4), json!(1), Value::Null));

    // The counts of a class continue when the class is added again.
    configuration["settings"] = default_settings();
    configuration["settings"]["version"] = json!(3);
    reload_configuration(&proxy, &configuration);
    assert_eq!(proxy.exchange(&request("look", 9000)).status(), 200);
    assert_eq!((succeeded("order"), succeeded("look"), succeeded("gaze")), (json!(4), json!(2), Value::Null));
    assert_eq!(proxy.stats()["outstanding"], json!(0));
}

#[test]
fn many_reloads_end_with_the_last_file_in_force_and_every_request_gets_its_response() {
    let backends = ["zero", "one"].map(StubServer::responding_with);
    let proxy = start_proxy(&versioned_configuration(0, &[&backends[0], &backends[1]]));
    let is_done = AtomicBool::new(false);
    std::thread::scope(|scope| {
        let send_until_done = || {
            let mut stream = proxy.connect();
            let mut requests = 0;
            while !is_done.load(Ordering::SeqCst) {
                assert_eq!(exchange(&mut stream, &request("look", 9000)).status(), 200);
                requests += 1;
            }
            requests
        };
        let clients: Vec<_> = (0..4).map(|_| scope.spawn(send_until_done)).collect();

        for version in 1..=200 {
            let mut configuration = versioned_configuration(version, &[&backends[0], &backends[1]]);
            configuration["settings"]["classes"].as_array_mut().unwrap().rotate_left(version as usize % 3);
            configuration["settings"]["n-instances"] = json!(1 + version % 5);
            let text = configuration.to_string();
            let is_truncated = version % 3 == 0;
            proxy.replace_configuration_text(if is_truncated { &text[..text.len() / 2] } else { &text });
            proxy.signal("-HUP");
        }
        wait_for("the last version of the settings", || settings_metrics(&proxy)[0] == Some(200));
        is_done.store(true, Ordering::SeqCst);

        let requests: u64 = clients.into_iter().map(|client| client.join().unwrap()).sum();
        let stats = proxy.stats();
        assert_eq!(stats["results"]["look"], json!({"succeeded": requests, "declined": 0, "aborted": 0}));
        assert_eq!(stats["outstanding"], json!(0));
    });
}

#[test]
fn a_lower_socket_limit_closes_idle_connections_and_ends_no_request() {
    let (backend, release) = StubServer::holding_first_response("hello");
    let mut configuration = versioned_configuration(1, &[&backend]);
    let proxy = start_proxy(&configuration);
    let mut waiting = proxy.begin_request(&request("order", 20_000));
    wait_for("an attempt", || backend.request_count() == 1);
    let mut idle: Vec<_> = (0..80).map(|_| proxy.connect()).collect();
    for stream in &mut idle {
        assert_eq!(exchange(stream, &request("look", 9000)).status(), 200);
    }
    assert!(proxy.open_descriptors() > 80);

    configuration["limits"]["sockets"] = json!(90);
    proxy.replace_configuration(&configuration);
    proxy.signal("-HUP");

    // Only the limit has changed, so the settings count as unchanged.
    wait_for("a decrease of the open descriptors", || {
        proxy.open_descriptors() <= 70 && settings_metrics(&proxy) == [Some(1), Some(0), Some(0)]
    });
    release.send(()).unwrap();
    assert_eq!(read_message(&mut waiting).unwrap().status(), 200);
}

/// Sends 20 requests, checks that more than half get one of these response bodies, and returns all bodies.
/// The others may come from another zone: a member of the proxy's own zone that was slow once may get no
/// request for some time.
fn check_most_responses(proxy: &ProxyProcess, expected: &[&[u8]]) -> Vec<Vec<u8>> {
    let bodies: Vec<_> = (0..20).map(|_| proxy.exchange(&request("order", 9000)).body).collect();
    assert!(bodies.iter().filter(|body| expected.contains(&&***body)).count() > 10, "{bodies:?}");
    bodies
}

#[test]
fn zones_and_maintenance_stay_in_force_after_reloads() {
    let backends = ["zero", "one", "two"].map(StubServer::responding_with);
    let mut configuration = versioned_configuration(1, &[&backends[0], &backends[1], &backends[2]]);
    configuration["known"]["instances"][1]["zone"] = json!("b");
    configuration["settings"]["zones"] = json!(["a", "b"]);
    configuration["settings"]["costs"] = json!({"cross-zone": 1.0});
    let proxy = start_proxy(&configuration);
    check_most_responses(&proxy, &[b"zero", b"two"]);
    assert!(proxy.management_call("maint-on s-0\n").starts_with("OK"));

    for (version, zones, own_zone, expected) in [
        (2, json!(["b", "a"]), "a", b"two"),
        (3, json!(["new", "b"]), "a", b"two"),
        (4, json!(["new", "a", "b"]), "b", b"one"),
    ] {
        configuration["settings"]["zones"] = zones;
        configuration["settings"]["zone"] = json!(own_zone);
        configuration["settings"]["version"] = json!(version);
        reload_configuration(&proxy, &configuration);

        assert!(!check_most_responses(&proxy, &[expected]).contains(&b"zero".to_vec()));
        assert!(proxy.stats()["ejected"].as_u64() >= Some(1));
    }
}

#[test]
fn starts_a_watch_at_once_when_a_reload_ends_the_polling_of_the_list() {
    let backend = StubServer::responding_with("hello");
    let discovery = silent_discovery();
    let mut configuration = versioned_configuration(1, &[&backend]);
    configuration["settings"]["registry-mode"] = json!("subscribe");
    configuration["settings"]["rules"]["ask-within"] = json!(600.0);
    let proxy = ProxyProcess::with_configuration(&configuration, discovery.address);
    assert_eq!(proxy.exchange(&request("look", 9000)).status(), 200);
    assert_eq!(discovery.request_count(), 0, "discovery was polled although the poll interval is 600 s");

    configuration["settings"]["registry-mode"] = json!("automatic");
    configuration["settings"]["version"] = json!(2);
    reload_configuration(&proxy, &configuration);
    wait_for("a watch", || discovery.request_count() == 1);

    configuration["settings"]["registry-mode"] = json!("subscribe");
    configuration["settings"]["rules"]["ask-within"] = json!(0.05);
    configuration["settings"]["version"] = json!(3);
    reload_configuration(&proxy, &configuration);
    assert_eq!(discovery.request_count(), 1, "the reload did not keep the watch in progress");
    let is_poll = |call: &HttpMessage| call.start_line.contains("timeout_ms=50 ");
    wait_for("a poll", || discovery.requests.lock().unwrap().iter().any(is_poll));
}

#[test]
fn graceful_shutdown_waits_for_open_requests_under_the_settings_of_their_arrival() {
    let (backend, release) = StubServer::holding_first_response("hello");
    let mut configuration = versioned_configuration(1, &[&backend]);
    let mut proxy = start_proxy(&configuration);
    let mut waiting = proxy.begin_request(&request("order", 20_000));
    wait_for("an attempt", || backend.request_count() == 1);
    configuration["settings"]["classes"] = json!([{"name": "look", "effect": "free", "hard-limit": 0.2}]);
    configuration["settings"]["version"] = json!(2);
    reload_configuration(&proxy, &configuration);

    proxy.signal("-TERM");
    wait_for("the start of the graceful shutdown", || proxy.management_call("status\n").starts_with("ERR"));
    // The process has 3 + 0.7 s from SIGTERM to SIGKILL under the settings of the request's arrival, and
    // would have only 0.2 + 0.7 s under the new settings.
    std::thread::sleep(Duration::from_millis(1500));
    release.send(()).unwrap();

    assert_eq!(read_message(&mut waiting).unwrap().status(), 200);
    wait_for("the exit of the process", || proxy.child.try_wait().unwrap().is_some());
}
