//! A discovery that a test scripts call by call, and the watch event that it announces.

use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::ops::ControlFlow;
use std::sync::{Arc, Mutex};
use std::time::Instant;

use serde_json::Value;

use super::configuration::{endpoint_list, listed_endpoint, serving_list};
use super::http::read_message;
use super::stub_server::{StubServer, wait_for_input_or_close};

/// The start of a response that ends within its head.
pub const PARTIAL_HEAD: &str = "HTTP/1.1 200 OK\r\nContent-Le";
/// The start of a response that ends within its body.
pub const PARTIAL_BODY: &str = "HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{\"generation\":2,";

/// A call that a scripted discovery has received.
#[derive(Clone)]
pub struct ReceivedCall {
    /// When the call had arrived completely.
    pub received_at: Instant,
    /// The first line of the call.
    pub request_line: String,
}

/// A discovery that handles each call by its number, whichever connection it comes over.
pub struct ScriptedDiscovery {
    /// The server that receives the calls.
    pub server: StubServer,
    calls: Arc<Mutex<Vec<ReceivedCall>>>,
}

impl ScriptedDiscovery {
    /// Handles each call by the function, which gets the number of earlier calls. The connection is
    /// closed where the function breaks.
    pub fn new(
        handle_call: impl Fn(usize, &mut BufReader<TcpStream>) -> ControlFlow<()> + Send + Sync + 'static,
    ) -> Self {
        let calls: Arc<Mutex<Vec<ReceivedCall>>> = Arc::default();
        let received = calls.clone();
        let server = StubServer::with_connection_handler(move |stream| {
            while let Some(message) = read_message(stream) {
                let earlier_calls = {
                    let mut received = received.lock().unwrap();
                    received
                        .push(ReceivedCall { received_at: Instant::now(), request_line: message.start_line });
                    received.len() - 1
                };
                if handle_call(earlier_calls, stream).is_break() {
                    return;
                }
            }
        });
        Self { server, calls }
    }

    /// A discovery whose first call fails by this fault; the second gets the response with the event,
    /// and later ones get no response.
    pub fn with_failing_first_call(
        fault: impl Fn(&mut BufReader<TcpStream>) + Send + Sync + 'static,
        event_response: String,
    ) -> Self {
        Self::new(move |earlier_calls, stream| {
            match earlier_calls {
                0 => {
                    fault(stream);
                    return ControlFlow::Break(());
                }
                1 => stream.get_mut().write_all(event_response.as_bytes()).unwrap(),
                _ => wait_for_input_or_close(stream),
            }
            ControlFlow::Continue(())
        })
    }

    /// The number of calls received so far.
    pub fn call_count(&self) -> usize {
        self.calls.lock().unwrap().len()
    }

    /// The call that has this number of earlier calls.
    ///
    /// # Panics
    /// If that call has not been received.
    pub fn call(&self, earlier_calls: usize) -> ReceivedCall {
        self.calls.lock().unwrap()[earlier_calls].clone()
    }
}

/// Writes the text and holds the connection.
pub fn write_and_hang(text: &'static str) -> impl Fn(&mut BufReader<TcpStream>) + Send + Sync + 'static {
    move |stream| {
        let _ = stream.get_mut().write_all(text.as_bytes());
        wait_for_input_or_close(stream);
    }
}

/// Two backends, the first of which leaves in favour of the second by a watch event.
pub struct BackendReplacement {
    /// The backend that leaves; its responses have the body `old`.
    pub old: StubServer,
    /// The backend that the event adds; its responses have the body `new`.
    pub new: StubServer,
}

impl BackendReplacement {
    /// Starts both backends.
    pub fn start() -> Self {
        Self { old: StubServer::responding_with("old"), new: StubServer::responding_with("new") }
    }

    /// The event, with the old backend in this lifecycle.
    pub fn event(&self, generation: u64, old_lifecycle: &str) -> Value {
        let endpoints = [
            listed_endpoint("s-0", self.old.address, old_lifecycle),
            listed_endpoint("s-1", self.new.address, "SERVING"),
        ];
        endpoint_list(generation, false, &endpoints)
    }

    /// The list before the event.
    pub fn cached_list(&self) -> Value {
        serving_list(&[&self.old])
    }
}
