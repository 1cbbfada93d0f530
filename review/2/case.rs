//! Case 2: a request with a long body gets no answer, ever, if its backend hangs while the body is passed on.

#[path = "../common/mod.rs"]
mod common;

use common::backend::Backend;
use common::config::Config;
use common::discovery::{Discovery, Entry, list_json};
use common::{Process, Record, TempFolder, client, http};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::{Command, Stdio};
use std::sync::Arc;
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

const BACKENDS: usize = 3;
/// The time that each client waits for its answer, from the last byte of its request.
const REMAINING_MS: u64 = 4_000;
/// After this time beyond the client's, a request without an answer is lost: half a second by the rule, 50 ms
/// that each limit gains on sockets, and as much again as the rule's half second for a busy machine.
const SLACK: Duration = Duration::from_millis(1_050);
/// The time for which the clients stay connected, to see whether an answer comes at all.
const PATIENCE: Duration = Duration::from_secs(20);
/// The lengths of the bodies, in MB. Pages: bodies reach 32 MB.
const BODY_MB: [usize; 3] = [4, 5, 6];
const REQUESTS: usize = 24;
/// The time between two requests.
const INTERVAL: Duration = Duration::from_millis(100);

fn main() {
    let folder = std::env::args().nth(1).expect("the folder of the case");
    if folder == "backend" {
        return serve_as_backend();
    }
    std::process::exit(run(Path::new(&folder)));
}

/// Runs one backend in this process, and prints its address.
fn serve_as_backend() {
    let id = std::env::args().nth(2).expect("the id of the backend");
    let listener = TcpListener::bind("127.0.0.1:0").expect("the address of a backend");
    println!("{}", listener.local_addr().expect("the address of a backend"));
    let _backend = Backend::serve_on(&id, listener, Duration::from_millis(20));
    loop {
        sleep(Duration::from_secs(60));
    }
}

/// Starts a backend as a process of its own.
fn start_backend(id: &str) -> (Process, SocketAddr) {
    let program = std::env::current_exe().expect("this program");
    let mut command = Command::new(program);
    command.args(["backend", id]).stdin(Stdio::null()).stdout(Stdio::piped());
    let mut child = command.spawn().expect("a backend");
    let mut line = String::new();
    let output = child.stdout.take().expect("the output of a backend");
    BufReader::new(output).read_line(&mut line).expect("the address of a backend");
    (Process(child), line.trim().parse().expect("the address of a backend"))
}

/// What became of a request.
enum End {
    /// The client could not write its last byte: the request was not taken.
    NotTaken,
    /// An answer, this long after the last byte.
    Answered(Duration),
    /// The connection ended without an answer.
    Closed,
    /// Nothing came for [`PATIENCE`].
    Silent,
}

fn run(folder: &Path) -> i32 {
    let record = Arc::new(Record::create(folder));
    let root = common::root_of(folder);
    let temp = TempFolder::create("2");
    let backends: Vec<_> = (0..BACKENDS).map(|index| start_backend(&format!("s-{index}"))).collect();
    let entries: Vec<_> = backends
        .iter()
        .enumerate()
        .map(|(index, (_, address))| Entry::serving(&format!("s-{index}"), *address, 0))
        .collect();
    let discovery = Discovery::start(41, entries.clone());
    let listen = common::free_address();
    let config = Config {
        listen,
        discovery: discovery.address,
        management: None,
        memory_mb: 48,
        sockets: 512,
        known: list_json(41, true, entries.iter()),
        name: "n0",
    };
    let path = temp.file("config.json");
    std::fs::write(&path, config.json()).expect("the configuration");
    let mut proxy = common::start_proxy(&root, &temp, &path, &temp.0, "proxy.log");
    if !common::wait_until_ready(listen) {
        common::give_up(&record, "the proxy is not ready");
    }
    record.line(format!("the proxy is ready, with {BACKENDS} backends"));
    if common::has_trouble() {
        backends[0].0.signal("STOP");
        record.line("s-0 hangs from now on (SIGSTOP)");
    }
    let clients: Vec<_> = (0..REQUESTS)
        .map(|number| {
            let record = record.clone();
            sleep(INTERVAL);
            thread::spawn(move || send(listen, BODY_MB[number % BODY_MB.len()], &record))
        })
        .collect();
    let ends: Vec<_> = clients.into_iter().map(|client| client.join().expect("a client")).collect();
    if let Some(status) = proxy.ended() {
        common::give_up(&record, &format!("the proxy has ended: {status}"));
    }
    judge(&record, &ends)
}

fn judge(record: &Record, ends: &[End]) -> i32 {
    let limit = Duration::from_millis(REMAINING_MS) + SLACK;
    let mut lost = 0;
    let mut taken = 0;
    let mut never = 0;
    for end in ends {
        taken += usize::from(!matches!(end, End::NotTaken));
        never += usize::from(matches!(end, End::Silent));
        lost += usize::from(match end {
            End::NotTaken => false,
            End::Answered(time) => *time > limit,
            End::Closed | End::Silent => true,
        });
    }
    if taken < REQUESTS / 2 {
        common::give_up(record, "the clients could not write most of their requests");
    }
    let silence = PATIENCE.as_secs();
    let text = format!(
        "{lost} of {taken} requests taken got no final answer in time, {never} of them none for {silence} s"
    );
    common::verdict(record, lost > 0, &text)
}

/// Sends a request with a long body, and waits for its answer.
fn send(listen: SocketAddr, body_mb: usize, record: &Record) -> End {
    let id = client::new_id();
    let length = body_mb << 20;
    let head = client::keyed_head(&id, "save-file", REMAINING_MS, &format!("Content-Length: {length}"));
    let Ok(mut stream) = TcpStream::connect(listen) else { return End::NotTaken };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_write_timeout(Some(Duration::from_secs(5)));
    let started = Instant::now();
    let mut request = head.into_bytes();
    request.resize(request.len() + length, b'x');
    if let Err(error) = stream.write_all(&request) {
        let kind = error.kind();
        record.line(format!("{id} body of {body_mb} MB: last byte not written ({kind}), not taken"));
        return End::NotTaken;
    }
    let written = Instant::now();
    let writing = (written - started).as_millis();
    record.line(format!("{id} body of {body_mb} MB: last byte written after {writing} ms"));
    let _ = stream.set_read_timeout(Some(PATIENCE));
    match http::read_response(&mut stream) {
        Ok(answer) => {
            let time = written.elapsed();
            let body = String::from_utf8_lossy(&answer.body).trim().to_string();
            record.line(format!("{id} answered {} after {} ms: {body}", answer.status, time.as_millis()));
            End::Answered(time)
        }
        Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {
            record.line(format!("{id} no answer for {} s; the client leaves", PATIENCE.as_secs()));
            End::Silent
        }
        Err(error) => {
            record.line(format!("{id} closed after {} ms: {error}", written.elapsed().as_millis()));
            End::Closed
        }
    }
}
