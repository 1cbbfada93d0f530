//! Clients that use each connection for as long as it stays open, until the end of the play.

use crate::common::configuration::request;
use crate::common::http::read_message;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::io::{BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// The bytes of a body that the proxy streams, as it is longer than those that it buffers.
const STREAMED_BODY_BYTES: usize = 80 * 1024;
/// The longest pause of a client between two requests.
const MAX_PAUSE_MS: u64 = 15;
/// The pause after a connection was refused.
const REFUSED_PAUSE: Duration = Duration::from_millis(5);
/// Longest wait for a response: over every deadline.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(8);

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A complete response with this status.
    Response(u16),
    /// The connection ended, or broke, without a complete response.
    ConnectionEnded,
    /// No response in any time.
    TimedOut,
    /// The connection was refused or reset before it was open.
    Refused,
}

/// One request of a client.
#[derive(Clone, Debug)]
pub struct Exchange {
    /// `X-Txn`, by which backends know the request.
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

/// What a client does.
#[derive(Clone, Copy, Debug)]
pub struct ClientPlan {
    /// The address of the proxy.
    pub address: SocketAddr,
    /// The seed of the pauses and classes.
    pub seed: u64,
    /// The longest time that the client waits, as its requests say.
    pub deadline: Duration,
    /// Whether some bodies are long.
    pub has_streamed_bodies: bool,
}

/// Sends requests until the end of the play. Returns all of them.
pub fn run(plan: ClientPlan, is_over: &AtomicBool) -> Vec<Exchange> {
    let random = &mut SmallRng::seed_from_u64(plan.seed);
    let mut open_stream: Option<BufReader<TcpStream>> = None;
    let mut exchanges = Vec::new();
    while !is_over.load(Ordering::SeqCst) {
        let class = ["look", "save", "order"][random.random_range(0..3)];
        let is_streamed = plan.has_streamed_bodies && class == "order" && random.random_bool(0.1);
        let text = request_text(class, plan.deadline, is_streamed);
        let is_reused = open_stream.is_some();
        let sent_at = Instant::now();
        let (outcome, kept) = exchange(open_stream.take(), plan.address, &text);
        open_stream = kept;
        exchanges.push(Exchange {
            id: id_of(&text),
            class,
            sent_at,
            ended_at: Instant::now(),
            is_reused,
            outcome,
        });
        match outcome {
            Outcome::Refused => std::thread::sleep(REFUSED_PAUSE),
            _ => std::thread::sleep(Duration::from_millis(random.random_range(0..MAX_PAUSE_MS))),
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

fn id_of(text: &str) -> String {
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
    // A response may come before the whole request is written, and is read then, too.
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
