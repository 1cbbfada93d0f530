//! The stub discovery server against the protocol, and a complete small run of `fleet-bench control`.

mod common;

use common::{assert_nothing_left, fleet_bench, processes_of, report_of, table};
use fleet_bench::discovery::{Availability, Change, Discovery, Transfer};
use fleet_bench::instance::instances_at;
use serde_json::{Map, Value};
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

/// Longer than any step takes, also on a busy machine.
const STEP_TIMEOUT: Duration = Duration::from_secs(30);

/// A client that polls the list.
struct PollClient(BufReader<TcpStream>);

impl PollClient {
    fn connect(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(STEP_TIMEOUT)).unwrap();
        Self(BufReader::new(stream))
    }

    fn send_poll(&mut self, path: &str) {
        write!(self.0.get_mut(), "GET {path} HTTP/1.1\r\nHost: d\r\n\r\n").unwrap();
    }

    fn receive_list(&mut self) -> Value {
        let mut length = 0;
        let mut line = String::new();
        while self.0.read_line(&mut line).unwrap() > 2 {
            if let Some(value) = line.trim_end().strip_prefix("Content-Length: ") {
                length = value.parse().unwrap();
            }
            line.clear();
        }
        let mut body = vec![0; length];
        self.0.read_exact(&mut body).unwrap();
        serde_json::from_slice(&body).unwrap()
    }

    fn poll(&mut self, path: &str) -> Value {
        self.send_poll(path);
        self.receive_list()
    }

    fn set_read_timeout(&self, timeout: Duration) {
        self.0.get_ref().set_read_timeout(Some(timeout)).unwrap();
    }
}

/// Id and lifecycle state of each entry.
fn entries(list: &Value) -> Vec<(String, String)> {
    let entries = list["instances"].as_array().unwrap().iter();
    let text = |value: &Value| value.as_str().unwrap().to_string();
    entries.map(|entry| (text(&entry["instanceId"]), text(&entry["lifecycle"]))).collect()
}

fn number(row: &Map<String, Value>, column: &str) -> f64 {
    row[column].as_f64().unwrap()
}

#[test]
fn the_stub_discovery_follows_the_protocol_and_counts_polls() {
    let instances = instances_at((7_000..7_003).map(|port| SocketAddr::from(([127, 0, 0, 1], port))));
    let ids: Vec<_> = instances.iter().map(|instance| instance.instance_id.clone()).collect();
    let discovery = Discovery::start(instances, 1).unwrap();
    let mut client = PollClient::connect(discovery.addresses()[0]);

    // A poll without a version gets the full list.
    let full = client.poll("/api/targets");
    assert_eq!((&full["generation"], &full["reset"]), (&1.into(), &true.into()));
    assert_eq!(entries(&full).len(), 3);
    assert_eq!(full["instances"][1]["hostPort"], "127.0.0.1:7001");

    // Without a change there is a response without entries after the wait.
    let polled = Instant::now();
    let none = client.poll("/api/targets?since=1&timeout_ms=50");
    assert!(polled.elapsed() >= Duration::from_millis(50));
    assert_eq!((&none["generation"], &none["reset"], entries(&none).len()), (&1.into(), &false.into(), 0));

    // A change ends a wait.
    client.send_poll("/api/targets?since=1&timeout_ms=60000");
    while discovery.counts()[0].polls < 3 {
        std::thread::sleep(Duration::from_millis(1));
    }
    discovery.publish(Change::Drain(1));
    let update = client.receive_list();
    assert_eq!(
        (&update["generation"], entries(&update)),
        (&2.into(), vec![(ids[1].clone(), "DRAINING".into())])
    );

    // A poll that names an old version gets all changes since then.
    discovery.publish(Change::Replace(1));
    discovery.publish(Change::Weight { index: 0, weight: 1.5 });
    let update = client.poll("/api/targets?since=2&timeout_ms=1000");
    let states: Vec<_> = entries(&update).into_iter().map(|(_, state)| state).collect();
    assert_eq!(
        (&update["generation"], states),
        (&4.into(), vec!["SERVING".into(), "DELETED".into(), "SERVING".into()])
    );
    assert_eq!(update["instances"][0]["weight"], 1.5);

    // A poll that names an unknown version gets the full list, without deleted entries.
    let full = client.poll("/api/targets?since=99&timeout_ms=1000");
    assert_eq!((&full["reset"], entries(&full).len()), (&true.into(), 3));
    assert!(entries(&full).iter().all(|(id, _)| *id != ids[1]));

    // A version is in force once a poll names it, and not before.
    assert_eq!(discovery.pending_acknowledgements(), 2);
    client.poll("/api/targets?since=4&timeout_ms=1");
    assert_eq!(discovery.pending_acknowledgements(), 0);
    let propagation = discovery.take_propagation().unwrap();
    assert_eq!((propagation.per_proxy.len(), propagation.last_proxy.len()), (3, 3));

    // Without history a poll that names an old version gets the full list.
    discovery.publish(Change::Weight { index: 0, weight: 1.0 });
    discovery.forget_history();
    assert_eq!(client.poll("/api/targets?since=4&timeout_ms=1")["reset"], true);
    let counts = discovery.counts()[0];
    assert_eq!(counts.polls, 7);
    assert!(counts.poll_bytes > 7 * 30 && counts.response_bytes > 7 * 100);
}

#[test]
fn the_stub_discovery_recovers_from_silence_and_refused_connections() {
    let discovery = Discovery::start(Vec::new(), 1).unwrap();
    let address = discovery.addresses()[0];
    let mut client = PollClient::connect(address);

    discovery.set_availability(Availability::Silent);
    client.send_poll("/api/targets?since=1&timeout_ms=1");
    client.set_read_timeout(Duration::from_millis(100));
    let kind = client.0.fill_buf().unwrap_err().kind();
    assert!(matches!(kind, ErrorKind::WouldBlock | ErrorKind::TimedOut), "{kind}");

    // The pending poll gets its response.
    client.set_read_timeout(STEP_TIMEOUT);
    discovery.set_availability(Availability::Up);
    assert_eq!(client.receive_list()["generation"], 1);

    discovery.set_availability(Availability::Refusing);
    assert!(matches!(client.0.read(&mut [0]), Ok(0) | Err(_)), "the connection is not closed");
    let start = Instant::now();
    while TcpStream::connect(address).is_ok() {
        assert!(start.elapsed() < STEP_TIMEOUT, "it still accepts connections");
    }

    discovery.start_recording();
    discovery.set_availability(Availability::Slow(Duration::from_millis(100)));
    while TcpStream::connect(address).is_err() {
        assert!(start.elapsed() < STEP_TIMEOUT, "it still refuses connections");
    }
    let polled = Instant::now();
    assert_eq!(PollClient::connect(address).poll("/api/targets")["reset"], true);
    assert!(polled.elapsed() >= Duration::from_millis(100));
    assert!(discovery.stop_recording().iter().any(|event| event.transfer == Transfer::Poll));
}

#[test]
fn a_small_run_measures_real_proxies_and_leaves_nothing_behind() {
    let directory = tempfile::tempdir().unwrap();
    let arguments = ["control", "--quick", "--listed", "17", "--proxies", "2", "--window", "0.5"];

    let (report, text) = report_of(directory.path(), &arguments);

    assert_eq!(report["arguments"]["away"], 2.0, "{text}");
    let costs = table(&report, "What keeping a list costs");
    let rates: Vec<_> = costs.iter().map(|row| row["rate"].as_str().unwrap()).collect();
    assert_eq!(rates, ["none", "fleet", "10"]);
    for row in &costs {
        assert!(number(row, "RSS, MB") > 1.0 && number(row, "descriptors") > 3.0, "{text}");
        assert!(number(row, "core, %") > 0.0, "{text}");
    }
    let fastest = &costs[2];
    assert!(number(fastest, "calls/s") > 0.0 && number(fastest, "bytes/s") > 0.0, "{text}");
    assert!(number(fastest, "50%, ms") <= number(fastest, "all, ms"), "{text}");
    let recoveries = table(&report, "What a discovery that was away gets");
    assert!(number(&recoveries[0], "calls, 6 s") >= 4.0, "{text}");
    assert!(number(&recoveries[0], "all have it, s") < 6.0, "{text}");
    assert!(!text.contains("another number"), "{text}");
    assert_nothing_left(directory.path());
}

#[test]
fn a_signal_ends_a_run_and_all_that_it_started() {
    let directory = tempfile::tempdir().unwrap();
    let mut command = fleet_bench(directory.path(), &["control", "--quick", "--window", "300"]);
    let mut run = command.stderr(Stdio::piped()).spawn().unwrap();
    let start = Instant::now();
    while processes_of(directory.path()) < 5 {
        assert!(start.elapsed() < STEP_TIMEOUT, "no proxies");
        std::thread::sleep(Duration::from_millis(10));
    }

    assert!(Command::new("kill").args(["-INT", &run.id().to_string()]).status().unwrap().success());

    assert_eq!(run.wait().unwrap().code(), Some(1));
    let mut message = String::new();
    run.stderr.take().unwrap().read_to_string(&mut message).unwrap();
    assert_eq!(message, "fleet-bench: ended by a signal: no report\n");
    assert_nothing_left(directory.path());
}

#[test]
fn invalid_arguments_are_rejected_with_one_line() {
    let cases: [(&[&str], &str); 4] = [
        (&["--listed", "1"], "listed: expected 2 to 20,000, got 1"),
        (&["--proxies", "301"], "proxies: expected 1 to 300, got 301"),
        (&["--rates", "0.001"], "rates: expected 0.01 to 1,000 a second, got 0.001"),
        (&["--window", "600"], "plan: expected at most an hour"),
    ];
    for (arguments, expected) in cases {
        let output =
            Command::new(env!("CARGO_BIN_EXE_fleet-bench")).arg("control").args(arguments).output().unwrap();
        let message = String::from_utf8(output.stderr).unwrap();
        assert!(message.contains(expected) && message.lines().count() == 1, "{message}");
        assert_eq!(output.status.code(), Some(1));
    }
}

#[test]
fn a_missing_program_is_reported() {
    let output =
        Command::new(env!("CARGO_BIN_EXE_fleet-bench")).args(["control", "--program", "/absent"]).output();

    let message = String::from_utf8(output.unwrap().stderr).unwrap();
    assert!(message.contains("/absent: no such program"), "{message}");
}
