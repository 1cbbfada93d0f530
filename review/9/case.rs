//! Case 9: idle connections of other clients make the proxy close the connection of a long request, whose last
//! byte its client has written, while a backend is slow to take the body.

#[path = "../stand-ins-2/mod.rs"]
mod stand_ins;

use stand_ins::backend::{Backend, Behaviour};
use stand_ins::discovery::Discovery;
use stand_ins::proxy::{Configuration, Folder, Proxy};
use stand_ins::record::Record;
use stand_ins::{client, has_trouble, sleep_ms};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// The lengths of the bodies, in MiB. The buffers of the sockets on the way to a backend that does not read yet
/// take a part of a body that differs from connection to connection; those of the client and the proxy have room
/// for the rest.
const BODY_MIB: [usize; 6] = [5, 6, 7, 7, 8, 8];
/// How long the backend works on other things before it reads a body.
const PAUSE_BEFORE_BODY_MS: u64 = 2000;
/// When these clients connect: by then, most long requests are written whole.
const CROWD_AFTER_MS: u64 = 500;
/// The number of clients that connect and send nothing.
const IDLE_CLIENTS: usize = 250;
/// The time of the request, and the half second and the 50 ms in which an answer only comes too late.
const ANSWER_LIMIT_MS: u64 = 6000 + 550;

/// How a long request ended.
#[derive(Clone, Copy, PartialEq)]
enum End {
    Answered,
    /// The last byte was written, and the connection ended without a whole answer.
    Lost,
    /// The last byte was not written, so that the proxy has not taken the request.
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
    let behaviour = Behaviour { work_ms: 20, pause_before_body_ms: PAUSE_BEFORE_BODY_MS, ..Behaviour::default() };
    let backend = Backend::start("s-1", behaviour, record);
    let discovery = Discovery::start("discovery", 40, record);
    discovery.set(&backend.name, backend.address, 0, "SERVING");
    let mut configuration = Configuration::new(discovery.address, discovery.known());
    configuration.sockets = 256;
    let file = folder.file("config.json");
    configuration.write(&file);
    let mut proxy = Proxy::start("proxy", &configuration, &file, record);
    if !proxy.wait_until_ready(configuration.listen) {
        return (2, "the proxy did not become ready".to_string());
    }
    sleep_ms(500);

    let uploads: Vec<_> = BODY_MIB
        .iter()
        .enumerate()
        .map(|(number, mib)| {
            let (listen, record, length) = (configuration.listen, record.clone(), mib << 20);
            std::thread::spawn(move || upload(number, listen, length, &record))
        })
        .collect();
    sleep_ms(CROWD_AFTER_MS);
    let mut crowd: Vec<TcpStream> = Vec::new();
    if has_trouble() {
        let connect = |_| client::connect(configuration.listen, Duration::from_secs(1)).ok();
        crowd.extend((0..IDLE_CLIENTS).filter_map(connect));
        record.line(&format!("{} clients have connected, and send nothing", crowd.len()));
    }
    let ends: Vec<End> = uploads.into_iter().map(|upload| upload.join().unwrap_or(End::NotWritten)).collect();
    drop(crowd);
    if proxy.has_ended() {
        return (2, "the proxy has ended".to_string());
    }
    let count = |wanted: End| ends.iter().filter(|end| **end == wanted).count();
    let (answered, lost) = (count(End::Answered), count(End::Lost));
    let verdict = format!(
        "of {} requests, {answered} were answered, {lost} were taken and lost, {} were not written whole",
        ends.len(),
        count(End::NotWritten)
    );
    let code = if lost > 0 { 1 } else if answered == 0 { 2 } else { 0 };
    (code, verdict)
}

/// Sends a request with a long body, and waits for its answer.
fn upload(number: usize, proxy: SocketAddr, length: usize, record: &Record) -> End {
    let (id, length_text) = (format!("{:016x}", 0xc000 + number), length.to_string());
    let headers = [
        ("X-Txn", id.as_str()),
        ("X-Lane", "lodge"),
        ("X-Remaining-Ms", "6000"),
        ("Content-Length", length_text.as_str()),
    ];
    let Ok(mut stream) = client::connect(proxy, Duration::from_millis(ANSWER_LIMIT_MS)) else {
        return End::NotWritten;
    };
    let head = client::request_head("POST", "/api", &headers);
    record.line(&format!("client: sends {id} with {length} bytes of body"));
    if let Err(error) = stream.write_all(head.as_bytes()).and_then(|()| stream.write_all(&vec![b'x'; length])) {
        record.line(&format!("client: {id} could not be written whole: {error}"));
        return End::NotWritten;
    }
    let written_ms = record.line(&format!("client: {id}: the last byte is written"));
    let answer = client::read_answer(&mut BufReader::new(stream));
    let waited_ms = record.now_ms() - written_ms;
    match answer {
        Ok(answer) => {
            record.line(&format!("client: {id} answered {} {} after {waited_ms} ms", answer.status, answer.body));
            End::Answered
        }
        Err(error) => {
            record.line(&format!("client: {id}: the connection ended after {waited_ms} ms, no answer: {error}"));
            End::Lost
        }
    }
}
