//! Requests that arrive while the tasks of other connections run.
//!
//! What happened: of 60 processes that ended without a successor two closed a connection on which a request had arrived,
//! without a byte of a response.
//!
//! Why: a task reads its socket only once the system has told the runtime that bytes have arrived, and the runtime asks
//! the system between two rounds of tasks. Bytes that arrive during a round were not seen by the tasks of that round:
//! they ended the sending side, and then discarded what they found on the receiving side.
//!
//! What showed it: requests sent every 0.25 ms around the end of full service, on 80 connections. The connections are
//! closed over several milliseconds; those that had got a request in that time ended without a reset, which the
//! system sends for bytes that nobody has read.

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

/// The number of connections. With their senders they are fewer than the tasks that the runtime runs in a round.
const CONNECTIONS: usize = 16;
/// A request that the proxy responds to by itself.
const REQUEST: &[u8] = b"GET /-/ready HTTP/1.1\r\nHost: p\r\n\r\n";
/// Far beyond what any step takes, on a busy machine too.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// What all connections of a test share.
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
        Self { handler, lifecycle, connections: ConnectionTable::new(4 * CONNECTIONS), clients: Vec::new() }
    }

    /// Starts the task of a connection, and returns the client's end.
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

/// Sends a request in the round of tasks after the next signal, if the connection is open then. Returns the client's
/// end of a connection that a request was sent on.
async fn send_after(mut signal: watch::Receiver<()>, mut client: TcpStream) -> Option<TcpStream> {
    signal.changed().await.unwrap();
    yield_now().await;
    if has_ended(&client) {
        return None;
    }
    client.write_all(REQUEST).unwrap();
    Some(client)
}

/// Reads the beginning of a response, without blocking the other tasks. Empty if the connection ends.
async fn read_beginning(client: TcpStream) -> String {
    client.set_nonblocking(true).unwrap();
    let mut client = tokio::net::TcpStream::from_std(client).unwrap();
    let mut buffer = [0; 64];
    let length = tokio::time::timeout(TEST_TIMEOUT, client.read(&mut buffer)).await.unwrap().unwrap();
    String::from_utf8_lossy(&buffer[..length]).into_owned()
}

/// Closes idle connections in this way, and sends a request on each of them in the same round of tasks. Those that
/// were open when the request was sent must get a response.
fn check_crossing_requests(close: impl FnOnce(&Proxy)) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let mut proxy = Proxy::start();
        let signal = watch::Sender::new(());
        let crossing: Vec<_> = (0..CONNECTIONS)
            .map(|_| spawn_local(send_after(signal.subscribe(), proxy.connect(&listener))))
            .collect();
        tokio::time::sleep(Duration::from_millis(50)).await; // all tasks wait

        // The runtime resumes tasks that yield in reverse order, and so the senders first.
        close(&proxy);
        signal.send_replace(());

        let mut sent = 0;
        for client in crossing {
            let Some(client) = client.await.unwrap() else { continue };
            sent += 1;
            let response = read_beginning(client).await;
            assert!(response.starts_with("HTTP/1.1 503 "), "request {sent} got '{response}'");
        }
        assert!(sent > 0, "every connection was closed before its request");
    });
}

#[test]
fn responds_to_a_request_that_arrives_in_the_round_of_tasks_that_ends_full_service() {
    check_crossing_requests(|proxy| proxy.lifecycle.close_connections());
}

#[test]
fn responds_to_a_request_that_arrives_in_the_round_of_tasks_that_evicts_its_connection() {
    check_crossing_requests(|proxy| {
        for client in &proxy.clients {
            client.request_close();
        }
    });
}
