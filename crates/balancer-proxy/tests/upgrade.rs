//! Upgrade: two processes on one address, while one replaces the other.

mod common;

use balancer_proxy::control::instance_lock::InstanceLock;
use common::configuration::{
    configuration, default_settings, endpoint_list, listed_endpoint, request, serving_list,
};
use common::http::{connect, exchange, read_message, response};
use common::proxy_process::{ProxyProcess, SharedAddress, exit_code};
use common::stub_server::{Reply, StubServer, silent_discovery};
use common::waiting::wait_for;
use serde_json::{Value, json};
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// A configuration whose cached list has these backends.
fn configuration_for(backends: &[&StubServer]) -> Value {
    configuration(&default_settings(), &serving_list(backends))
}

fn wait_for_readiness(proxy: &ProxyProcess) {
    wait_for("ready", || proxy.management_call("status\n").starts_with("OK"));
}

/// Sends requests until `is_done`, on a new connection each or on one that is reused while the proxy
/// keeps it open. Returns the number of requests served.
fn send_until_done(address: std::net::SocketAddr, is_done: &AtomicBool, reuses_connection: bool) -> usize {
    let mut open_stream = None;
    let mut served = 0;
    while !is_done.load(Ordering::SeqCst) {
        let mut stream = open_stream.take().unwrap_or_else(|| connect(address));
        let reply = exchange(&mut stream, &request("order", 9000));
        assert_eq!(reply.status(), 200);
        let closes = reply.header("connection") == Some("close");
        open_stream = (reuses_connection && !closes).then_some(stream);
        served += 1;
    }
    served
}

#[test]
fn a_second_process_takes_over_without_a_failed_request() {
    let backends = ["zero", "one"].map(StubServer::responding_with);
    let shared_address = SharedAddress::new();
    let configuration = configuration_for(&[&backends[0], &backends[1]]);
    let mut old = shared_address.start(&configuration);
    let is_done = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..4)
        .map(|index| {
            let (is_done, address) = (is_done.clone(), old.address);
            std::thread::spawn(move || send_until_done(address, &is_done, index == 0))
        })
        .collect();

    let next = shared_address.start(&configuration);
    wait_for_readiness(&next);
    assert!(old.management_call("status\n").starts_with("OK"));
    old.signal("-TERM");
    assert_eq!(exit_code(&mut old.child), Some(0));
    is_done.store(true, Ordering::SeqCst);

    for client in clients {
        assert!(client.join().unwrap() > 0);
    }
    assert_eq!(next.exchange(&request("look", 9000)).status(), 200);
}

#[test]
fn the_old_process_serves_its_open_requests_and_connections() {
    let (backend, release) = StubServer::holding_first_response("hello");
    let shared_address = SharedAddress::new();
    let configuration = configuration_for(&[&backend]);
    let mut old = shared_address.start(&configuration);
    let mut idle = old.connect();
    let mut busy = old.begin_request(&request("order", 20_000));
    wait_for("attempt", || backend.request_count() == 1);

    let next = shared_address.start(&configuration);
    wait_for_readiness(&next);
    old.signal("-TERM");
    wait_for("graceful shutdown", || old.management_call("status\n").starts_with("ERR"));

    let reply = exchange(&mut idle, &request("look", 9000));
    assert_eq!((reply.status(), reply.header("connection")), (200, Some("close")));
    release.send(()).unwrap();
    assert_eq!(read_message(&mut busy).expect("a response").status(), 200);
    wait_for("exit", || old.child.try_wait().unwrap().is_some());
    assert_eq!(next.exchange(&request("look", 9000)).status(), 200);
}

#[test]
fn responds_to_requests_in_the_old_process_backlog_when_its_accepting_ends() {
    let backend = StubServer::responding_with("hello");
    let shared_address = SharedAddress::new();
    let configuration = configuration_for(&[&backend]);
    let mut old = shared_address.start(&configuration);
    let next = shared_address.start(&configuration);
    wait_for_readiness(&next);

    old.signal("-STOP");
    // The system distributes them over both processes.
    let clients: Vec<_> = (0..30).map(|_| old.begin_request(&request("order", 9000))).collect();
    old.signal("-TERM");
    old.signal("-CONT");

    for mut stream in clients {
        assert_eq!(read_message(&mut stream).expect("a response").status(), 200);
    }
    assert_eq!(exit_code(&mut old.child), Some(0));
    assert_eq!(backend.request_count(), 30);
}

#[test]
fn maintenance_holds_in_both_processes_and_after_one_is_killed() {
    let backends = ["zero", "one", "two"].map(StubServer::responding_with);
    let shared_address = SharedAddress::new();
    let configuration = configuration_for(&[&backends[0], &backends[1], &backends[2]]);
    let mut old = shared_address.start(&configuration);
    assert!(old.management_call("maint-on s-0\n").starts_with("OK"));
    let next = shared_address.start(&configuration);
    wait_for_readiness(&next);
    assert_eq!(next.stats()["ejected"], json!(1));

    // A call to one process holds in the other too.
    assert!(next.management_call("maint-off s-0\n").starts_with("OK"));
    wait_for("end of maintenance", || old.stats()["ejected"] == json!(0));
    assert!(old.management_call("maint-on s-1\n").starts_with("OK"));
    wait_for("maintenance", || next.stats()["ejected"] == json!(1));
    old.child.kill().unwrap();
    old.child.wait().unwrap();

    for _ in 0..10 {
        assert_ne!(next.exchange(&request("look", 9000)).body, b"one");
    }
}

#[test]
fn accepts_maintenance_of_a_backend_that_only_the_old_process_has_listed() {
    let backends = ["zero", "one"].map(StubServer::responding_with);
    let shared_address = SharedAddress::new();
    let old = shared_address.start(&configuration_for(&[&backends[0], &backends[1]]));
    wait_for("maintenance store", || old.management_call("maint-on s-1\n").starts_with("OK"));

    let next = shared_address.start(&configuration_for(&[&backends[0]]));

    assert!(next.management_call("maint-off s-1\n").starts_with("OK"));
    assert!(next.management_call("maint-off s-2\n").starts_with("ERR"));
}

#[test]
fn a_truncated_maintenance_store_prevents_neither_a_start_nor_known_maintenance() {
    let backends = ["zero", "one"].map(StubServer::responding_with);
    let shared_address = SharedAddress::new();
    let configuration = configuration_for(&[&backends[0], &backends[1]]);
    let old = shared_address.start(&configuration);
    assert!(old.management_call("maint-on s-0\n").starts_with("OK"));
    let store = shared_address.state_file("book");
    let complete = std::fs::read(&store).unwrap();

    std::fs::write(&store, &complete[..complete.len() / 2]).unwrap();

    // The process that knows of the maintenance writes the store again.
    wait_for("maintenance store", || std::fs::read(&store).is_ok_and(|bytes| bytes == complete));
    drop(old);
    std::fs::write(&store, &complete[..complete.len() / 2]).unwrap();
    let next = shared_address.start(&configuration);
    wait_for_readiness(&next);
    assert_eq!(next.exchange(&request("look", 9000)).status(), 200);
    assert!(next.management_call("maint-on s-0\n").starts_with("OK"));
    assert_eq!(next.stats()["ejected"], json!(1));
}

#[test]
fn starts_serves_and_accepts_maintenance_without_a_state_folder() {
    let backends = ["zero", "one"].map(StubServer::responding_with);
    let shared_address = SharedAddress::new();
    shared_address.remove_folder();

    let proxy = shared_address.start(&configuration_for(&[&backends[0], &backends[1]]));

    wait_for_readiness(&proxy);
    assert!(proxy.management_call("maint-on s-0\n").starts_with("OK"));
    for _ in 0..5 {
        assert_eq!(proxy.exchange(&request("look", 9000)).body, b"one");
    }
}

#[test]
fn a_second_process_gets_the_list_of_discovery_before_it_is_ready() {
    let backends = ["zero", "one"].map(StubServer::responding_with);
    let shared_address = SharedAddress::new();
    let configuration = configuration_for(&[&backends[0]]);
    let _old = shared_address.start(&configuration);
    // The cached list is outdated: there is another backend now.
    let current_list =
        endpoint_list(9, true, &[listed_endpoint("s-1", backends[1].address, "SERVING")]).to_string();
    let discovery = StubServer::new(move |_, message| {
        if message.start_line.contains("since=") {
            Reply::Hang
        } else {
            Reply::Respond(response("200 OK", &current_list))
        }
    });

    let next = shared_address.start_with_discovery(&configuration, discovery.address);

    wait_for_readiness(&next);
    let calls = discovery.requests.lock().unwrap();
    assert!(calls.iter().any(|call| !call.start_line.contains("since=")));
    assert_eq!(next.stats()["discovered"], json!(1));
}

#[test]
fn a_second_process_becomes_ready_without_a_response_from_discovery() {
    let backend = StubServer::responding_with("zero");
    let shared_address = SharedAddress::new();
    let configuration = configuration_for(&[&backend]);
    let _old = shared_address.start(&configuration);

    let next = shared_address.start_with_discovery(&configuration, silent_discovery().address);

    wait_for_readiness(&next);
}

#[test]
fn an_instance_lock_is_free_again_after_its_process_has_exited() {
    let shared_address = SharedAddress::new();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let path = shared_address.state_file("any");
        let first = InstanceLock::acquire(&path).await.unwrap();
        assert!(!first.is_shared() && !first.other_is_listening());

        let second = InstanceLock::acquire(&path).await.unwrap();
        assert!(first.is_shared() && second.is_shared());
        assert!(!first.other_is_listening(), "it does not accept connections yet");
        second.announce_listening().unwrap();
        assert!(first.other_is_listening() && !second.other_is_listening());

        // A third process goes without a lock, and disturbs neither of the others.
        let third = InstanceLock::acquire(&path).await.unwrap();
        assert!(third.is_shared() && third.other_is_listening());

        drop((second, third));
        assert!(!first.is_shared() && !first.other_is_listening());
        let again = InstanceLock::acquire(&path).await.unwrap();
        assert!(
            first.is_shared() && !first.other_is_listening(),
            "what the process before has written does not count"
        );
        drop(again);
    });
}

#[test]
fn instance_locks_of_different_addresses_in_one_folder_are_independent() {
    let shared_address = SharedAddress::new();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let paths = ["x-127.0.0.1:7070", "x-127.0.0.2:7070"]
            .map(|name| shared_address.state_file("a").with_file_name(name));

        let locks = [
            InstanceLock::acquire(&paths[0]).await.unwrap(),
            InstanceLock::acquire(&paths[0]).await.unwrap(),
        ];
        let other = InstanceLock::acquire(&paths[1]).await.unwrap();

        assert!(locks[0].is_shared() && !other.is_shared());
        drop(locks);
    });
}

#[test]
fn two_processes_together_stay_within_the_socket_limit_of_one() {
    let backend = StubServer::responding_with("hello");
    let shared_address = SharedAddress::new();
    let mut configuration = configuration_for(&[&backend]);
    configuration["limits"]["sockets"] = json!(160);
    let old = shared_address.start(&configuration);
    // Idle connections, as many as it keeps open.
    let clients: Vec<_> = (0..80)
        .map(|_| {
            let mut stream = old.connect();
            let _ = stream.get_mut().write_all(request("look", 9000).as_bytes());
            let _ = read_message(&mut stream); // some may be rejected for lack of capacity
            stream
        })
        .collect();
    assert!(old.open_descriptors() > 80);
    std::thread::sleep(Duration::from_millis(2200)); // until they may be closed

    let next = shared_address.start(&configuration);
    wait_for_readiness(&next);

    wait_for("capacity", || {
        old.open_descriptors() + next.open_descriptors() <= 160 && old.open_descriptors() <= 80
    });
    drop(clients);
}
