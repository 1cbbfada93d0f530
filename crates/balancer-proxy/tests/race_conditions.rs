//! Two events that can both end a request and that occur while the process is stopped by SIGSTOP, so that the
//! process finds both when it continues. Whichever it handles first, the request has one final response, one
//! outcome and one count.

mod common;

use common::configuration::{READINESS_REQUEST, default_settings, endpoint_list, listed_endpoint, request};
use common::http::{exchange, read_message, response};
use common::late_server::LateServer;
use common::proxy_process::ProxyProcess;
use common::stub_server::{Reply, StubServer, silent_discovery};
use common::waiting::{TEST_TIMEOUT, wait_for};
use serde_json::json;
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::sync::Mutex;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

/// The deadline of a request that expires while the process is stopped for [`PAUSE_BEYOND_DEADLINE`].
const EXPIRING_DEADLINE_MS: u64 = 1000;
/// The time for which the process is stopped, longer than [`EXPIRING_DEADLINE_MS`].
const PAUSE_BEYOND_DEADLINE: Duration = Duration::from_millis(1200);
/// The deadline of a request that does not expire during a test.
const DISTANT_DEADLINE_MS: u64 = 9000;

/// An unsafe request in flight at a backend that holds its responses.
struct RequestInFlight {
    proxy: ProxyProcess,
    /// The client's connection, while it is open.
    client: Option<BufReader<TcpStream>>,
    release_response: Sender<()>,
    response_written: Receiver<()>,
}

impl RequestInFlight {
    fn start(remaining_ms: u64) -> Self {
        let (release_response, released) = channel::<()>();
        let (report_write, response_written) = channel();
        let (released, report_write) = (Mutex::new(released), Mutex::new(report_write));
        let backend = StubServer::with_connection_handler(move |stream| {
            while read_message(stream).is_some() {
                let _ = released.lock().unwrap().recv_timeout(TEST_TIMEOUT);
                let _ = stream.get_mut().write_all(response("200 OK", "hello").as_bytes());
                let _ = report_write.lock().unwrap().send(());
            }
        });
        let proxy = ProxyProcess::with_management_address(&[&backend]);
        let client = proxy.begin_request(&request("order", remaining_ms));
        wait_for("an attempt", || proxy.stats()["forwards"] == 1);
        Self { proxy, client: Some(client), release_response, response_written }
    }

    /// Lets the backend respond, and returns once the response has been written.
    fn respond(&mut self) {
        self.release_response.send(()).unwrap();
        self.response_written.recv_timeout(TEST_TIMEOUT).unwrap();
    }

    fn disconnect_client(&mut self) {
        self.client = None;
    }

    /// Stops the process while `events` runs, lets it continue and checks that the request ends once.
    fn check_ends_once(mut self, events: impl FnOnce(&mut Self)) {
        self.proxy.signal("-STOP");
        events(&mut self);
        self.proxy.signal("-CONT");
        let Self { proxy, mut client, release_response, .. } = self;
        let status =
            client.as_mut().map(|stream| read_message(stream).expect("no complete response").status());
        wait_for("the end of the request", || proxy.stats()["outstanding"] == 0);

        let results = proxy.stats()["results"]["order"].clone();
        let counts: Vec<_> =
            ["succeeded", "declined", "aborted"].map(|outcome| results[outcome].as_u64().unwrap()).into();
        match status {
            Some(200) => assert_eq!(counts, [1, 0, 0]),
            Some(429 | 503) => assert_eq!(counts, [0, 1, 0]),
            Some(_) => assert_eq!(counts, [0, 0, 1]),
            // The request of a client that has disconnected is counted once or not at all.
            None => assert!(counts.iter().sum::<u64>() <= 1),
        }
        assert_eq!(
            proxy.stats()["forwards"],
            json!(1),
            "the unsafe request did not have exactly one attempt"
        );
        // No second response arrives on the connection, and the proxy still serves requests.
        drop(release_response);
        if let Some(mut stream) = client {
            assert_eq!(exchange(&mut stream, READINESS_REQUEST).status(), 200);
        }
        assert_eq!(proxy.exchange(&request("look", 9000)).status(), 200);
    }
}

#[test]
fn a_request_ends_once_when_its_response_arrives_at_its_deadline() {
    RequestInFlight::start(EXPIRING_DEADLINE_MS).check_ends_once(|request| {
        request.respond();
        std::thread::sleep(PAUSE_BEYOND_DEADLINE);
    });
    RequestInFlight::start(EXPIRING_DEADLINE_MS).check_ends_once(|request| {
        std::thread::sleep(PAUSE_BEYOND_DEADLINE);
        request.respond();
    });
}

#[test]
fn a_request_ends_once_when_its_response_arrives_as_the_client_disconnects() {
    RequestInFlight::start(DISTANT_DEADLINE_MS).check_ends_once(|request| {
        request.respond();
        request.disconnect_client();
    });
    RequestInFlight::start(DISTANT_DEADLINE_MS).check_ends_once(|request| {
        request.disconnect_client();
        request.respond();
    });
}

#[test]
fn a_request_ends_once_when_the_client_disconnects_at_its_deadline() {
    RequestInFlight::start(EXPIRING_DEADLINE_MS).check_ends_once(|request| {
        request.disconnect_client();
        std::thread::sleep(PAUSE_BEYOND_DEADLINE);
    });
}

#[test]
fn does_not_send_a_retry_over_a_connection_established_after_the_window_of_its_key() {
    // The connection to one backend is established late; the other backend fails each attempt.
    let late = LateServer::with_full_backlog();
    let failing = StubServer::new(|_, _| Reply::Close);
    let mut settings = default_settings();
    settings["caps"]["connect-timeout"] = json!(20.0);
    settings["classes"][1]["window"] = json!(2.0);
    let endpoints =
        [listed_endpoint("s-0", late.address, "SERVING"), listed_endpoint("s-1", failing.address, "SERVING")];
    let cached_list = endpoint_list(1, true, &endpoints);
    let mut retries_seen = 0;
    // The proxy draws the member for the first attempt at random. It is very improbable that the
    // late server is drawn in all 20 runs.
    for _ in 0..20 {
        let proxy = ProxyProcess::start(&settings, &cached_list, silent_discovery().address);
        let failed_before = failing.request_count();
        let mut stream = proxy.connect();
        // T1 expires 1.6 s after the arrival, within the window of 2 s. The request has a deadline of 4 s.
        stream.get_mut().write_all(request("save", 4000).as_bytes()).unwrap();
        wait_for("a connection attempt", || late.has_pending_connection());
        if failing.request_count() == failed_before {
            continue; // the first attempt went to the late server, where it is still written in time
        }
        retries_seen += 1;

        // The proxy cancels the retry at the end of the window, before the deadline of the request.
        let start = Instant::now();
        let status = read_message(&mut stream).expect("no complete response").status();

        assert_eq!(status, 503, "the status does not tell the client that it may safely retry");
        assert!(start.elapsed() < Duration::from_millis(1200), "{:?}", start.elapsed());
        assert_eq!(late.accept_all(), Vec::<String>::new());
        break;
    }
    assert_eq!(retries_seen, 1);
}
