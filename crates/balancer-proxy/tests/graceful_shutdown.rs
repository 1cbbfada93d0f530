//! Graceful shutdown by SIGTERM: a request that arrives completely on an open connection before the
//! process is gone gets a response, and a request that is still arriving is waited for.

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

/// Longer than the time to SIGKILL, which is at most 3.7 s after SIGTERM.
const BEYOND_THE_KILL: Duration = Duration::from_millis(3900);

/// Sends a signal, given as an option of `kill`. Returns whether the process existed.
#[must_use]
fn send_signal(child: &Child, signal: &str) -> bool {
    Command::new("kill").args([signal, &child.id().to_string()]).status().unwrap().success()
}

/// Waits until the proxy closes its idle connections, including this one.
fn wait_for_idle_close(idle: &mut BufReader<TcpStream>) {
    assert_eq!(idle.read(&mut [0]).unwrap(), 0);
}

#[test]
fn serves_requests_on_old_and_new_connections_after_sigterm() {
    let (backend, release) = StubServer::holding_first_response("hello");
    let mut proxy = ProxyProcess::in_front_of(&[&backend]);
    let mut idle = proxy.connect();
    assert_eq!(exchange(&mut idle, READINESS_REQUEST).status(), 200);
    let mut busy = proxy.begin_request(&request("order", 20_000));
    wait_for("attempt", || backend.request_count() == 1);

    proxy.signal("-TERM");
    wait_for("graceful shutdown", || proxy.exchange(READINESS_REQUEST).status() == 503);
    let (mut new, mut unused) = (proxy.connect(), proxy.connect());

    // Each connection is served more than once, and is then closed.
    for _ in 0..2 {
        for stream in [&mut idle, &mut new] {
            assert_eq!(exchange(stream, &request("look", 20_000)).status(), 200);
        }
    }
    for stream in [&mut idle, &mut new, &mut unused] {
        assert!(read_message(stream).is_none(), "an idle connection is closed");
    }
    release.send(()).unwrap();
    assert_eq!(read_message(&mut busy).expect("a response").status(), 200);
    assert_eq!(exit_code(&mut proxy.child), Some(0));
}

#[test]
fn keeps_idle_connections_open_until_a_proxy_restarted_before_is_back() {
    // In a rolling restart, a proxy was seen to return up to 2.2 s after the signal to the next one.
    let backend = StubServer::responding_with("hello");
    let proxy = ProxyProcess::in_front_of(&[&backend]);
    let mut idle = proxy.connect();
    assert_eq!(exchange(&mut idle, &request("look", 9000)).status(), 200);

    let signalled = Instant::now();
    proxy.signal("-TERM");
    wait_for("graceful shutdown", || proxy.exchange(READINESS_REQUEST).status() == 503);

    assert_eq!(exchange(&mut idle, &request("look", 9000)).status(), 200);
    assert!(read_message(&mut idle).is_none(), "an idle connection is closed in the end");
    let elapsed = signalled.elapsed();
    assert!(elapsed >= Duration::from_millis(2200), "closed after {elapsed:?}");
}

#[test]
fn exits_although_a_request_never_arrives_completely() {
    let backend = StubServer::responding_with("hello");
    let mut proxy = ProxyProcess::in_front_of(&[&backend]);
    let _incomplete = proxy.begin_request(request("look", 9000).strip_suffix("dy").unwrap());
    // The response on a later connection shows that this one has been accepted.
    assert_eq!(proxy.exchange(&request("look", 9000)).status(), 200);

    proxy.signal("-TERM");

    assert_eq!(exit_code(&mut proxy.child), Some(0));
}

/// A request that is arriving as the idle connections are closed.
struct PartialRequest {
    class: &'static str,
    /// Whether an earlier request was served on the connection.
    follows_earlier_request: bool,
    /// The number of bytes that arrive late.
    late_bytes: usize,
}

/// Requests that lack the end of a head, of a later head, or of a body.
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

    wait_for_idle_close(&mut idle);
    // By now a process without an open request would have exited.
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
    // Whether a last accept or the end of accepting comes first is drawn anew each time.
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
            let reply = read_message(&mut stream).expect("a response");
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
    // The body is long, and complete only later.
    let mut streamed = proxy.connect();
    let body = vec![b'x'; 100_000];
    let head = request_with_framing("save", &format!("Content-Length: {}\r\n\r\n", body.len() + 1));
    streamed.get_mut().write_all(head.as_bytes()).unwrap();
    streamed.get_mut().write_all(&body).unwrap();
    wait_for("attempt", || backend.request_count() == 1);

    let start = Instant::now();
    proxy.signal("-TERM");
    // Neither signal ends the graceful shutdown or delays it.
    proxy.signal("-TERM");
    proxy.signal("-HUP");
    streamed.get_mut().write_all(b"x").unwrap();

    for stream in [&mut buffered, &mut streamed] {
        let reply = read_message(stream).expect("a response");
        assert!(reply.status() >= 500, "{}", reply.start_line);
        assert_eq!(reply.header("connection"), Some("close"));
    }
    // The responses come long before the deadlines, as SIGKILL would come 3.7 s after the signal.
    assert!(start.elapsed() < Duration::from_secs(5), "{:?}", start.elapsed());
    assert_eq!(exit_code(&mut proxy.child), Some(0));
}

#[test]
fn a_response_read_only_after_the_process_has_exited_is_complete() {
    let text: &'static str = "x".repeat(60_000).leak();
    let backend = StubServer::responding_with(text);
    let mut proxy = ProxyProcess::in_front_of(&[&backend]);
    let mut streams: Vec<_> = (0..3).map(|_| proxy.connect()).collect();
    for stream in &mut streams {
        stream.get_mut().write_all(request("order", 9000).as_bytes()).unwrap();
    }
    wait_for("attempts", || backend.request_count() == 3);

    proxy.signal("-TERM");
    assert_eq!(exit_code(&mut proxy.child), Some(0));

    for stream in &mut streams {
        assert_eq!(read_message(stream).expect("a response").body.len(), 60_000);
    }
}

/// A response that has begun is owed in full, however long it takes: whoever wants the process gone sooner kills it.
/// A platform may repeat SIGTERM, and a repetition must not cut short what the first one has granted.
#[test]
fn a_response_being_streamed_is_completed_after_sigterm_however_often_it_is_repeated() {
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
        std::thread::sleep(BEYOND_THE_KILL / 3);
    }
    release.send(()).unwrap();

    let response = read_message(&mut client).expect("a response");
    assert_eq!((response.status(), response.body.len()), (200, 100_001));
    assert_eq!(exit_code(&mut proxy.child), Some(0));
}

#[test]
fn sigterm_before_readiness_is_a_graceful_shutdown() {
    let backend = StubServer::responding_with("hello");
    let shared_address = SharedAddress::new();
    let mut configuration = configuration(&default_settings(), &serving_list(&[&backend]));
    let _old = shared_address.start(&configuration);
    // While another process runs, the new one waits for a list before it listens; discovery is silent.
    let silent = silent_discovery();
    configuration["management"] = json!("127.0.0.1:0");
    let mut next = shared_address.spawn(&configuration, silent.address);
    wait_for("poll", || silent.request_count() > 0);

    assert!(send_signal(&next, "-TERM"));

    assert_eq!(exit_code(&mut next), Some(0));
}

#[test]
fn goes_on_when_nobody_reads_its_log() {
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

    // Each reload logs an error.
    std::fs::write(&configuration_path, "{").unwrap();
    for _ in 0..3 {
        assert!(send_signal(&child, "-HUP"));
        std::thread::sleep(Duration::from_millis(100));
        assert_eq!(exchange(&mut connect(address), &request("look", 9000)).status(), 200);
    }
    assert!(send_signal(&child, "-TERM"));

    assert_eq!(exit_code(&mut child), Some(0));
}
