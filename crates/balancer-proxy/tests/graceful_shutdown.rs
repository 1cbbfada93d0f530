//! Graceful shutdown by SIGTERM. A request that arrives completely on an open connection before the process
//! exits must get a response, and the process must wait for a request that is still arriving. Otherwise
//! clients would see connections reset in a rolling restart.

mod common;

use common::configuration::{
    READINESS_REQUEST, configuration, default_settings, request, request_with_framing, serving_list,
};
use common::http::{connect, exchange, read_message};
use common::proxy_process::{ProxyCommand, ProxyProcess, exit_code, proxy_command};
use common::shared_address::SharedAddress;
use common::stub_server::{Reply, StubServer, silent_discovery};
use common::waiting::{TEST_TIMEOUT, wait_for};
use serde_json::json;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

/// Time after SIGTERM that exceeds the time to SIGKILL, which is at most 3.7 s.
const DURATION_BEYOND_SIGKILL: Duration = Duration::from_millis(3900);

/// Sends a signal, which is given as an option of `kill`. Returns whether the process existed.
#[must_use]
fn send_signal(child: &Child, signal: &str) -> bool {
    Command::new("kill").args([signal, &child.id().to_string()]).status().unwrap().success()
}

/// Waits until the proxy closes its idle connections, including this one.
fn wait_until_idle_connections_are_closed(idle: &mut BufReader<TcpStream>) {
    assert_eq!(idle.read(&mut [0]).unwrap(), 0);
}

#[test]
fn serves_requests_on_old_and_new_connections_after_sigterm() {
    let (backend, release) = StubServer::holding_first_response("hello");
    let mut proxy = ProxyProcess::in_front_of(&[&backend]);
    let mut idle = proxy.connect();
    assert_eq!(exchange(&mut idle, READINESS_REQUEST).status(), 200);
    let mut busy = proxy.begin_request(&request("order", 20_000));
    wait_for("an attempt", || backend.request_count() == 1);

    proxy.signal("-TERM");
    wait_for("the start of the graceful shutdown", || proxy.exchange(READINESS_REQUEST).status() == 503);
    let (mut new, mut unused) = (proxy.connect(), proxy.connect());

    // The proxy serves more than one request on each connection before it closes the connection.
    for _ in 0..2 {
        for stream in [&mut idle, &mut new] {
            assert_eq!(exchange(stream, &request("look", 20_000)).status(), 200);
        }
    }
    for stream in [&mut idle, &mut new, &mut unused] {
        assert!(read_message(stream).is_none(), "an idle connection was not closed");
    }
    release.send(()).unwrap();
    assert_eq!(read_message(&mut busy).expect("no complete response").status(), 200);
    assert_eq!(exit_code(&mut proxy.child), Some(0));
}

#[test]
fn keeps_idle_connections_open_for_at_least_2_2_s_after_sigterm() {
    // In a rolling restart, a proxy may serve again as late as 2.2 s after SIGTERM to the next proxy.
    let backend = StubServer::responding_with("hello");
    let proxy = ProxyProcess::in_front_of(&[&backend]);
    let mut idle = proxy.connect();
    assert_eq!(exchange(&mut idle, &request("look", 9000)).status(), 200);

    let signalled = Instant::now();
    proxy.signal("-TERM");
    wait_for("the start of the graceful shutdown", || proxy.exchange(READINESS_REQUEST).status() == 503);

    assert_eq!(exchange(&mut idle, &request("look", 9000)).status(), 200);
    assert!(read_message(&mut idle).is_none(), "an idle connection was not closed in the end");
    let elapsed = signalled.elapsed();
    assert!(elapsed >= Duration::from_millis(2200), "closed after {elapsed:?}");
}

#[test]
fn exits_although_a_request_never_arrives_completely() {
    let backend = StubServer::responding_with("hello");
    let mut proxy = ProxyProcess::in_front_of(&[&backend]);
    let _incomplete = proxy.begin_request(request("look", 9000).strip_suffix("dy").unwrap());
    // The response on a later connection shows that the proxy has accepted this one.
    assert_eq!(proxy.exchange(&request("look", 9000)).status(), 200);

    proxy.signal("-TERM");

    assert_eq!(exit_code(&mut proxy.child), Some(0));
}

/// A request that is still arriving when the proxy closes idle connections.
struct PartialRequest {
    /// The class of the request.
    class: &'static str,
    /// Whether an earlier request was served on the connection.
    follows_earlier_request: bool,
    /// The number of bytes that arrive only after idle connections are closed.
    late_bytes: usize,
}

/// Requests without the end of their head or body, as the first or a later request of their connection.
const PARTIAL_REQUESTS: [PartialRequest; 4] = [
    PartialRequest { class: "look", follows_earlier_request: false, late_bytes: 30 },
    PartialRequest { class: "look", follows_earlier_request: true, late_bytes: 30 },
    PartialRequest { class: "order", follows_earlier_request: false, late_bytes: 1 },
    PartialRequest { class: "save", follows_earlier_request: true, late_bytes: 1 },
];

#[test]
fn responds_to_requests_still_arriving_when_idle_connections_are_closed() {
    let backend = StubServer::responding_with("hello");
    let mut proxy = ProxyProcess::in_front_of(&[&backend]);
    let mut idle = proxy.connect();
    assert_eq!(exchange(&mut idle, &request("look", 9000)).status(), 200);
    proxy.signal("-TERM");
    // The requests have 2.4 s to arrive; the idle connections are closed 2.4 s after the signal.
    std::thread::sleep(Duration::from_millis(1500));
    let mut arriving = PARTIAL_REQUESTS.map(|partial| {
        let mut stream = proxy.connect();
        if partial.follows_earlier_request {
            assert_eq!(exchange(&mut stream, &request("look", 9000)).status(), 200);
        }
        let text = request(partial.class, 20_000).into_bytes();
        let (first, rest) = text.split_at(text.len() - partial.late_bytes);
        stream.get_mut().write_all(first).unwrap();
        (stream, rest.to_vec(), partial)
    });

    wait_until_idle_connections_are_closed(&mut idle);
    // After this time a process without an open request would have exited.
    std::thread::sleep(Duration::from_millis(700));

    for (stream, rest, partial) in &mut arriving {
        let case = format!("{}, after another {}", partial.class, partial.follows_earlier_request);
        let written = stream.get_mut().write_all(rest);
        let reply = read_message(stream).unwrap_or_else(|| panic!("{case}: no response, {written:?}"));
        assert!([200, 503].contains(&reply.status()), "{case}: {}", reply.start_line);
        assert_eq!(reply.header("connection"), Some("close"), "{case}");
    }
    assert_eq!(exit_code(&mut proxy.child), Some(0));
}

#[test]
fn responds_to_requests_in_the_listeners_backlog_when_accepting_ends() {
    // The order of the last accept and the end of accepting is random in each round.
    for _ in 0..6 {
        let backend = StubServer::responding_with("hello");
        let mut proxy = ProxyProcess::in_front_of(&[&backend]);
        proxy.signal("-TERM");
        std::thread::sleep(Duration::from_millis(200));

        proxy.signal("-STOP");
        let clients: Vec<_> = (0..5).map(|_| proxy.begin_request(&request("order", 20_000))).collect();
        // Connections are accepted for 2.4 s after the signal.
        std::thread::sleep(Duration::from_millis(2400));
        proxy.signal("-CONT");

        for mut stream in clients {
            let reply = read_message(&mut stream).expect("no complete response");
            assert!([200, 503].contains(&reply.status()), "{}", reply.start_line);
        }
        assert_eq!(exit_code(&mut proxy.child), Some(0));
    }
}

#[test]
fn fails_requests_that_would_outlast_the_process_before_it_exits() {
    let backend = StubServer::new(move |_, _| Reply::Hang);
    let mut proxy = ProxyProcess::in_front_of(&[&backend]);
    let mut buffered = proxy.begin_request(&request("order", 20_000));
    // The body is long, and its last byte follows only after the signal.
    let mut streamed = proxy.connect();
    let body = vec![b'x'; 100_000];
    let head = request_with_framing("save", &format!("Content-Length: {}\r\n\r\n", body.len() + 1));
    streamed.get_mut().write_all(head.as_bytes()).unwrap();
    streamed.get_mut().write_all(&body).unwrap();
    wait_for("an attempt", || backend.request_count() == 1);

    let start = Instant::now();
    proxy.signal("-TERM");
    // Neither of these signals ends or delays the graceful shutdown.
    proxy.signal("-TERM");
    proxy.signal("-HUP");
    streamed.get_mut().write_all(b"x").unwrap();

    for stream in [&mut buffered, &mut streamed] {
        let reply = read_message(stream).expect("no complete response");
        assert!(reply.status() >= 500, "{}", reply.start_line);
        assert_eq!(reply.header("connection"), Some("close"));
    }
    // SIGKILL would come 3.7 s after the signal, so the responses must come long before their deadlines.
    assert!(start.elapsed() < Duration::from_secs(5), "{:?}", start.elapsed());
    assert_eq!(exit_code(&mut proxy.child), Some(0));
}

#[test]
fn response_is_complete_though_the_client_reads_it_only_after_the_exit() {
    let text: &'static str = "x".repeat(60_000).leak();
    let backend = StubServer::responding_with(text);
    let mut proxy = ProxyProcess::in_front_of(&[&backend]);
    let mut streams: Vec<_> = (0..3).map(|_| proxy.connect()).collect();
    for stream in &mut streams {
        stream.get_mut().write_all(request("order", 9000).as_bytes()).unwrap();
    }
    wait_for("all attempts", || backend.request_count() == 3);

    proxy.signal("-TERM");
    assert_eq!(exit_code(&mut proxy.child), Some(0));

    for stream in &mut streams {
        assert_eq!(read_message(stream).expect("no complete response").body.len(), 60_000);
    }
}

/// The proxy completes a response that has begun, however long that takes. Only SIGKILL ends the process
/// sooner. A platform may repeat SIGTERM, and a repetition must not truncate the response.
#[test]
fn completes_a_streamed_response_after_repeated_sigterm() {
    let rest = "x".repeat(100_000);
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", 1 + rest.len());
    let (release, released) = channel();
    let released = Mutex::new(released);
    let backend = StubServer::with_connection_handler(move |stream| {
        if read_message(stream).is_some() {
            stream.get_mut().write_all(format!("{head}x").as_bytes()).unwrap();
            released.lock().unwrap().recv_timeout(TEST_TIMEOUT).unwrap();
            stream.get_mut().write_all(rest.as_bytes()).unwrap();
        }
    });
    let mut proxy = ProxyProcess::in_front_of(&[&backend]);
    let mut client = proxy.begin_request(&request("look", 500));
    client.fill_buf().unwrap(); // the response has begun

    for _ in 0..3 {
        proxy.signal("-TERM");
        std::thread::sleep(DURATION_BEYOND_SIGKILL / 3);
    }
    release.send(()).unwrap();

    let response = read_message(&mut client).expect("no complete response");
    assert_eq!((response.status(), response.body.len()), (200, 100_001));
    assert_eq!(exit_code(&mut proxy.child), Some(0));
}

#[test]
fn exits_gracefully_on_sigterm_before_readiness() {
    let backend = StubServer::responding_with("hello");
    let shared_address = SharedAddress::new();
    let mut configuration = configuration(&default_settings(), &serving_list(&[&backend]));
    let _old = shared_address.start(&configuration);
    // While another process runs, the new one waits for an endpoint list before it listens. Discovery never
    // responds, so that the new process stays in this state.
    let silent = silent_discovery();
    configuration["management"] = json!("127.0.0.1:0");
    let mut next = shared_address.spawn(&configuration, silent.address);
    wait_for("a call to discovery", || silent.request_count() > 0);

    assert!(send_signal(&next, "-TERM"));

    assert_eq!(exit_code(&mut next), Some(0));
}

#[test]
fn serves_and_shuts_down_after_its_log_pipe_is_closed() {
    let backend = StubServer::responding_with("hello");
    let configuration = configuration(&default_settings(), &serving_list(&[&backend]));
    let ProxyCommand { mut command, configuration_path } =
        proxy_command(&configuration.to_string(), silent_discovery().address);
    let mut child = command.stderr(Stdio::piped()).spawn().unwrap();
    let mut log = BufReader::new(child.stderr.take().unwrap());
    let mut line = String::new();
    log.read_line(&mut line).unwrap();
    let address = line.trim().strip_prefix("balancer-proxy: listening on ").unwrap().parse().unwrap();
    drop(log);

    // Each reload logs an error, and the write to the closed pipe fails.
    std::fs::write(&configuration_path, "{").unwrap();
    for _ in 0..3 {
        assert!(send_signal(&child, "-HUP"));
        std::thread::sleep(Duration::from_millis(100));
        assert_eq!(exchange(&mut connect(address), &request("look", 9000)).status(), 200);
    }
    assert!(send_signal(&child, "-TERM"));

    assert_eq!(exit_code(&mut child), Some(0));
}
