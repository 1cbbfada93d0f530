//! Case 6: the connection of a backend ends just after the beginning of a long answer, and the proxy closes the
//! connection of the client without a single byte, neither of that answer nor of one of its own. A client that
//! takes this for a close between requests, as the protocol page has it, sends its request once more.

#[path = "../stand-ins-2/mod.rs"]
mod stand_ins;

use stand_ins::backend::{Backend, Behaviour};
use stand_ins::discovery::Discovery;
use stand_ins::proxy::{Configuration, Folder, Proxy};
use stand_ins::record::Record;
use stand_ins::{client, has_trouble, sleep_ms};
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// The length of an answer. Over 64 KiB the proxy passes an answer on while it comes.
const ANSWER_BYTES: usize = 1 << 20;
/// The number of requests of the class that must never run twice.
const REQUESTS: u64 = 30;
/// One in so many answers of each backend to these requests breaks off just after its beginning.
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
        let Some(kept) = kept_connection(number, configuration.listen) else {
            return (2, "no connection was kept".to_string());
        };
        let id = format!("{:016x}", 0xf000 + number);
        let end = send(&id, kept, record);
        if end == End::Unanswered {
            record.line(&format!("client: sends {id} once more, on a new connection"));
            let new = client::connect(configuration.listen, Duration::from_secs(5)).map(BufReader::new);
            let _ = new.map(|new| send(&id, new, record));
        }
        ends.push(end);
        sleep_ms(50);
    }
    if proxy.has_ended() {
        return (2, "the proxy has ended".to_string());
    }
    let mut ids: Vec<String> = backends.iter().flat_map(Backend::runs).map(|run| run.id).collect();
    ids.sort();
    let ran_again = ids.windows(2).filter(|pair| pair[0] == pair[1] && pair[0].contains("00f0")).count();
    let count = |wanted: End| ends.iter().filter(|end| **end == wanted).count();
    let unanswered = count(End::Unanswered);
    let verdict = format!(
        "of {REQUESTS} requests, {} were answered, {} broke off within an answer, {unanswered} got no byte of one; {ran_again} \
         ran a second time when their clients sent them once more",
        count(End::Answered),
        count(End::BrokenOff)
    );
    let code = if unanswered > 0 { 1 } else if count(End::NotWritten) > 0 { 2 } else { 0 };
    (code, verdict)
}

/// Returns a connection that has carried a request and its whole answer, and that the proxy keeps.
fn kept_connection(number: u64, proxy: SocketAddr) -> Option<BufReader<TcpStream>> {
    (0..5).find_map(|attempt| {
        let id = format!("{:016x}", 0xa0000 + 16 * number + attempt);
        let headers = [("X-Txn", id.as_str()), ("X-Lane", "quote"), ("X-Remaining-Ms", "3000")];
        let mut stream = client::connect(proxy, Duration::from_secs(5)).ok()?;
        stream.write_all(client::request_head("GET", "/api", &headers).as_bytes()).ok()?;
        let mut reader = BufReader::new(stream);
        client::read_answer(&mut reader).ok().filter(|answer| answer.status == 200).map(|_| reader)
    })
}

/// Sends a request of the class that must never run twice, and reads what comes.
fn send(id: &str, mut connection: BufReader<TcpStream>, record: &Record) -> End {
    let headers = [("X-Txn", id), ("X-Lane", "lodge"), ("X-Remaining-Ms", "3000"), ("Content-Length", "4")];
    let request = client::request_head("POST", "/api", &headers) + "file";
    if connection.get_mut().write_all(request.as_bytes()).is_err() {
        return End::NotWritten;
    }
    record.line(&format!("client: {id}: the last byte is written"));
    let is_unanswered = |connection: &mut BufReader<TcpStream>| -> io::Result<bool> { Ok(connection.fill_buf()?.is_empty()) };
    let end = match is_unanswered(&mut connection) {
        Ok(true) | Err(_) => End::Unanswered,
        Ok(false) if client::read_answer(&mut connection).is_ok() => End::Answered,
        Ok(false) => End::BrokenOff,
    };
    let text = match end {
        End::Answered => "a whole answer",
        End::BrokenOff => "the connection ended within an answer",
        _ => "the connection ended without a byte",
    };
    record.line(&format!("client: {id}: {text}"));
    end
}
