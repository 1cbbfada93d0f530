//! Tests of the stub discovery server on loopback sockets. They guard against responses that differ from the
//! operators' discovery protocol, wrong counts and acknowledgements, and simulated outages that the clients
//! do not see: the measurements of `fleet-bench control` depend on all of these.

use fleet_bench::discovery::{Availability, Change, Discovery, Transfer};
use fleet_bench::instance::{Instance, create_instances};
use serde_json::Value;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Timeout of each step, long enough for a busy machine.
const STEP_TIMEOUT: Duration = Duration::from_secs(30);

/// A discovery client that polls the instance list on one connection.
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

/// Id and lifecycle state of an entry of a list.
#[derive(Debug, PartialEq)]
struct Entry {
    id: String,
    state: String,
}

/// Returns the id and the lifecycle state of each entry.
fn entries(list: &Value) -> Vec<Entry> {
    let entries = list["instances"].as_array().unwrap().iter();
    let text = |value: &Value| value.as_str().unwrap().to_string();
    entries.map(|entry| Entry { id: text(&entry["instanceId"]), state: text(&entry["lifecycle"]) }).collect()
}

fn states(list: &Value) -> Vec<String> {
    entries(list).into_iter().map(|entry| entry.state).collect()
}

/// Creates three serving instances.
fn three_instances() -> Vec<Instance> {
    create_instances((7_000..7_003).map(|port| SocketAddr::from(([127, 0, 0, 1], port))))
}

/// Starts a server that lists three instances, and connects a client in place of the only proxy.
fn start_with_client() -> (Discovery, PollClient) {
    let discovery = Discovery::start(three_instances(), 1).unwrap();
    let client = PollClient::connect(discovery.addresses()[0]);
    (discovery, client)
}

#[test]
fn a_poll_without_a_version_gets_the_full_list() {
    let (_discovery, mut client) = start_with_client();

    let list = client.poll("/api/targets");

    assert_eq!((&list["generation"], &list["reset"]), (&1.into(), &true.into()));
    assert_eq!(entries(&list).len(), 3);
    assert_eq!(list["instances"][1]["hostPort"], "127.0.0.1:7001");
}

#[test]
fn a_poll_gets_no_entries_after_its_wait_if_nothing_has_changed() {
    let (_discovery, mut client) = start_with_client();

    let polled = Instant::now();
    let list = client.poll("/api/targets?since=1&timeout_ms=50");

    assert!(polled.elapsed() >= Duration::from_millis(50));
    assert_eq!((&list["generation"], &list["reset"], entries(&list).len()), (&1.into(), &false.into(), 0));
}

#[test]
fn a_change_ends_the_wait_of_a_poll() {
    let (discovery, mut client) = start_with_client();
    client.send_poll("/api/targets?since=1&timeout_ms=60000");
    while discovery.counts()[0].polls < 1 {
        std::thread::sleep(Duration::from_millis(1));
    }

    discovery.publish(Change::Drain(1));

    let update = client.receive_list();
    let drained = Entry { id: three_instances()[1].instance_id.clone(), state: "DRAINING".to_string() };
    assert_eq!((&update["generation"], entries(&update)), (&2.into(), vec![drained]));
}

#[test]
fn a_poll_with_an_old_version_gets_all_later_changes() {
    let (discovery, mut client) = start_with_client();
    discovery.publish(Change::Drain(1));
    discovery.publish(Change::Replace(1));
    discovery.publish(Change::Weight { index: 0, weight: 1.5 });

    let update = client.poll("/api/targets?since=2&timeout_ms=1000");

    assert_eq!(update["generation"], 4);
    assert_eq!(states(&update), ["SERVING", "DELETED", "SERVING"]);
    assert_eq!(update["instances"][0]["weight"], 1.5);
}

#[test]
fn a_poll_with_an_unknown_version_gets_the_full_list_without_deleted_entries() {
    let (discovery, mut client) = start_with_client();
    discovery.publish(Change::Drain(1));
    discovery.publish(Change::Replace(1));

    let list = client.poll("/api/targets?since=99&timeout_ms=1000");

    assert_eq!((&list["reset"], entries(&list).len()), (&true.into(), 3));
    let deleted = &three_instances()[1].instance_id;
    assert!(entries(&list).iter().all(|entry| entry.id != *deleted));
}

#[test]
fn a_version_is_acknowledged_by_the_poll_that_names_it_and_not_before() {
    let (discovery, mut client) = start_with_client();
    discovery.publish(Change::Drain(1));
    client.poll("/api/targets?since=1&timeout_ms=1000");
    assert_eq!(discovery.pending_acknowledgements(), 1);

    discovery.publish(Change::Replace(1));
    discovery.publish(Change::Weight { index: 0, weight: 1.5 });
    client.poll("/api/targets?since=2&timeout_ms=1000");
    client.poll("/api/targets?since=99&timeout_ms=1000");
    assert_eq!(discovery.pending_acknowledgements(), 2);

    client.poll("/api/targets?since=4&timeout_ms=1");
    assert_eq!(discovery.pending_acknowledgements(), 0);
    let propagation = discovery.take_propagation().unwrap();
    assert_eq!((propagation.per_proxy.len(), propagation.last_proxy.len()), (3, 3));
}

#[test]
fn a_poll_with_an_old_version_gets_the_full_list_after_the_history_is_discarded() {
    let (discovery, mut client) = start_with_client();
    discovery.publish(Change::Weight { index: 0, weight: 1.0 });

    discovery.discard_history();

    assert_eq!(client.poll("/api/targets?since=1&timeout_ms=1")["reset"], true);
}

#[test]
fn polls_and_their_bytes_are_counted() {
    let (discovery, mut client) = start_with_client();
    for _ in 0..7 {
        client.poll("/api/targets?since=1&timeout_ms=1");
    }

    // The server counts a response after the write, so that the client may read the response before.
    let deadline = Instant::now() + STEP_TIMEOUT;
    while discovery.counts()[0].response_bytes <= 7 * 100 && Instant::now() < deadline {
        std::thread::yield_now();
    }
    let counts = discovery.counts()[0];

    assert_eq!(counts.polls, 7);
    assert!(counts.poll_bytes > 7 * 30 && counts.response_bytes > 7 * 100);
}

#[test]
fn a_silent_server_responds_to_pending_polls_once_it_is_up() {
    let (discovery, mut client) = start_with_client();

    discovery.set_availability(Availability::Silent);
    client.send_poll("/api/targets?since=1&timeout_ms=1");
    client.set_read_timeout(Duration::from_millis(100));
    let kind = client.0.fill_buf().unwrap_err().kind();
    assert!(matches!(kind, ErrorKind::WouldBlock | ErrorKind::TimedOut), "{kind}");

    client.set_read_timeout(STEP_TIMEOUT);
    discovery.set_availability(Availability::Up);
    assert_eq!(client.receive_list()["generation"], 1);
}

#[test]
fn a_refusing_server_closes_its_connections_and_accepts_new_ones_after_the_outage() {
    let (discovery, mut client) = start_with_client();
    let address = discovery.addresses()[0];
    client.poll("/api/targets");

    discovery.set_availability(Availability::Refusing);
    assert!(matches!(client.0.read(&mut [0]), Ok(0) | Err(_)), "the connection is not closed");
    let start = Instant::now();
    while TcpStream::connect(address).is_ok() {
        assert!(start.elapsed() < STEP_TIMEOUT, "the server still accepts connections");
    }

    discovery.set_availability(Availability::Slow(Duration::from_millis(100)));
    while TcpStream::connect(address).is_err() {
        assert!(start.elapsed() < STEP_TIMEOUT, "the server still refuses connections");
    }
    let polled = Instant::now();
    assert_eq!(PollClient::connect(address).poll("/api/targets")["reset"], true);
    assert!(polled.elapsed() >= Duration::from_millis(100));
}

#[test]
fn a_slow_server_delays_its_responses_and_records_the_polls() {
    let (discovery, mut client) = start_with_client();
    discovery.start_recording();
    discovery.set_availability(Availability::Slow(Duration::from_millis(100)));

    let polled = Instant::now();
    assert_eq!(client.poll("/api/targets")["reset"], true);

    assert!(polled.elapsed() >= Duration::from_millis(100));
    assert!(discovery.stop_recording().iter().any(|event| event.transfer == Transfer::Poll));
}
