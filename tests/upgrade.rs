//! Two processes on one address, while one replaces the other.

mod common;

use balancer_proxy::proxy::control::instance_lock::InstanceLock;
use common::configuration::{
    configuration, default_settings, endpoint_list, listed_endpoint, request, serving_list,
};
use common::http::{connect, exchange, read_message, response};
use common::proxy_process::{ProxyProcess, SharedAddress};
use common::stub_server::{Reply, StubServer, silent_discovery};
use common::waiting::wait_for;
use serde_json::json;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

#[test]
fn a_second_process_takes_over_and_nobody_notices() {
    let backends = ["zero", "one"].map(StubServer::responding_with);
    let shared_address = SharedAddress::new();
    let mut old = shared_address
        .start(&configuration(&default_settings(), &serving_list(&[&backends[0], &backends[1]])));
    let done = Arc::new(AtomicBool::new(false));
    // ClientConnections that connect anew each time, and one that keeps its connection while it may.
    let clients: Vec<_> = (0..4)
        .map(|i| {
            let (done, address) = (done.clone(), old.address);
            std::thread::spawn(move || {
                let mut kept = None;
                let mut served = 0;
                while !done.load(Ordering::SeqCst) {
                    let mut stream = kept.take().unwrap_or_else(|| connect(address));
                    let reply = exchange(&mut stream, &request("order", 9000));
                    assert_eq!(reply.status(), 200);
                    let closes = reply.header("connection") == Some("close");
                    kept = (i == 0 && !closes).then_some(stream);
                    served += 1;
                }
                served
            })
        })
        .collect();
    let next = shared_address
        .start(&configuration(&default_settings(), &serving_list(&[&backends[0], &backends[1]])));
    wait_for("ready", || next.management_call("status\n").starts_with("OK"));
    assert!(old.management_call("status\n").starts_with("OK"));
    old.signal("-TERM");
    wait_for("exit", || old.child.try_wait().unwrap().is_some());
    assert_eq!(old.child.wait().unwrap().code(), Some(0));
    done.store(true, Ordering::SeqCst);
    for client in clients {
        assert!(client.join().unwrap() > 0);
    }
    assert_eq!(next.exchange(&request("look", 9000)).status(), 200);
}

#[test]
fn the_old_process_answers_what_it_has_and_serves_the_connections_that_it_has() {
    let (backend, release) = StubServer::holding_first_response("hello");
    let shared_address = SharedAddress::new();
    let config = configuration(&default_settings(), &serving_list(&[&backend]));
    let mut old = shared_address.start(&config);
    let mut idle = old.connect();
    let mut busy = old.connect();
    busy.get_mut().write_all(request("order", 20_000).as_bytes()).unwrap();
    wait_for("attempt", || backend.request_count() == 1);
    let next = shared_address.start(&config);
    wait_for("ready", || next.management_call("status\n").starts_with("OK"));
    old.signal("-TERM");
    wait_for("stop", || old.management_call("status\n").starts_with("ERR"));
    let reply = exchange(&mut idle, &request("look", 9000));
    assert_eq!((reply.status(), reply.header("connection")), (200, Some("close")));
    release.send(()).unwrap();
    assert_eq!(read_message(&mut busy).expect("an answer").status(), 200);
    wait_for("exit", || old.child.try_wait().unwrap().is_some());
    assert_eq!(next.exchange(&request("look", 9000)).status(), 200);
}

#[test]
fn what_lies_in_the_old_process_at_its_last_look_is_answered() {
    let backend = StubServer::responding_with("hello");
    let shared_address = SharedAddress::new();
    let config = configuration(&default_settings(), &serving_list(&[&backend]));
    let mut old = shared_address.start(&config);
    let next = shared_address.start(&config);
    wait_for("ready", || next.management_call("status\n").starts_with("OK"));
    old.signal("-STOP");
    // The system deals them out among the two.
    let clients: Vec<_> = (0..30)
        .map(|_| {
            let mut stream = old.connect();
            stream.get_mut().write_all(request("order", 9000).as_bytes()).unwrap();
            stream
        })
        .collect();
    old.signal("-TERM");
    old.signal("-CONT");
    for mut stream in clients {
        assert_eq!(read_message(&mut stream).expect("an answer").status(), 200);
    }
    wait_for("exit", || old.child.try_wait().unwrap().is_some());
    assert_eq!(old.child.wait().unwrap().code(), Some(0));
    assert_eq!(backend.request_count(), 30);
}

#[test]
fn bans_hold_in_both_processes_and_after_one_is_killed() {
    let backends = ["zero", "one", "two"].map(StubServer::responding_with);
    let shared_address = SharedAddress::new();
    let config =
        configuration(&default_settings(), &serving_list(&[&backends[0], &backends[1], &backends[2]]));
    let mut old = shared_address.start(&config);
    assert!(old.management_call("maint-on s-0\n").starts_with("OK"));
    let next = shared_address.start(&config);
    wait_for("ready", || next.management_call("status\n").starts_with("OK"));
    assert_eq!(next.stats()["ejected"], json!(1));
    // Told to one, it holds in the other too.
    assert!(next.management_call("maint-off s-0\n").starts_with("OK"));
    wait_for("news", || old.stats()["ejected"] == json!(0));
    assert!(old.management_call("maint-on s-1\n").starts_with("OK"));
    wait_for("news", || next.stats()["ejected"] == json!(1));
    old.child.kill().unwrap();
    old.child.wait().unwrap();
    for _ in 0..10 {
        assert_ne!(next.exchange(&request("look", 9000)).body, b"one");
    }
}

#[test]
fn a_name_listed_to_the_process_before_is_not_unheard_of() {
    let backends = ["zero", "one"].map(StubServer::responding_with);
    let shared_address = SharedAddress::new();
    let old = shared_address
        .start(&configuration(&default_settings(), &serving_list(&[&backends[0], &backends[1]])));
    wait_for("book", || old.management_call("maint-on s-1\n").starts_with("OK"));
    let next = shared_address.start(&configuration(&default_settings(), &serving_list(&[&backends[0]])));
    assert!(next.management_call("maint-off s-1\n").starts_with("OK"));
    assert!(next.management_call("maint-off s-2\n").starts_with("ERR"));
}

#[test]
fn a_torn_book_stops_neither_a_start_nor_a_ban_that_is_known() {
    let backends = ["zero", "one"].map(StubServer::responding_with);
    let shared_address = SharedAddress::new();
    let config = configuration(&default_settings(), &serving_list(&[&backends[0], &backends[1]]));
    let old = shared_address.start(&config);
    assert!(old.management_call("maint-on s-0\n").starts_with("OK"));
    let book = shared_address.state_file("book");
    let whole = std::fs::read(&book).unwrap();
    std::fs::write(&book, &whole[..whole.len() / 2]).unwrap();
    // The one that knows writes it anew.
    wait_for("book", || std::fs::read(&book).is_ok_and(|b| b == whole));
    drop(old);
    std::fs::write(&book, &whole[..whole.len() / 2]).unwrap();
    let next = shared_address.start(&config);
    wait_for("ready", || next.management_call("status\n").starts_with("OK"));
    assert_eq!(next.exchange(&request("look", 9000)).status(), 200);
    assert!(next.management_call("maint-on s-0\n").starts_with("OK"));
    assert_eq!(next.stats()["ejected"], json!(1));
}

#[test]
fn without_a_folder_to_write_to_it_starts_serves_and_bans() {
    let backends = ["zero", "one"].map(StubServer::responding_with);
    let shared_address = SharedAddress::new();
    shared_address.remove_folder();
    let proxy = shared_address
        .start(&configuration(&default_settings(), &serving_list(&[&backends[0], &backends[1]])));
    wait_for("ready", || proxy.management_call("status\n").starts_with("OK"));
    assert!(proxy.management_call("maint-on s-0\n").starts_with("OK"));
    for _ in 0..5 {
        assert_eq!(proxy.exchange(&request("look", 9000)).body, b"one");
    }
}

#[test]
fn a_successor_hears_discovery_before_it_is_ready_and_does_without_a_silent_one() {
    let backends = ["zero", "one"].map(StubServer::responding_with);
    let shared_address = SharedAddress::new();
    let config = configuration(&default_settings(), &serving_list(&[&backends[0]]));
    let _old = shared_address.start(&config);
    // What the configuration knows is old: there is another one now.
    let now = endpoint_list(9, true, &[listed_endpoint("s-1", backends[1].address, "SERVING")]).to_string();
    let discovery = StubServer::new(move |_, message| match message.start_line.contains("since=") {
        false => Reply::Respond(response("200 OK", &now)),
        true => Reply::Hang,
    });
    let next = shared_address.start_with_discovery(&config, discovery.address);
    wait_for("ready", || next.management_call("status\n").starts_with("OK"));
    assert!(discovery.requests.lock().unwrap().iter().any(|r| !r.start_line.contains("since=")));
    assert_eq!(next.stats()["discovered"], json!(1));
    drop(next);
    let silent = shared_address.start_with_discovery(&config, silent_discovery().address);
    wait_for("ready", || silent.management_call("status\n").starts_with("OK"));
}

#[test]
fn a_seat_is_free_again_once_its_process_is_gone() {
    let shared_address = SharedAddress::new();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let path = shared_address.state_file("any");
        let first = InstanceLock::acquire(&path).await.unwrap();
        assert!(!first.is_shared() && !first.other_is_listening());
        let second = InstanceLock::acquire(&path).await.unwrap();
        assert!(first.is_shared() && second.is_shared());
        assert!(!first.other_is_listening(), "it does not take connections yet");
        second.announce_listening().unwrap();
        assert!(first.other_is_listening() && !second.other_is_listening());
        // A third does without, and disturbs nobody.
        let third = InstanceLock::acquire(&path).await.unwrap();
        assert!(third.is_shared() && third.other_is_listening());
        drop((second, third));
        assert!(!first.is_shared() && !first.other_is_listening());
        let again = InstanceLock::acquire(&path).await.unwrap();
        assert!(first.is_shared() && !first.other_is_listening(), "what the one before wrote says nothing");
        drop(again);
    });
}

#[test]
fn seats_of_different_addresses_in_one_folder_are_different_ones() {
    let shared_address = SharedAddress::new();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let paths = ["x-127.0.0.1:7070", "x-127.0.0.2:7070"]
            .map(|name| shared_address.state_file("a").with_file_name(name));
        let taken = [
            InstanceLock::acquire(&paths[0]).await.unwrap(),
            InstanceLock::acquire(&paths[0]).await.unwrap(),
        ];
        let other = InstanceLock::acquire(&paths[1]).await.unwrap();
        assert!(taken[0].is_shared() && !other.is_shared());
        drop(taken);
    });
}

#[test]
fn two_processes_keep_within_the_descriptors_of_one() {
    let backend = StubServer::responding_with("hello");
    let shared_address = SharedAddress::new();
    let mut config = configuration(&default_settings(), &serving_list(&[&backend]));
    config["limits"]["sockets"] = json!(160);
    let old = shared_address.start(&config);
    let held =
        |proxy: &ProxyProcess| std::fs::read_dir(format!("/proc/{}/fd", proxy.child.id())).unwrap().count();
    // Connections at rest, as many as it keeps.
    let clients: Vec<_> = (0..80)
        .map(|_| {
            let mut stream = old.connect();
            let _ = stream.get_mut().write_all(request("look", 9000).as_bytes());
            let _ = read_message(&mut stream); // some may be refused for want of room
            stream
        })
        .collect();
    assert!(held(&old) > 80);
    std::thread::sleep(Duration::from_millis(2200)); // until they may be closed
    let next = shared_address.start(&config);
    wait_for("ready", || next.management_call("status\n").starts_with("OK"));
    wait_for("room", || held(&old) + held(&next) <= 160 && held(&old) <= 80);
    drop(clients);
}
