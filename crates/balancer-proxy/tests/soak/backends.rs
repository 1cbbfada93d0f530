//! The backends of a play, which record every complete request.

use super::scenario::{BadBackend, Scenario};
use crate::common::http::{HttpMessage, read_message, response};
use crate::common::stub_server::{StubServer, wait_for_input_or_close};
use std::collections::BTreeMap;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The number of backends.
pub const BACKENDS: usize = 3;

/// A complete request at a backend.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// The index of the backend.
    pub backend: usize,
    /// The time at which the backend has read the request.
    pub at: Instant,
}

/// The requests that the backends have read, by `X-Txn`.
pub type Arrivals = Arc<Mutex<BTreeMap<String, Vec<Arrival>>>>;

/// The longest time that a backend takes to respond.
const MAX_RESPONSE_TIME_MS: u64 = 80;

/// Returns the time that a backend takes to respond, which the id of the request decides.
fn response_time(message: &HttpMessage) -> Duration {
    let id = message.header("x-txn").and_then(|id| u64::from_str_radix(id, 16).ok());
    Duration::from_millis(id.unwrap_or_default().wrapping_mul(37) % MAX_RESPONSE_TIME_MS)
}

/// Starts the backends.
pub fn start(scenario: &Scenario, arrivals: &Arrivals) -> Vec<StubServer> {
    (0..BACKENDS).map(|index| start_one(index, scenario.bad_backend, arrivals.clone())).collect()
}

fn start_one(index: usize, bad_backend: BadBackend, arrivals: Arrivals) -> StubServer {
    let bad_backend = if index == 0 { bad_backend } else { BadBackend::None };
    StubServer::with_connection_handler(move |stream| {
        while let Some(message) = read_message(stream) {
            let id = message.header("x-txn").unwrap_or_default().to_string();
            let arrival = Arrival { backend: index, at: Instant::now() };
            arrivals.lock().unwrap().entry(id).or_default().push(arrival);
            match bad_backend {
                BadBackend::Resetting => return,
                BadBackend::Silent => return wait_for_input_or_close(stream),
                BadBackend::None => {}
            }
            std::thread::sleep(response_time(&message));
            if stream.get_mut().write_all(response("200 OK", "hello").as_bytes()).is_err() {
                return;
            }
        }
    })
}
