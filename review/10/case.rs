//! Case: the connection of a backend ends just after the beginning of a long answer, and the proxy closes the connection of the client
//! without a single byte, neither of that answer nor of one of its own.

#[path = "../stand-ins-2/mod.rs"]
mod stand_ins;

use stand_ins::backend::{Backend, Behaviour};
use stand_ins::discovery::Discovery;
use stand_ins::proxy::{Configuration, Folder, Proxy};
use stand_ins::record::Record;
use stand_ins::{client, has_trouble, sleep_ms};
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::time::Duration;

/// The length of an answer. Over 64 KiB the proxy passes an answer on while it comes.
const ANSWER_BYTES: usize = 1 << 20;
/// The number of requests.
const REQUESTS: u64 = 30;
/// One in so many answers of each backend is reset just after its beginning.
const BREAKS_OFF_ONE_IN: usize = 3;

/// How a request ended for its client.
#[derive(Clone, Copy, PartialEq)]
enum End {
    /// A whole answer, of any status.
    Answered,
    /// The connection ended within an answer, so that the client can tell that it is not whole.
    BrokenOff,
    /// The connection ended without a byte of an answer.
    Unanswered,
    /// The request could not be written.
    NotWritten,
}

fn main() {
    let record = Record::start();
    let folder = Folder::create();
    let (code, verdict) = play(&record, &folder);
    drop(folder);
    record.end(code, &verdict);
}

fn play(record: &Record, folder: &Folder) -> (i32, String) {
    let behaviour = Behaviour {
        work_ms: 20,
        answer_bytes: ANSWER_BYTES,
        breaks_off_one_in: if has_trouble() { BREAKS_OFF_ONE_IN } else { 0 },
        ..Behaviour::default()
    };
    let backends: Vec<Backend> = (1..=3).map(|n| Backend::start(&format!("s-{n}"), behaviour, record)).collect();
    let discovery = Discovery::start("discovery", 40, record);
    for backend in &backends {
        discovery.set(&backend.name, backend.address, 0, "SERVING");
    }
    let configuration = Configuration::new(discovery.address, discovery.known());
    let file = folder.file("config.json");
    configuration.write(&file);
    let mut proxy = Proxy::start("proxy", &configuration, &file, record);
    if !proxy.wait_until_ready(configuration.listen) {
        return (2, "the proxy did not become ready".to_string());
    }
    sleep_ms(500);
    let mut ends = Vec::new();
    for number in 0..REQUESTS {
        ends.push(send(number, configuration.listen, record));
        sleep_ms(100);
    }
    if proxy.has_ended() {
        return (2, "the proxy has ended".to_string());
    }
    let count = |wanted: End| ends.iter().filter(|end| **end == wanted).count();
    let unanswered = count(End::Unanswered);
    let verdict = format!(
        "of {REQUESTS} requests, {} were answered, {} broke off within an answer, {unanswered} got no byte of one",
        count(End::Answered),
        count(End::BrokenOff)
    );
    let code = if unanswered > 0 { 1 } else if count(End::NotWritten) > 0 { 2 } else { 0 };
    (code, verdict)
}

/// Sends a request on a connection that has served one before, and reads what comes.
fn send(number: u64, proxy: SocketAddr, record: &Record) -> End {
    let id = format!("{:016x}", 0xf000 + number);
    let headers = [("X-Txn", id.as_str()), ("X-Lane", "quote"), ("X-Remaining-Ms", "3000"), ("Connection", "close")];
    let Ok(mut stream) = client::connect(proxy, Duration::from_secs(5)) else { return End::NotWritten };
    if stream.write_all(client::request_head("GET", "/api", &headers).as_bytes()).is_err() {
        return End::NotWritten;
    }
    record.line(&format!("client: {id}: the last byte is written"));
    let mut answer = Vec::new();
    let ended = stream.read_to_end(&mut answer);
    let text = String::from_utf8_lossy(&answer);
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
    let length = head.lines().find_map(|line| line.to_lowercase().strip_prefix("content-length:")?.trim().parse().ok());
    let end = match length {
        _ if answer.is_empty() => End::Unanswered,
        Some(length) if body.len() == length => End::Answered,
        _ => End::BrokenOff,
    };
    let status = head.lines().next().unwrap_or("");
    record.line(&format!("client: {id}: {} bytes came ({status}), then the end: {ended:?}", answer.len()));
    end
}
