//! Tests of requests that arrive while the tasks of other connections run.
//!
//! The tests guard against a close that discards a request: 2 of 60 processes that shut down without a
//! successor closed a connection on which a request had arrived, without sending a byte of a response. The
//! runtime asks the system for new bytes only between two rounds of tasks, so a task did not detect bytes
//! that arrived during its round. The task shut down the sending side, and then read and discarded the
//! request. The failure appeared with 80 connections and requests sent every 0.25 ms around the end of full
//! service, which is the time after SIGTERM in which clients are served as before. Closing the connections
//! takes several milliseconds, and a connection that received a request in this time ended without the reset
//! that the system sends for unread bytes.

use super::ConnectionTask;
use crate::downstream::client_connection::ClientConnection;
use crate::downstream::connection_table::ConnectionTable;
use crate::downstream::lifecycle::Lifecycle;
use crate::downstream::request_handler::{Admission, RequestHandler};
use crate::engine::Engine;
use crate::limits::Budget;
use crate::metrics::Metrics;
use crate::settings::SettingsSnapshot;
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::sync::watch;
use tokio::task::{LocalSet, spawn_local, yield_now};

/// Number of connections. The tasks of the connections and of their senders all fit in one round of the
/// runtime.
const CONNECTION_COUNT: usize = 16;
/// A request that the proxy responds to without a backend.
const READINESS_REQUEST: &[u8] = b"GET /-/ready HTTP/1.1\r\nHost: p\r\n\r\n";
/// Longer than any step takes, even on a busy machine.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// The state that all connections of a test share.
struct Proxy {
    handler: Rc<RequestHandler>,
    lifecycle: Rc<Lifecycle>,
    connections: Rc<ConnectionTable>,
    clients: Vec<Rc<ClientConnection>>,
}

impl Proxy {
    fn start() -> Self {
        let settings = Rc::new(SettingsSnapshot::default());
        let metrics = Metrics::new(&settings.proxy);
        let engine = Engine::start(settings, 1, 1, metrics);
        let lifecycle = Rc::new(Lifecycle::new());
        lifecycle.start();
        let handler = Rc::new(RequestHandler::new(engine, lifecycle.clone(), Budget::new(1)));
        Self {
            handler,
            lifecycle,
            connections: ConnectionTable::new(4 * CONNECTION_COUNT),
            clients: Vec::new(),
        }
    }

    /// Starts the task of a new connection, and returns the client's end of the connection.
    fn connect(&mut self, listener: &TcpListener) -> TcpStream {
        let client = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        client.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        let (stream, _) = listener.accept().unwrap();
        stream.set_nonblocking(true).unwrap();
        let task = ConnectionTask {
            handler: self.handler.clone(),
            lifecycle: self.lifecycle.clone(),
            connections: self.connections.clone(),
            admission: Admission::Serve,
            stream: Rc::new(tokio::net::TcpStream::from_std(stream).unwrap()),
            slot: self.connections.add(),
        };
        self.clients.push(task.slot.connection().clone());
        spawn_local(task.run());
        client
    }
}

/// Returns whether the proxy has ended its side of a connection.
fn has_ended(client: &TcpStream) -> bool {
    client.set_nonblocking(true).unwrap();
    let ended = client.peek(&mut [0]).is_ok_and(|length| length == 0);
    client.set_nonblocking(false).unwrap();
    ended
}

/// Sends a request in the round of tasks after the next signal, and returns the client's end of the
/// connection. Returns `None` without sending a request if the proxy has already closed the connection.
async fn send_after(mut signal: watch::Receiver<()>, mut client: TcpStream) -> Option<TcpStream> {
    signal.changed().await.unwrap();
    yield_now().await;
    if has_ended(&client) {
        return None;
    }
    client.write_all(READINESS_REQUEST).unwrap();
    Some(client)
}

/// Reads the beginning of a response without blocking the other tasks. Returns an empty text if the
/// connection ends.
async fn read_beginning(client: TcpStream) -> String {
    client.set_nonblocking(true).unwrap();
    let mut client = tokio::net::TcpStream::from_std(client).unwrap();
    let mut buffer = [0; 64];
    let length = tokio::time::timeout(TEST_TIMEOUT, client.read(&mut buffer)).await.unwrap().unwrap();
    String::from_utf8_lossy(&buffer[..length]).into_owned()
}

/// Closes idle connections with `close`, and sends a request on each of them in the same round of tasks. Each
/// connection that was open when its request was sent must get a response.
fn check_requests_that_arrive_during_close(close: impl FnOnce(&Proxy)) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let mut proxy = Proxy::start();
        let signal = watch::Sender::new(());
        let senders: Vec<_> = (0..CONNECTION_COUNT)
            .map(|_| spawn_local(send_after(signal.subscribe(), proxy.connect(&listener))))
            .collect();
        tokio::time::sleep(Duration::from_millis(50)).await; // until all tasks wait

        // The runtime resumes tasks that yield in reverse order, and so the senders first.
        close(&proxy);
        signal.send_replace(());

        let mut sent = 0;
        for sender in senders {
            let Some(client) = sender.await.unwrap() else { continue };
            sent += 1;
            let response = read_beginning(client).await;
            assert!(response.starts_with("HTTP/1.1 503 "), "request {sent} got '{response}'");
        }
        assert!(sent > 0, "every connection was closed before its request");
    });
}

#[test]
fn responds_to_a_request_that_arrives_in_the_round_of_tasks_that_ends_full_service() {
    check_requests_that_arrive_during_close(|proxy| proxy.lifecycle.close_connections());
}

#[test]
fn responds_to_a_request_that_arrives_in_the_round_of_tasks_that_evicts_its_connection() {
    check_requests_that_arrive_during_close(|proxy| {
        for client in &proxy.clients {
            client.request_close();
        }
    });
}
