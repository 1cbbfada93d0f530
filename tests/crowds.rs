//! Crowds that connect and finish nothing, where there is little room.

mod common;

use common::sockets::*;
use serde_json::json;
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::time::Duration;

/// A proxy with room for some twenty connections of clients.
fn small(backend: &Played) -> Proxy {
    let mut config = config_of(&settings(), &known(&[backend]));
    config["limits"]["sockets"] = json!(64);
    Proxy::with(&config, quiet().address)
}

fn mute(proxy: &Proxy, count: usize) -> Vec<BufReader<TcpStream>> {
    (0..count).map(|_| proxy.connect()).collect()
}

#[test]
fn a_request_is_served_amid_more_mute_connections_than_there_is_room_for() {
    let backend = Played::good("hello");
    let proxy = small(&backend);
    let crowd = mute(&proxy, 60);
    std::thread::sleep(Duration::from_millis(1600)); // until they have been silent for long enough
    for _ in 0..10 {
        assert_eq!(proxy.ask(&request("order", 9000)).status(), 200);
    }
    drop(crowd);
}

#[test]
fn a_request_that_comes_as_its_idle_connection_is_chosen_to_go_is_answered() {
    let backend = Played::good("hello");
    let proxy = small(&backend);
    // All but full of connections that may be closed, for they have been idle for 2 s.
    let mut idle: Vec<_> = (0..10)
        .map(|_| {
            let mut stream = proxy.connect();
            assert_eq!(ask(&mut stream, &request("look", 9000)).status(), 200);
            stream
        })
        .collect();
    std::thread::sleep(Duration::from_millis(2200));
    proxy.signal("-STOP");
    // Newcomers first, so that room is made before the requests are read.
    let crowd = mute(&proxy, 40);
    for stream in &mut idle {
        stream.get_mut().write_all(request("order", 9000).as_bytes()).unwrap();
    }
    proxy.signal("-CONT");
    for stream in &mut idle {
        assert_eq!(read(stream).expect("an answer").status(), 200);
    }
    drop(crowd);
}

#[test]
fn while_room_is_short_connections_are_closed_behind_their_answers() {
    let backend = Played::good("hello");
    let proxy = small(&backend);
    let closes = |proxy: &Proxy| proxy.ask(&request("look", 9000)).header("connection") == Some("close");
    assert!(!closes(&proxy));
    let crowd = mute(&proxy, 15);
    wait_for("close", || closes(&proxy));
    drop(crowd);
    wait_for("room", || !closes(&proxy));
}

#[test]
fn a_request_that_comes_whole_as_its_connection_is_closed_for_want_of_room_is_answered() {
    // The answers take longer than a connection that is closed is waited for.
    let backend = Played::new(|_, _| {
        std::thread::sleep(Duration::from_millis(600));
        Play::Answer(answer("200 OK", "hello"))
    });
    let proxy = small(&backend);
    let writers: Vec<_> = (0..18)
        .map(|i| {
            let mut stream = proxy.connect();
            let text = request("order", 9000);
            stream.get_mut().write_all(&text.as_bytes()[..text.len() - 1]).unwrap();
            std::thread::spawn(move || {
                std::thread::sleep(Duration::from_millis(550 + 20 * i));
                let _ = stream.get_mut().write_all(&text.as_bytes()[text.len() - 1..]);
                read(&mut stream).is_some_and(|reply| reply.status() == 200)
            })
        })
        .collect();
    // One after the other presses an older one out.
    let crowd: Vec<_> = (0..60)
        .map(|_| {
            std::thread::sleep(Duration::from_millis(15));
            proxy.connect()
        })
        .collect();
    let served = writers.into_iter().map(|w| w.join().unwrap()).filter(|served| *served).count();
    assert_eq!(served, backend.count(), "what has been sent on is answered");
    assert!(served > 0);
    drop(crowd);
}
