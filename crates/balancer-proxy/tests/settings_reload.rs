//! Reload of settings by SIGHUP: new settings come into force completely or not at all, and no request
//! is lost by a reload.

mod common;

use balancer_proxy::metrics::Metrics;
use balancer_proxy::settings::ProxySettings;
use common::configuration::{
    configuration_with_management, default_settings, request, request_with_framing, serving_list,
};
use common::http::{HttpMessage, exchange, read_head, read_message, response};
use common::proxy_process::{ProxyProcess, SharedAddress};
use common::stub_server::{Reply, StubServer, silent_discovery};
use common::waiting::{TEST_TIMEOUT, wait_for};
use hyper::StatusCode;
use serde_json::{Value, json};
use std::io::Write;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A configuration with a management address and this version of its settings.
fn versioned_configuration(version: u64, backends: &[&StubServer]) -> Value {
    let mut configuration = configuration_with_management(&default_settings(), &serving_list(backends));
    configuration["settings"]["version"] = json!(version);
    configuration
}

fn start_proxy(configuration: &Value) -> ProxyProcess {
    ProxyProcess::with_configuration(configuration, silent_discovery().address)
}

fn named_class(name: &str, effect: &str) -> Value {
    let mut class = default_settings()["classes"][0].clone();
    class["name"] = json!(name);
    class["effect"] = json!(effect);
    class
}

/// The settings metrics: the version in force, and the numbers of applied and of rejected files.
fn settings_metrics(proxy: &ProxyProcess) -> Vec<Option<u64>> {
    let stats = proxy.stats();
    ["version", "changed", "refused"].map(|name| stats["settings"][name].as_u64()).to_vec()
}

/// Replaces the file, sends SIGHUP and waits until the file has been applied or rejected.
fn reload(proxy: &ProxyProcess, configuration: &Value) {
    let before = settings_metrics(proxy);
    proxy.replace_configuration(configuration);
    proxy.signal("-HUP");
    wait_for("change", || settings_metrics(proxy) != before);
}

/// Backends that hold the response to a request with the body `held` until `released` gets a value, and
/// fail the first request of class `look`, whichever of them gets it.
fn backends_that_hold_and_fail(
    released: std::sync::mpsc::Receiver<()>,
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
fn open_requests_end_by_the_settings_of_their_arrival_and_count_for_their_class() {
    let (release, released) = channel();
    let has_failed = Arc::default();
    let backends = backends_that_hold_and_fail(released, &has_failed);
    let connections = || backends.iter().map(StubServer::connection_count).sum::<usize>();
    let mut configuration = versioned_configuration(1, &[&backends[0], &backends[1]]);
    let proxy = start_proxy(&configuration);
    assert_eq!(settings_metrics(&proxy), [Some(1), Some(0), Some(0)]);
    // Requests whose bodies are still to come. The proxy asks for them, so it has read the heads.
    let mut without_body = ["save", "order"].map(|class| {
        let text = request_with_framing(class, "Expect: 100-continue\r\nContent-Length: 4\r\n\r\n");
        let mut stream = proxy.begin_request(&text);
        assert_eq!(read_head(&mut stream).unwrap().status(), 100);
        stream
    });
    // One that waits for its response.
    let mut waiting = proxy.begin_request(&request("order", 9000).replace("body", "held"));
    wait_for("attempt", || connections() == 1);
    // One whose body is being streamed.
    let mut streamed = proxy.begin_request(&request_with_framing("order", "Content-Length: 200000\r\n\r\n"));
    streamed.get_mut().write_all(&[b'x'; 100_000]).unwrap();
    wait_for("attempt", || connections() == 2);
    // One that waits for its retry.
    let mut failed = proxy.begin_request(&request("look", 4000));
    wait_for("failed attempt", || has_failed.load(Ordering::SeqCst));

    configuration["settings"]["version"] = json!(2);
    configuration["settings"]["classes"] =
        json!([named_class("order", "single_shot"), named_class("gaze", "free")]);
    configuration["settings"]["projects"] = json!([{"name": "other", "quota-per-s": 1.0}, {"name": "acme"}]);
    configuration["settings"]["caps"]["max-attempts"] = json!(1);
    reload(&proxy, &configuration);

    assert_eq!(settings_metrics(&proxy), [Some(2), Some(1), Some(0)]);
    // The class of the first is removed, that of the second has another index.
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
        "its second attempt, of the four on its arrival"
    );
    let of_other_tenant = request("order", 9000).replace("X-Org: acme", "X-Org: other");
    assert_eq!(
        (proxy.exchange(&of_other_tenant).status(), proxy.exchange(&request("save", 9000)).status()),
        (200, 400)
    );
    let succeeded = |class: &str| proxy.stats()["results"][class]["succeeded"].clone();
    assert_eq!((succeeded("order"), succeeded("look"), succeeded("save")), (json!(4), json!(1), Value::Null));

    // A class that returns counts on.
    configuration["settings"] = default_settings();
    configuration["settings"]["version"] = json!(3);
    reload(&proxy, &configuration);
    assert_eq!(proxy.exchange(&request("look", 9000)).status(), 200);
    assert_eq!((succeeded("order"), succeeded("look"), succeeded("gaze")), (json!(4), json!(2), Value::Null));
    assert_eq!(proxy.stats()["outstanding"], json!(0));
}

/// Invalid values: the path in the file, the value, and what the log line must contain.
fn invalid_values() -> Vec<(&'static str, Value, &'static str)> {
    vec![
        ("/settings/classes/1/name", json!(3), "settings.classes[1].name"),
        ("/settings/classes/1/name", json!("look"), "settings.classes[1].name"),
        ("/settings/classes/0/on-time", json!(-1), "settings.classes[0].on-time"),
        ("/settings/classes/2/window", json!(-1.5), "settings.classes[2].window"),
        ("/settings/classes", json!(null), "settings.classes"),
        ("/settings/projects/0/quota-per-s", json!(-1), "settings.projects[0].quota-per-s"),
        ("/settings/me", json!(1), "settings.me: expected less than n-instances, 1, got '1'"),
        ("/settings/caps/max-attempts", json!(2.5), "settings.caps.max-attempts"),
        ("/settings/rules/cold", json!("5"), "settings.rules.cold"),
        ("/settings/rules/drain-grace", json!(-1), "settings.rules.drain-grace"),
        ("/limits/memory_mb", json!(-1), "limits.memory_mb"),
        ("/settings/version", json!(8.5), "settings.version: expected a whole number, got '8.5'"),
        ("/settings/version", json!(6), "settings.version: expected 7 or more, which is in force, got '6'"),
        ("/settings/version", json!(null), "settings.version: expected 7 or more"),
    ]
}

/// The text of version 8 of a configuration with this value.
fn text_with_value(configuration: &Value, path: &str, value: Value) -> String {
    let mut configuration = configuration.clone();
    configuration["settings"]["version"] = json!(8);
    *configuration.pointer_mut(path).unwrap() = value;
    configuration.to_string()
}

/// Invalid files in place of version 7, each with what the log line must contain.
fn invalid_files(valid: &Value) -> Vec<(String, &'static str)> {
    let text = valid.to_string();
    let truncated = (0..20).map(|part| (text[..text.len() * part / 20].to_string(), "EOF while parsing"));
    let with_invalid_values = invalid_values()
        .into_iter()
        .map(|(path, value, expected)| (text_with_value(valid, path, value), expected));
    let changed_under_same_version = text.replace("\"max-open\":1000", "\"max-open\":10");
    let too_long = " ".repeat((16 << 20) + 1);
    truncated
        .chain(with_invalid_values)
        .chain([
            (changed_under_same_version, "settings.version: expected more than 7"),
            (too_long, "at most 16777216 bytes"),
        ])
        .collect()
}

#[test]
fn an_invalid_file_changes_nothing_and_the_log_names_its_field() {
    let backend = StubServer::responding_with("hello");
    let valid = versioned_configuration(7, &[&backend]);
    let proxy = start_proxy(&valid);

    let mut rejected = 0;
    for (text, expected) in invalid_files(&valid) {
        proxy.replace_configuration_text(&text);
        proxy.signal("-HUP");
        rejected += 1;
        wait_for(expected, || settings_metrics(&proxy)[2] == Some(rejected));
        wait_for(expected, || proxy.log.lock().unwrap().last().is_some_and(|line| line.contains(expected)));
        assert_eq!(settings_metrics(&proxy)[..2], [Some(7), Some(0)], "{expected}");
        assert_eq!(proxy.exchange(&request("save", 9000)).status(), 200, "{expected}");
    }

    // The same file again is no change; a later version is.
    proxy.replace_configuration(&valid);
    proxy.signal("-HUP");
    proxy.replace_configuration_text(&text_with_value(&valid, "/settings/caps/max-open", json!(10)));
    proxy.signal("-HUP");
    wait_for("change", || settings_metrics(&proxy) == [Some(8), Some(1), Some(rejected)]);
}

#[test]
fn many_reloads_end_at_the_last_file_and_every_request_gets_its_response() {
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
        wait_for("last version", || settings_metrics(&proxy)[0] == Some(200));
        is_done.store(true, Ordering::SeqCst);

        let requests: u64 = clients.into_iter().map(|client| client.join().unwrap()).sum();
        let stats = proxy.stats();
        assert_eq!(stats["results"]["look"], json!({"succeeded": requests, "declined": 0, "aborted": 0}));
        assert_eq!(stats["outstanding"], json!(0));
    });
}

#[test]
fn a_lower_socket_limit_closes_idle_connections_and_no_request() {
    let (backend, release) = StubServer::holding_first_response("hello");
    let mut configuration = versioned_configuration(1, &[&backend]);
    let proxy = start_proxy(&configuration);
    let mut waiting = proxy.begin_request(&request("order", 20_000));
    wait_for("attempt", || backend.request_count() == 1);
    let mut idle: Vec<_> = (0..80).map(|_| proxy.connect()).collect();
    for stream in &mut idle {
        assert_eq!(exchange(stream, &request("look", 9000)).status(), 200);
    }
    assert!(proxy.open_descriptors() > 80);

    configuration["limits"]["sockets"] = json!(90);
    proxy.replace_configuration(&configuration);
    proxy.signal("-HUP");

    // The settings are as they were.
    wait_for("capacity", || {
        proxy.open_descriptors() <= 70 && settings_metrics(&proxy) == [Some(1), Some(0), Some(0)]
    });
    release.send(()).unwrap();
    assert_eq!(read_message(&mut waiting).unwrap().status(), 200);
}

/// Sends 20 requests and checks that most get one of these responses. Not all do: a member of the own
/// zone that was slow once may get none for a while.
fn check_most_responses(proxy: &ProxyProcess, expected: &[&[u8]]) -> Vec<Vec<u8>> {
    let bodies: Vec<_> = (0..20).map(|_| proxy.exchange(&request("order", 9000)).body).collect();
    assert!(bodies.iter().filter(|body| expected.contains(&&***body)).count() > 10, "{bodies:?}");
    bodies
}

#[test]
fn zones_and_maintenance_hold_over_reloads() {
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
        reload(&proxy, &configuration);

        assert!(!check_most_responses(&proxy, &[expected]).contains(&b"zero".to_vec()));
        assert!(proxy.stats()["ejected"].as_u64() >= Some(1));
    }
}

#[test]
fn starts_a_watch_at_once_when_the_list_need_not_be_polled_any_more() {
    let backend = StubServer::responding_with("hello");
    let discovery = silent_discovery();
    let mut configuration = versioned_configuration(1, &[&backend]);
    configuration["settings"]["registry-mode"] = json!("subscribe");
    configuration["settings"]["rules"]["ask-within"] = json!(600.0);
    let proxy = ProxyProcess::with_configuration(&configuration, discovery.address);
    assert_eq!(proxy.exchange(&request("look", 9000)).status(), 200);
    assert_eq!(discovery.request_count(), 0, "the first poll is minutes away");

    configuration["settings"]["registry-mode"] = json!("automatic");
    configuration["settings"]["version"] = json!(2);
    reload(&proxy, &configuration);
    wait_for("watch", || discovery.request_count() == 1);

    configuration["settings"]["registry-mode"] = json!("subscribe");
    configuration["settings"]["rules"]["ask-within"] = json!(0.05);
    configuration["settings"]["version"] = json!(3);
    reload(&proxy, &configuration);
    assert_eq!(discovery.request_count(), 1, "the watch in progress stays");
    let is_poll = |call: &HttpMessage| call.start_line.contains("timeout_ms=50 ");
    wait_for("poll", || discovery.requests.lock().unwrap().iter().any(is_poll));
}

/// Waits until this version is in force at each of the proxies, which must be the case within 1 s.
fn check_version_in_force(proxies: &[&ProxyProcess], version: u64) {
    let start = Instant::now();
    wait_for("version in force", || proxies.iter().all(|proxy| settings_metrics(proxy)[0] == Some(version)));
    assert!(start.elapsed() < Duration::from_secs(1), "{:?}", start.elapsed());
}

#[test]
fn one_signal_reloads_two_processes_and_survives_the_process_that_got_it() {
    let backend = StubServer::responding_with("hello");
    let shared_address = SharedAddress::new();
    let mut old = shared_address.start(&versioned_configuration(1, &[&backend]));
    let new = shared_address.start_with_configuration_of(&old);
    wait_for("ready", || new.management_call("status\n").starts_with("OK"));
    for (version, signalled) in [(2, &old), (3, &new)] {
        old.replace_configuration(&versioned_configuration(version, &[&backend]));
        signalled.signal("-HUP");
        check_version_in_force(&[&old, &new], version);
    }
    assert_eq!(
        (settings_metrics(&old), settings_metrics(&new)),
        (vec![Some(3), Some(2), Some(0)], vec![Some(3), Some(2), Some(0)])
    );

    // The other process finds the file truncated, then complete.
    old.replace_configuration(&versioned_configuration(4, &[&backend]));
    new.while_stopped(|| {
        old.signal("-HUP");
        check_version_in_force(&[&old], 4);
        old.replace_configuration_text("{");
    });
    wait_for("rejection", || settings_metrics(&new) == [Some(3), Some(2), Some(1)]);
    // Three polls of a file that stays invalid.
    std::thread::sleep(Duration::from_millis(350));
    assert_eq!(settings_metrics(&new), [Some(3), Some(2), Some(1)]);
    old.replace_configuration(&versioned_configuration(4, &[&backend]));
    check_version_in_force(&[&old, &new], 4);

    // The process that gets the signal is killed before it handles it.
    old.signal("-STOP");
    old.replace_configuration(&versioned_configuration(5, &[&backend]));
    old.signal("-HUP");
    old.child.kill().unwrap();
    old.child.wait().unwrap();
    check_version_in_force(&[&new], 5);
    let next = shared_address.start_with_configuration_of(&old);
    wait_for("ready", || next.management_call("status\n").starts_with("OK"));
    assert_eq!(
        (settings_metrics(&next), settings_metrics(&new)),
        (vec![Some(5), Some(0), Some(0)], vec![Some(5), Some(4), Some(1)])
    );
}

#[test]
fn graceful_shutdown_waits_for_open_requests_by_the_settings_of_their_arrival() {
    let (backend, release) = StubServer::holding_first_response("hello");
    let mut configuration = versioned_configuration(1, &[&backend]);
    let mut proxy = start_proxy(&configuration);
    let mut waiting = proxy.begin_request(&request("order", 20_000));
    wait_for("attempt", || backend.request_count() == 1);
    configuration["settings"]["classes"] = json!([{"name": "look", "effect": "free", "hard-limit": 0.2}]);
    configuration["settings"]["version"] = json!(2);
    reload(&proxy, &configuration);

    proxy.signal("-TERM");
    wait_for("graceful shutdown", || proxy.management_call("status\n").starts_with("ERR"));
    std::thread::sleep(Duration::from_millis(1500)); // 0.2 + 0.7 s have passed, 3 + 0.7 s have not
    release.send(()).unwrap();

    assert_eq!(read_message(&mut waiting).unwrap().status(), 200);
    wait_for("exit", || proxy.child.try_wait().unwrap().is_some());
}

#[test]
fn metrics_keep_only_the_latest_of_the_classes_that_were_removed() {
    let with_class =
        |index: usize| ProxySettings { classes: vec![format!("c-{index}")], ..ProxySettings::default() };
    let metrics = Metrics::new(&with_class(0));
    let open_request = metrics.for_class("c-0").request_started();

    for index in 0..100 {
        metrics.settings_applied(&with_class(index));
        metrics.for_class(&format!("c-{index}")).request_started().finish(StatusCode::OK);
    }
    open_request.finish(StatusCode::OK); // of a class that has been forgotten

    let stats: Value = serde_json::from_str(&metrics.to_json(0, 0).unwrap()).unwrap();
    let names: Vec<_> = stats["results"].as_object().unwrap().keys().cloned().collect();
    assert_eq!(names.len(), 65);
    assert!((35..100).all(|index| names.contains(&format!("c-{index}"))));
    assert_eq!(stats["outstanding"], json!(0));
}
