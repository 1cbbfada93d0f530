//! The backends of a scenario run, which record every complete request.

use super::scenario::{BackendFault, Scenario};
use crate::common::http::{HttpMessage, read_message, response};
use crate::common::stub_server::{StubServer, wait_for_input_or_close};
use std::collections::BTreeMap;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The number of backends.
pub const BACKEND_COUNT: usize = 3;

/// The arrival of a complete request at a backend.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// The index of the backend.
    pub backend: usize,
    /// The time at which the backend finished reading the request.
    pub at: Instant,
}

/// The requests that the backends have read, by `X-Txn`.
pub type Arrivals = Arc<Mutex<BTreeMap<String, Vec<Arrival>>>>;

/// The longest time that a backend takes to respond.
const MAX_RESPONSE_TIME_MS: u64 = 80;

/// Returns the time that a backend takes to respond to a request, derived from the id of the request.
fn response_time(message: &HttpMessage) -> Duration {
    let id = message.header("x-txn").and_then(|id| u64::from_str_radix(id, 16).ok());
    Duration::from_millis(id.unwrap_or_default().wrapping_mul(37) % MAX_RESPONSE_TIME_MS)
}

/// Starts the backends. The first of them has the fault of the scenario.
pub fn start_backends(scenario: &Scenario, arrivals: &Arrivals) -> Vec<StubServer> {
    (0..BACKEND_COUNT).map(|index| start_backend(index, scenario.backend_fault, arrivals.clone())).collect()
}

fn start_backend(index: usize, backend_fault: BackendFault, arrivals: Arrivals) -> StubServer {
    let backend_fault = if index == 0 { backend_fault } else { BackendFault::None };
    StubServer::with_connection_handler(move |stream| {
        while let Some(message) = read_message(stream) {
            let id = message.header("x-txn").unwrap_or_default().to_string();
            let arrival = Arrival { backend: index, at: Instant::now() };
            arrivals.lock().unwrap().entry(id).or_default().push(arrival);
            match backend_fault {
                BackendFault::Resetting => return,
                BackendFault::Silent => return wait_for_input_or_close(stream),
                BackendFault::None => {}
            }
            std::thread::sleep(response_time(&message));
            if stream.get_mut().write_all(response("200 OK", "hello").as_bytes()).is_err() {
                return;
            }
        }
    })
}
