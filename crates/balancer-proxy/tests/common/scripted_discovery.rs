//! A stand-in for discovery that a test scripts call by call, and a watch event that replaces a backend.

use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::ops::ControlFlow;
use std::sync::{Arc, Mutex};
use std::time::Instant;

use serde_json::Value;

use super::configuration::{endpoint_list, listed_endpoint, serving_list};
use super::http::{HttpMessage, read_message};
use super::stub_server::{StubServer, wait_for_input_or_close};

/// The start of a response that ends within its head.
pub const PARTIAL_HEAD: &str = "HTTP/1.1 200 OK\r\nContent-Le";
/// The start of a response that ends within its body.
pub const PARTIAL_BODY: &str = "HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{\"generation\":2,";

/// A call that a scripted discovery has received.
#[derive(Clone)]
pub struct ReceivedCall {
    /// The time at which the call had arrived completely.
    pub received_at: Instant,
    /// The request line of the call.
    pub request_line: String,
}

/// A stand-in for discovery that counts calls over all connections and handles each by its number.
pub struct ScriptedDiscovery {
    /// The server that receives the calls.
    pub server: StubServer,
    calls: Arc<Mutex<Vec<ReceivedCall>>>,
}

impl ScriptedDiscovery {
    /// Starts a discovery that handles each call by the function. The function gets the number of earlier
    /// calls. The connection is closed if the function returns [`ControlFlow::Break`].
    pub fn new(
        handle_call: impl Fn(usize, &mut BufReader<TcpStream>) -> ControlFlow<()> + Send + Sync + 'static,
    ) -> Self {
        Self::with_call_handler(move |earlier_calls, _, stream| handle_call(earlier_calls, stream))
    }

    /// Starts a discovery like [`ScriptedDiscovery::new`], whose function gets the request line of the call as
    /// well.
    pub fn with_call_handler(
        handle_call: impl Fn(usize, &str, &mut BufReader<TcpStream>) -> ControlFlow<()> + Send + Sync + 'static,
    ) -> Self {
        let calls: Arc<Mutex<Vec<ReceivedCall>>> = Arc::default();
        let received = calls.clone();
        let server = StubServer::with_connection_handler(move |stream| {
            while let Some(HttpMessage { start_line: request_line, .. }) = read_message(stream) {
                let earlier_calls = {
                    let mut received = received.lock().unwrap();
                    let received_at = Instant::now();
                    received.push(ReceivedCall { received_at, request_line: request_line.clone() });
                    received.len() - 1
                };
                if handle_call(earlier_calls, &request_line, stream).is_break() {
                    return;
                }
            }
        });
        Self { server, calls }
    }

    /// Starts a discovery whose first call fails by this fault. The second call gets the response with the
    /// event, and later calls get no response.
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

    /// Returns the number of calls received so far.
    pub fn call_count(&self) -> usize {
        self.calls.lock().unwrap().len()
    }

    /// Returns the call that was received after this number of earlier calls.
    ///
    /// # Panics
    /// If that call has not been received.
    pub fn call(&self, earlier_calls: usize) -> ReceivedCall {
        self.calls.lock().unwrap()[earlier_calls].clone()
    }
}

/// Returns a connection handler that writes the text and keeps the connection open until the peer closes it.
pub fn write_and_hang(text: &'static str) -> impl Fn(&mut BufReader<TcpStream>) + Send + Sync + 'static {
    move |stream| {
        let _ = stream.get_mut().write_all(text.as_bytes());
        wait_for_input_or_close(stream);
    }
}

/// Two backends and a watch event that replaces the first backend by the second.
pub struct BackendReplacement {
    /// The backend that the event replaces. Its responses have the body `old`.
    pub old: StubServer,
    /// The backend that the event adds. Its responses have the body `new`.
    pub new: StubServer,
}

impl BackendReplacement {
    /// Starts both backends.
    pub fn start() -> Self {
        Self { old: StubServer::responding_with("old"), new: StubServer::responding_with("new") }
    }

    /// Returns the event. `old_lifecycle` is the state of the old backend in it.
    pub fn event(&self, generation: u64, old_lifecycle: &str) -> Value {
        endpoint_list(generation, false, &self.endpoints(old_lifecycle))
    }

    /// Returns the full list with both backends. `old_lifecycle` is the state of the old backend in it.
    pub fn full_list(&self, generation: u64, old_lifecycle: &str) -> Value {
        endpoint_list(generation, true, &self.endpoints(old_lifecycle))
    }

    /// Returns both backends with this state of the old one.
    fn endpoints(&self, old_lifecycle: &str) -> [Value; 2] {
        [
            listed_endpoint("s-0", self.old.address, old_lifecycle),
            listed_endpoint("s-1", self.new.address, "SERVING"),
        ]
    }

    /// Returns the endpoint list from before the event.
    pub fn cached_list(&self) -> Value {
        serving_list(&[&self.old])
    }
}
