//! SIGHUP: new settings come into force whole or not at all, and nothing under way is lost by it.

mod common;

use balancer_proxy::proxy::metrics::Metrics;
use balancer_proxy::proxy::settings::ProxySettings;
use common::configuration::{configuration, default_settings, request, request_with_framing, serving_list};
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

/// The configuration of a managed proxy, with this version of its settings.
fn config(version: u64, backends: &[&StubServer]) -> Value {
    let mut config = configuration(&default_settings(), &serving_list(backends));
    config["management"] = json!("127.0.0.1:0");
    config["settings"]["version"] = json!(version);
    config
}

fn named(name: &str, effect: &str) -> Value {
    let mut class = default_settings()["classes"][0].clone();
    (class["name"], class["effect"]) = (json!(name), json!(effect));
    class
}

/// Version, times taken over, files refused.
fn told(proxy: &ProxyProcess) -> Vec<Option<u64>> {
    let figures = proxy.stats();
    ["version", "changed", "refused"].map(|name| figures["settings"][name].as_u64()).to_vec()
}

fn reload(proxy: &ProxyProcess, config: &Value) {
    let before = told(proxy);
    proxy.replace_configuration(config);
    proxy.signal("-HUP");
    wait_for("change", || told(proxy) != before);
}

#[test]
fn requests_in_each_stage_end_by_their_terms_and_count_for_their_class() {
    // The first `order` is held, the first `look` breaks.
    let (release, held) = channel();
    let (held, broke) = (Arc::new(Mutex::new(held)), Arc::new(AtomicBool::new(false)));
    let backends = [0, 1].map(|_| {
        let (held, broke) = (held.clone(), broke.clone());
        StubServer::new(move |_, message| match message.header("x-lane") {
            Some("look") if !broke.swap(true, Ordering::SeqCst) => Reply::Close,
            Some("order") if message.body == b"held" => {
                held.lock().unwrap().recv_timeout(TEST_TIMEOUT).unwrap();
                Reply::Respond(response("200 OK", "held"))
            }
            _ => Reply::Respond(response("200 OK", "hello")),
        })
    });
    let connections = || backends.iter().map(|b| b.connection_count()).sum::<usize>();
    let mut config = config(1, &[&backends[0], &backends[1]]);
    let proxy = ProxyProcess::with_configuration(&config, silent_discovery().address);
    assert_eq!(told(&proxy), [Some(1), Some(0), Some(0)]);
    let begin = |text: &str| {
        let mut stream = proxy.connect();
        stream.get_mut().write_all(text.as_bytes()).unwrap();
        stream
    };
    // Their bodies are asked for, so that their heads have been read.
    let mut coming = ["save", "order"].map(|class| {
        let text = request_with_framing(class, "Expect: 100-continue\r\nContent-Length: 4\r\n\r\n");
        let mut stream = begin(&text);
        assert_eq!(read_head(&mut stream).unwrap().status(), 100);
        stream
    });
    let mut waiting = begin(&request("order", 9000).replace("body", "held"));
    wait_for("attempt", || connections() == 1);
    let mut streamed = begin(&request_with_framing("order", "Content-Length: 200000\r\n\r\n"));
    streamed.get_mut().write_all(&[b'x'; 100_000]).unwrap();
    wait_for("attempt", || connections() == 2);
    let mut broken = begin(&request("look", 4000));
    wait_for("break", || broke.load(Ordering::SeqCst));

    config["settings"]["version"] = json!(2);
    config["settings"]["classes"] = json!([named("order", "single_shot"), named("gaze", "free")]);
    config["settings"]["projects"] = json!([{"name": "other", "quota-per-s": 1.0}, {"name": "acme"}]);
    config["settings"]["caps"]["max-attempts"] = json!(1);
    reload(&proxy, &config);
    assert_eq!(told(&proxy), [Some(2), Some(1), Some(0)]);
    // Unknown now, and known by another shared_address.
    for (stream, status) in coming.iter_mut().zip([400, 200]) {
        stream.get_mut().write_all(b"body").unwrap();
        let reply = read_message(stream).unwrap();
        assert_eq!(reply.status(), status, "{}", String::from_utf8_lossy(&reply.body));
    }
    release.send(()).unwrap();
    assert_eq!(read_message(&mut waiting).unwrap().body, b"held");
    streamed.get_mut().write_all(&[b'x'; 100_000]).unwrap();
    assert_eq!(read_message(&mut streamed).unwrap().status(), 200);
    assert_eq!(read_message(&mut broken).unwrap().status(), 200, "its second attempt, of its class's four");
    let other = request("order", 9000).replace("X-Org: acme", "X-Org: other");
    assert_eq!(
        (proxy.exchange(&other).status(), proxy.exchange(&request("save", 9000)).status()),
        (200, 400)
    );
    let counts = |class: &str| proxy.stats()["results"][class]["succeeded"].clone();
    assert_eq!((counts("order"), counts("look"), counts("save")), (json!(4), json!(1), Value::Null));
    // Back in force, it counts on.
    config["settings"] = default_settings();
    config["settings"]["version"] = json!(3);
    reload(&proxy, &config);
    assert_eq!(proxy.exchange(&request("look", 9000)).status(), 200);
    assert_eq!((counts("order"), counts("look"), counts("gaze")), (json!(4), json!(2), Value::Null));
    assert_eq!(proxy.stats()["outstanding"], json!(0));
}

#[test]
fn a_bad_file_changes_nothing_and_its_field_is_named() {
    let backend = StubServer::responding_with("hello");
    let good = config(7, &[&backend]);
    let proxy = ProxyProcess::with_configuration(&good, silent_discovery().address);
    let with = |path: &str, value: Value| {
        let mut config = good.clone();
        config["settings"]["version"] = json!(8);
        *config.pointer_mut(path).unwrap() = value;
        config.to_string()
    };
    let text = good.to_string();
    let cut = (0..20).map(|i| (text[..text.len() * i / 20].to_string(), "EOF while parsing"));
    let wrong = [
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
    ];
    let wrong = wrong.into_iter().map(|(path, value, field)| (with(path, value), field));
    let same = text.replace("\"max-open\":1000", "\"max-open\":10");
    let long = " ".repeat((16 << 20) + 1);
    let others = [(same, "settings.version: expected more than 7"), (long, "at most 16777216 bytes")];
    let mut refused = 0;
    for (text, field) in cut.chain(wrong).chain(others) {
        proxy.replace_configuration_text(&text);
        proxy.signal("-HUP");
        refused += 1;
        wait_for(field, || told(&proxy)[2] == Some(refused));
        let named = || proxy.log.lock().unwrap().last().is_some_and(|line| line.contains(field));
        wait_for(field, named);
        assert_eq!(told(&proxy)[..2], [Some(7), Some(0)], "{field}");
        assert_eq!(proxy.exchange(&request("save", 9000)).status(), 200, "{field}");
    }
    // The same again is no change; a later one is.
    proxy.replace_configuration(&good);
    proxy.signal("-HUP");
    proxy.replace_configuration_text(&with("/settings/caps/max-open", json!(10)));
    proxy.signal("-HUP");
    wait_for("change", || told(&proxy) == [Some(8), Some(1), Some(refused)]);
}

#[test]
fn a_burst_of_signals_ends_at_the_last_file_and_every_request_is_answered() {
    let backends = ["zero", "one"].map(StubServer::responding_with);
    let proxy = ProxyProcess::with_configuration(
        &config(0, &[&backends[0], &backends[1]]),
        silent_discovery().address,
    );
    let done = AtomicBool::new(false);
    std::thread::scope(|scope| {
        let ask = || {
            let mut stream = proxy.connect();
            let mut asked = 0;
            while !done.load(Ordering::SeqCst) {
                assert_eq!(exchange(&mut stream, &request("look", 9000)).status(), 200);
                asked += 1;
            }
            asked
        };
        let clients: Vec<_> = (0..4).map(|_| scope.spawn(ask)).collect();
        for version in 1..=200 {
            let mut config = config(version, &[&backends[0], &backends[1]]);
            config["settings"]["classes"].as_array_mut().unwrap().rotate_left(version as usize % 3);
            config["settings"]["n-instances"] = json!(1 + version % 5);
            let text = config.to_string();
            // Every third is torn.
            proxy.replace_configuration_text(if version % 3 == 0 { &text[..text.len() / 2] } else { &text });
            proxy.signal("-HUP");
        }
        wait_for("last", || told(&proxy)[0] == Some(200));
        done.store(true, Ordering::SeqCst);
        let asked: u64 = clients.into_iter().map(|client| client.join().unwrap()).sum();
        let figures = proxy.stats();
        assert_eq!(figures["results"]["look"], json!({"succeeded": asked, "declined": 0, "aborted": 0}));
        assert_eq!(figures["outstanding"], json!(0));
    });
}

#[test]
fn lower_limits_hold_for_connections_that_are_open_and_break_no_request() {
    let (backend, release) = StubServer::holding_first_response("hello");
    let mut config = config(1, &[&backend]);
    let proxy = ProxyProcess::with_configuration(&config, silent_discovery().address);
    let mut waiting = proxy.connect();
    waiting.get_mut().write_all(request("order", 20_000).as_bytes()).unwrap();
    wait_for("attempt", || backend.request_count() == 1);
    let mut idle: Vec<_> = (0..80).map(|_| proxy.connect()).collect();
    idle.iter_mut().for_each(|stream| assert_eq!(exchange(stream, &request("look", 9000)).status(), 200));
    assert!(proxy.open_descriptors() > 80);
    config["limits"]["sockets"] = json!(90);
    proxy.replace_configuration(&config);
    proxy.signal("-HUP");
    // The settings are as they were.
    wait_for("room", || proxy.open_descriptors() <= 70 && told(&proxy) == [Some(1), Some(0), Some(0)]);
    release.send(()).unwrap();
    assert_eq!(read_message(&mut waiting).unwrap().status(), 200);
}

#[test]
fn zones_keep_their_numbers_and_bans_hold() {
    let backends = ["zero", "one", "two"].map(StubServer::responding_with);
    let mut config = config(1, &[&backends[0], &backends[1], &backends[2]]);
    config["known"]["instances"][1]["zone"] = json!("b");
    config["settings"]["zones"] = json!(["a", "b"]);
    config["settings"]["costs"] = json!({"cross-zone": 1.0});
    let proxy = ProxyProcess::with_configuration(&config, silent_discovery().address);
    // A member of its own zone that is slow for once may stand back.
    let goes_to = |names: &[&[u8]]| {
        let bodies: Vec<_> = (0..20).map(|_| proxy.exchange(&request("order", 9000)).body).collect();
        assert!(bodies.iter().filter(|body| names.contains(&&***body)).count() > 10, "{bodies:?}");
        bodies
    };
    goes_to(&[b"zero", b"two"]);
    assert!(proxy.management_call("maint-on s-0\n").starts_with("OK"));
    for (version, zones, zone, to) in [
        (2, json!(["b", "a"]), "a", b"two"),
        (3, json!(["new", "b"]), "a", b"two"),
        (4, json!(["new", "a", "b"]), "b", b"one"),
    ] {
        (config["settings"]["zones"], config["settings"]["zone"]) = (zones, json!(zone));
        config["settings"]["version"] = json!(version);
        reload(&proxy, &config);
        assert!(!goes_to(&[to]).contains(&b"zero".to_vec()));
        assert!(proxy.stats()["ejected"].as_u64() >= Some(1));
    }
}

#[test]
fn the_list_is_watched_at_once_where_it_need_not_be_asked_for_any_more() {
    let backend = StubServer::responding_with("hello");
    let discovery = silent_discovery();
    let mut config = config(1, &[&backend]);
    config["settings"]["registry-mode"] = json!("subscribe");
    config["settings"]["rules"]["ask-within"] = json!(600.0);
    let proxy = ProxyProcess::with_configuration(&config, discovery.address);
    assert_eq!(proxy.exchange(&request("look", 9000)).status(), 200);
    assert_eq!(discovery.request_count(), 0, "its time is minutes away");
    config["settings"]["registry-mode"] = json!("automatic");
    config["settings"]["version"] = json!(2);
    reload(&proxy, &config);
    wait_for("watch", || discovery.request_count() == 1);
    config["settings"]["registry-mode"] = json!("subscribe");
    config["settings"]["rules"]["ask-within"] = json!(0.05);
    config["settings"]["version"] = json!(3);
    reload(&proxy, &config);
    assert_eq!(discovery.request_count(), 1, "the watch that is on stays");
    let asks = |m: &HttpMessage| m.start_line.contains("timeout_ms=50 ");
    wait_for("another", || discovery.requests.lock().unwrap().iter().any(asks));
}

#[test]
fn two_processes_agree_by_one_signal_and_after_one_is_killed() {
    let backend = StubServer::responding_with("hello");
    let shared_address = SharedAddress::new();
    let mut old = shared_address.start(&config(1, &[&backend]));
    let new = shared_address.start_with_configuration_of(&old);
    wait_for("ready", || new.management_call("status\n").starts_with("OK"));
    let agree = |proxies: &[&ProxyProcess], version| {
        let begun = Instant::now();
        wait_for("agreement", || proxies.iter().all(|proxy| told(proxy)[0] == Some(version)));
        assert!(begun.elapsed() < Duration::from_secs(1), "{:?}", begun.elapsed());
    };
    for (version, signalled) in [(2, &old), (3, &new)] {
        old.replace_configuration(&config(version, &[&backend]));
        signalled.signal("-HUP");
        agree(&[&old, &new], version);
    }
    assert_eq!((told(&old), told(&new)), (vec![Some(3), Some(2), Some(0)], vec![Some(3), Some(2), Some(0)]));
    // The other one finds the file torn, then whole.
    old.replace_configuration(&config(4, &[&backend]));
    new.while_stopped(|| {
        old.signal("-HUP");
        agree(&[&old], 4);
        old.replace_configuration_text("{");
    });
    wait_for("refusal", || told(&new) == [Some(3), Some(2), Some(1)]);
    std::thread::sleep(Duration::from_millis(350)); // three looks, at a file that is no better
    assert_eq!(told(&new), [Some(3), Some(2), Some(1)]);
    old.replace_configuration(&config(4, &[&backend]));
    agree(&[&old, &new], 4);
    // The signal dies with the process that had it.
    old.signal("-STOP");
    old.replace_configuration(&config(5, &[&backend]));
    old.signal("-HUP");
    old.child.kill().unwrap();
    old.child.wait().unwrap();
    agree(&[&new], 5);
    let next = shared_address.start_with_configuration_of(&old);
    wait_for("ready", || next.management_call("status\n").starts_with("OK"));
    assert_eq!((told(&next), told(&new)), (vec![Some(5), Some(0), Some(0)], vec![Some(5), Some(4), Some(1)]));
}

#[test]
fn a_stop_waits_as_long_as_open_requests_may() {
    let (backend, release) = StubServer::holding_first_response("hello");
    let mut config = config(1, &[&backend]);
    let mut proxy = ProxyProcess::with_configuration(&config, silent_discovery().address);
    let mut waiting = proxy.connect();
    waiting.get_mut().write_all(request("order", 20_000).as_bytes()).unwrap();
    wait_for("attempt", || backend.request_count() == 1);
    config["settings"]["classes"] = json!([{"name": "look", "effect": "free", "hard-limit": 0.2}]);
    config["settings"]["version"] = json!(2);
    reload(&proxy, &config);
    proxy.signal("-TERM");
    wait_for("stop", || proxy.management_call("status\n").starts_with("ERR"));
    std::thread::sleep(Duration::from_millis(1500)); // 0.2 + 0.7 s are long over, 3 + 0.7 s are not
    release.send(()).unwrap();
    assert_eq!(read_message(&mut waiting).unwrap().status(), 200);
    wait_for("exit", || proxy.child.try_wait().unwrap().is_some());
}

#[test]
fn of_classes_that_are_no_more_the_latest_stay_in_the_figures() {
    let wire = |i: usize| ProxySettings { classes: vec![format!("c-{i}")], ..ProxySettings::default() };
    let figures = Metrics::new(&wire(0));
    let late = figures.for_class("c-0").request_started();
    for i in 0..100 {
        figures.settings_applied(&wire(i));
        figures.for_class(&format!("c-{i}")).request_started().finish(StatusCode::OK);
    }
    late.finish(StatusCode::OK); // of a class that is forgotten
    let line: Value = serde_json::from_str(&figures.to_json(0, 0).unwrap()).unwrap();
    let names: Vec<_> = line["results"].as_object().unwrap().keys().cloned().collect();
    assert_eq!(names.len(), 65);
    assert!((35..100).all(|i| names.contains(&format!("c-{i}"))));
    assert_eq!(line["outstanding"], json!(0));
}
