//! Many connections without a complete request on a proxy with few file descriptors. Idle connections must
//! not keep out requests, calls to discovery or management calls: without a free descriptor an accept or a
//! connect fails with error 24 of the system (too many open files).

mod common;

use common::configuration::{
    READINESS_REQUEST, configuration, default_settings, endpoint_list, listed_endpoint, request, serving_list,
};
use common::http::{HttpMessage, exchange, is_closed_by_peer, read_message, response};
use common::proxy_process::ProxyProcess;
use common::stub_server::{Reply, StubServer};
use common::waiting::wait_for;
use serde_json::json;
use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Starts a proxy whose limit of 64 sockets leaves capacity for about 20 client connections.
fn proxy_with_64_sockets(backend: &StubServer) -> ProxyProcess {
    ProxyProcess::with_socket_limit(&[backend], 64)
}

fn open_connections(proxy: &ProxyProcess, count: usize) -> Vec<BufReader<TcpStream>> {
    (0..count).map(|_| proxy.connect()).collect()
}

#[test]
fn serves_requests_among_more_idle_connections_than_the_limit() {
    let backend = StubServer::responding_with("hello");
    let proxy = proxy_with_64_sockets(&backend);
    let idle = open_connections(&proxy, 60);
    std::thread::sleep(Duration::from_millis(1600)); // until the proxy may close idle connections

    for _ in 0..10 {
        assert_eq!(proxy.exchange(&request("order", 9000)).status(), 200);
    }

    drop(idle);
}

#[test]
fn responds_to_a_request_that_arrives_as_its_idle_connection_is_chosen_for_closing() {
    let backend = StubServer::responding_with("hello");
    let proxy = proxy_with_64_sockets(&backend);
    // The number of connections is near the limit, so that the proxy may close connections
    // that have been idle for 2 s.
    let mut idle: Vec<_> = (0..10)
        .map(|_| {
            let mut stream = proxy.connect();
            assert_eq!(exchange(&mut stream, &request("look", 9000)).status(), 200);
            stream
        })
        .collect();
    std::thread::sleep(Duration::from_millis(2200));

    proxy.signal("-STOP");
    // The new connections arrive first, so that the proxy closes idle ones before it reads the requests.
    let new = open_connections(&proxy, 40);
    for stream in &mut idle {
        stream.get_mut().write_all(request("order", 9000).as_bytes()).unwrap();
    }
    proxy.signal("-CONT");

    for stream in &mut idle {
        assert_eq!(read_message(stream).expect("no complete response").status(), 200);
    }
    drop(new);
}

/// A connection with only readiness requests belongs to a health checker, which sends further requests on
/// that connection.
#[test]
fn keeps_a_health_check_connection_open_while_closing_silent_ones() {
    let backend = StubServer::responding_with("hello");
    let proxy = proxy_with_64_sockets(&backend);
    let mut health_checker = proxy.connect();
    assert_eq!(exchange(&mut health_checker, READINESS_REQUEST).status(), 200);
    let silent = open_connections(&proxy, 8);
    std::thread::sleep(Duration::from_millis(550)); // silent connections may be closed, idle ones not

    let new = open_connections(&proxy, 20);
    wait_for("a closed connection", || silent.iter().any(is_closed_by_peer));

    assert_eq!(exchange(&mut health_checker, READINESS_REQUEST).status(), 200);
    drop(new);
}

#[test]
fn closes_connections_after_their_responses_near_the_limit() {
    let backend = StubServer::responding_with("hello");
    let proxy = proxy_with_64_sockets(&backend);
    let closes =
        |proxy: &ProxyProcess| proxy.exchange(&request("look", 9000)).header("connection") == Some("close");
    assert!(!closes(&proxy));

    let idle = open_connections(&proxy, 15);
    wait_for("a response with `Connection: close`", || closes(&proxy));

    drop(idle);
    wait_for("a response without `Connection: close`", || !closes(&proxy));
}

#[test]
fn responds_to_every_request_completed_as_its_connection_is_closed_for_lack_of_capacity() {
    // Each response takes longer than the time for which the proxy waits on a connection that it closes.
    let backend = StubServer::new(|_, _| {
        std::thread::sleep(Duration::from_millis(600));
        Reply::Respond(response("200 OK", "hello"))
    });
    let proxy = proxy_with_64_sockets(&backend);
    let clients: Vec<_> = (0..18)
        .map(|index| {
            let mut stream = proxy.connect();
            let text = request("order", 9000);
            stream.get_mut().write_all(&text.as_bytes()[..text.len() - 1]).unwrap();
            std::thread::spawn(move || {
                std::thread::sleep(Duration::from_millis(550 + 20 * index));
                let _ = stream.get_mut().write_all(&text.as_bytes()[text.len() - 1..]);
                read_message(&mut stream).is_some_and(|reply| reply.status() == 200)
            })
        })
        .collect();

    // Each new connection displaces an older one.
    let new: Vec<_> = (0..60)
        .map(|_| {
            std::thread::sleep(Duration::from_millis(15));
            proxy.connect()
        })
        .collect();

    let served = clients.into_iter().map(|client| client.join().unwrap()).filter(|served| *served).count();
    assert_eq!(served, backend.request_count(), "some forwarded requests got no response");
    assert!(served > 0);
    drop(new);
}

/// Starts a discovery that sends no response until `is_up` is set, and then responds with the list.
fn discovery_returning_on_flag(is_up: Arc<AtomicBool>, list: String) -> StubServer {
    StubServer::new(move |_, message| {
        if is_up.load(Ordering::SeqCst) && !message.start_line.contains("since=2&") {
            Reply::Respond(response("200 OK", &list))
        } else {
            Reply::Hang
        }
    })
}

/// The connections that use up the file descriptors of the proxy when discovery returns.
#[derive(Clone, Copy, Debug)]
struct DescriptorLoad {
    /// Whether each idle client connection has carried a request before.
    idle_clients_had_request: bool,
    /// The number of connections to the management address, or `None` if the proxy has no such address.
    management_connections: Option<usize>,
}

/// Uses up the file descriptors with idle connections, then opens many more at the moment when discovery
/// returns, also to the management address if the proxy has one. Asserts that the proxy receives the list
/// within 6 s and logs no lack of descriptors.
fn check_returning_discovery_is_reached(load: DescriptorLoad) {
    let DescriptorLoad { idle_clients_had_request, management_connections } = load;
    let (old, new) = (StubServer::responding_with("old"), StubServer::responding_with("new"));
    let endpoints =
        [listed_endpoint("s-0", old.address, "DRAINING"), listed_endpoint("s-1", new.address, "SERVING")];
    let is_up = Arc::new(AtomicBool::new(false));
    let list = endpoint_list(2, true, &endpoints).to_string();
    let discovery = discovery_returning_on_flag(is_up.clone(), list);
    let mut configuration = configuration(&default_settings(), &serving_list(&[&old]));
    if management_connections.is_some() {
        configuration["management"] = json!("127.0.0.1:0");
    }
    let proxy = ProxyProcess::with_descriptor_limit(&configuration, discovery.address, 64);
    let mut idle = open_connections(&proxy, 24);
    for stream in idle.iter_mut().filter(|_| idle_clients_had_request) {
        let _ = stream.get_mut().write_all(request("look", 9000).as_bytes());
        let _ = read_message(stream); // the request may be rejected for lack of capacity
    }
    std::thread::sleep(Duration::from_millis(2200)); // until the proxy may close idle connections

    proxy.signal("-STOP");
    let new_connections = open_connections(&proxy, 100);
    let management: Vec<_> =
        (0..management_connections.unwrap_or(0)).map(|_| proxy.connect_management()).collect();
    is_up.store(true, Ordering::SeqCst);
    let start = Instant::now();
    proxy.signal("-CONT");

    let is_next_watch = |call: &HttpMessage| call.start_line.contains("since=2&");
    wait_for("the list of discovery", || discovery.requests.lock().unwrap().iter().any(is_next_watch));
    assert!(start.elapsed() < Duration::from_secs(6), "{load:?}: {:?}", start.elapsed());
    for _ in 0..3 {
        assert_eq!(proxy.exchange(&request("order", 9000)).body, b"new");
    }
    if proxy.management.is_some() {
        assert!(proxy.management_call("status\n").starts_with("OK"));
    }
    let log = proxy.log.lock().unwrap().join("\n");
    assert!(!log.contains("os error 24"), "{load:?}: {log}");
    drop((idle, new_connections, management));
}

#[test]
fn reaches_returning_discovery_while_clients_fill_all_descriptors() {
    std::thread::scope(|scope| {
        for idle_clients_had_request in [false, true] {
            let load = DescriptorLoad { idle_clients_had_request, management_connections: None };
            scope.spawn(move || check_returning_discovery_is_reached(load));
        }
    });
}

#[test]
fn reaches_returning_discovery_while_clients_and_management_calls_fill_all_descriptors() {
    std::thread::scope(|scope| {
        for idle_clients_had_request in [false, true] {
            let load = DescriptorLoad { idle_clients_had_request, management_connections: Some(60) };
            scope.spawn(move || check_returning_discovery_is_reached(load));
        }
    });
}

#[test]
fn responds_to_all_management_calls_that_arrive_at_once() {
    let proxy = ProxyProcess::with_management_address(&[&StubServer::responding_with("hello")]);

    proxy.signal("-STOP");
    let calls: Vec<_> = (0..50)
        .map(|_| {
            let mut stream = proxy.connect_management();
            stream.get_mut().write_all(b"status\n").unwrap();
            stream
        })
        .collect();
    proxy.signal("-CONT");

    for mut stream in calls {
        let mut line = String::new();
        stream.read_line(&mut line).unwrap();
        assert_eq!(line, "OK ready\n");
    }
}
