//! The second address, from outside: calls, what is no call, and the figures.

mod common;

use common::sockets::*;
use serde_json::{Value, json};
use std::io::{BufReader, Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

fn results(figures: &Value, class: &str) -> Vec<u64> {
    ["succeeded", "declined", "aborted"].map(|end| figures["results"][class][end].as_u64().unwrap()).to_vec()
}

#[test]
fn without_the_setting_nothing_listens() {
    let backend = Played::good("hello");
    let proxy = Proxy::before(&[&backend]);
    assert_eq!(proxy.management, None);
}

#[test]
fn calls_are_answered_and_all_else_gets_err() {
    let backend = Played::good("hello");
    let proxy = Proxy::managed(&[&backend]);
    assert!(proxy.call("status\n").starts_with("OK"));
    assert!(proxy.call("status\r\n").starts_with("OK"));
    let long = "status ".repeat(200);
    for bad in ["\n", "status now\n", "STATUS\n", "stat", "statistics\n", "stats\0\n", "\u{e9}\n", &long] {
        assert!(proxy.call(bad).starts_with("ERR"), "{bad:?}");
    }
    let mut garbled = proxy.connect_management();
    garbled.get_mut().write_all(b"\xff\xfe status\n").unwrap();
    assert!(ended(&mut garbled).starts_with("ERR"));
}

/// All that comes until the end of the connection.
fn ended(stream: &mut BufReader<TcpStream>) -> String {
    let mut text = String::new();
    let _ = stream.read_to_string(&mut text); // it may have been reset
    text
}

#[test]
fn callers_that_say_nothing_or_half_a_call_delay_nobody_and_are_closed() {
    let backend = Played::good("hello");
    let proxy = Proxy::managed(&[&backend]);
    let start = Instant::now();
    let mute: Vec<_> = (0..100)
        .map(|i| {
            let mut stream = proxy.connect_management();
            stream.get_mut().write_all(if i % 2 == 0 { b"" } else { b"stat" }).unwrap();
            stream
        })
        .collect();
    assert!(proxy.call("status\n").starts_with("OK"));
    for mut stream in mute {
        let told = ended(&mut stream);
        assert!(told.is_empty() || told.starts_with("ERR"), "{told}");
    }
    assert!(start.elapsed() < Duration::from_secs(15), "{:?}", start.elapsed());
    assert_eq!(proxy.ask(&request("look", 9000)).status(), 200);
}

#[test]
fn a_proxy_without_a_list_is_not_ready() {
    let mut config = config_of(&settings(), &list(0, true, &[]));
    config["management"] = json!("127.0.0.1:0");
    let proxy = Proxy::with(&config, quiet().address);
    assert!(proxy.call("status\n").starts_with("ERR"));
}

#[test]
fn the_figures_are_what_clients_and_backends_saw() {
    // Answers, fails, then never answers.
    let (ended, end) = channel();
    let backend = Played::new(move |before, _| match before {
        0 | 1 => Play::Answer(answer("200 OK", "hello")),
        2 => Play::Answer(answer("500 Internal Server Error", "")),
        _ => Play::Silence(ended.clone()),
    });
    let proxy = Proxy::managed(&[&backend]);
    let none = proxy.figures();
    for class in ["look", "save", "order"] {
        assert_eq!(results(&none, class), [0, 0, 0]);
    }
    let count = |figures: &Value, name: &str| figures[name].as_u64().unwrap();
    let names = ["outstanding", "forwards", "discovered", "ejected"];
    assert_eq!(names.map(|name| count(&none, name)), [0, 0, 1, 0]);
    assert_eq!(proxy.ask(&request("look", 9000)).status(), 200);
    assert_eq!(proxy.ask(&request("save", 9000)).status(), 200);
    assert_eq!(proxy.ask(&request("order", 9000)).status(), 502);
    // What is improper is no request.
    assert_eq!(proxy.ask(&request("order", 9000).replace("X-Lane: order", "X-Lane: no")).status(), 400);
    let mut leaving = proxy.connect();
    leaving.get_mut().write_all(request("order", 9000).as_bytes()).unwrap();
    wait_for("attempt", || backend.count() == 4);
    wait_for("count", || count(&proxy.figures(), "forwards") == 4);
    assert_eq!(count(&proxy.figures(), "outstanding"), 1);
    drop(leaving);
    heard(&end);
    wait_for("end", || count(&proxy.figures(), "outstanding") == 0);
    // Nobody is there for it to be sent to.
    let closed = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let figures = proxy.figures();
    assert_eq!(results(&figures, "look"), [1, 0, 0]);
    assert_eq!(results(&figures, "save"), [1, 0, 0]);
    assert_eq!(results(&figures, "order"), [0, 0, 1]);
    let mut config = config_of(&settings(), &list(1, true, &[entry("s-1", closed, "SERVING")]));
    config["management"] = json!("127.0.0.1:0");
    let proxy = Proxy::with(&config, quiet().address);
    assert_eq!(proxy.ask(&request("order", 1000)).status(), 503);
    let figures = proxy.figures();
    assert_eq!((results(&figures, "order"), count(&figures, "forwards")), (vec![0, 1, 0], 0));
}

#[test]
fn copies_count_as_forwards_and_their_request_once() {
    // The first attempt breaks, wherever it goes; the next one is answered.
    let all = Arc::new(AtomicUsize::new(0));
    let backends = [all.clone(), all].map(|all| {
        Played::new(move |_, _| match all.fetch_add(1, Ordering::SeqCst) {
            0 => Play::Close,
            _ => Play::Answer(answer("200 OK", "hello")),
        })
    });
    let proxy = Proxy::managed(&[&backends[0], &backends[1]]);
    assert_eq!(proxy.ask(&request("look", 4000)).status(), 200);
    let figures = proxy.figures();
    assert_eq!(backends[0].count() + backends[1].count(), 2);
    assert_eq!(figures["forwards"].as_u64(), Some(2));
    assert_eq!(results(&figures, "look"), [1, 0, 0]);
}
