//! Clients that send requests until the end of a scenario run, and use each connection while it stays open.

use crate::common::configuration::request;
use crate::common::http::read_message;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::io::{BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// The length of a body that the proxy streams because the body exceeds the buffered length.
const STREAMED_BODY_BYTES: usize = 80 * 1024;
/// The longest pause of a client between two requests.
const MAX_PAUSE_BETWEEN_REQUESTS_MS: u64 = 15;
/// The pause after a connection was refused.
const PAUSE_AFTER_REFUSED_CONNECTION: Duration = Duration::from_millis(5);
/// The longest wait for a response, longer than every deadline.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(8);

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A complete response with this status.
    Response(u16),
    /// The connection was closed or reset without a complete response.
    ConnectionEnded,
    /// No response arrived within the response timeout.
    TimedOut,
    /// The connection could not be established.
    Refused,
}

/// One request of a client.
#[derive(Clone, Debug)]
pub struct Exchange {
    /// The value of `X-Txn`, by which the backends record the request.
    pub id: String,
    /// The class of the request.
    pub class: &'static str,
    /// The time at which the client began to send.
    pub sent_at: Instant,
    /// The time of the outcome.
    pub ended_at: Instant,
    /// Whether the connection had carried a request before.
    pub is_reused: bool,
    /// How the request ended.
    pub outcome: Outcome,
}

/// The parameters of a client.
#[derive(Clone, Copy, Debug)]
pub struct ClientParameters {
    /// The address of the proxy.
    pub address: SocketAddr,
    /// The seed of the pauses, the classes and the choice of streamed bodies.
    pub seed: u64,
    /// The deadline that the client states in its requests.
    pub deadline: Duration,
    /// Whether some request bodies are long enough to be streamed.
    pub has_streamed_bodies: bool,
}

/// Sends requests until `is_over` is set. Returns all exchanges.
pub fn run_client(parameters: ClientParameters, is_over: &AtomicBool) -> Vec<Exchange> {
    let random = &mut SmallRng::seed_from_u64(parameters.seed);
    let mut open_stream: Option<BufReader<TcpStream>> = None;
    let mut exchanges = Vec::new();
    while !is_over.load(Ordering::SeqCst) {
        let class = ["look", "save", "order"][random.random_range(0..3)];
        let is_streamed = parameters.has_streamed_bodies && class == "order" && random.random_bool(0.1);
        let text = request_text(class, parameters.deadline, is_streamed);
        let is_reused = open_stream.is_some();
        let sent_at = Instant::now();
        let (outcome, reusable_stream) = exchange(open_stream.take(), parameters.address, &text);
        open_stream = reusable_stream;
        exchanges.push(Exchange {
            id: request_id(&text),
            class,
            sent_at,
            ended_at: Instant::now(),
            is_reused,
            outcome,
        });
        match outcome {
            Outcome::Refused => std::thread::sleep(PAUSE_AFTER_REFUSED_CONNECTION),
            _ => std::thread::sleep(Duration::from_millis(
                random.random_range(0..MAX_PAUSE_BETWEEN_REQUESTS_MS),
            )),
        }
    }
    exchanges
}

fn request_text(class: &str, deadline: Duration, is_streamed: bool) -> String {
    let text = request(class, deadline.as_millis() as u64);
    if !is_streamed {
        return text;
    }
    let body = "x".repeat(STREAMED_BODY_BYTES);
    text.replace("Content-Length: 4\r\n\r\nbody", &format!("Content-Length: {}\r\n\r\n{body}", body.len()))
}

fn request_id(text: &str) -> String {
    let line = text.lines().find_map(|line| line.strip_prefix("X-Txn: "));
    line.unwrap_or_default().to_string()
}

/// Makes one exchange on an open or a new connection. Returns the connection if it can be used again.
fn exchange(
    open_stream: Option<BufReader<TcpStream>>,
    address: SocketAddr,
    text: &str,
) -> (Outcome, Option<BufReader<TcpStream>>) {
    let mut stream = match open_stream {
        Some(stream) => stream,
        None => match TcpStream::connect(address) {
            Ok(stream) => BufReader::new(stream),
            Err(_) => return (Outcome::Refused, None),
        },
    };
    let _ = stream.get_ref().set_read_timeout(Some(RESPONSE_TIMEOUT));
    // A write error is ignored: a response that came before the whole request was written is read as well.
    let _ = stream.get_mut().write_all(text.as_bytes());
    let Some(message) = read_message(&mut stream) else {
        let is_silent = matches!(
            stream.get_ref().peek(&mut [0]),
            Err(error) if error.kind() == ErrorKind::WouldBlock
        );
        return (if is_silent { Outcome::TimedOut } else { Outcome::ConnectionEnded }, None);
    };
    let closes = message.header("connection") == Some("close");
    (Outcome::Response(message.status()), (!closes).then_some(stream))
}
