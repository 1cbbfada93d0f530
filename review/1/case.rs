//! Case 1: requests whose bodies come in small pieces drive the proxy over its memory limit.

#[path = "../common/mod.rs"]
mod common;

use common::backend::Backend;
use common::config::Config;
use common::discovery::{Discovery, Entry, list_json};
use common::{Process, Record, TempFolder, client, http};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Barrier, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

const MEMORY_MB: u32 = 48;
const SOCKETS: u32 = 512;
/// Clients at once. A third of the descriptors, 170, may be client connections that carry requests.
const CLIENTS: usize = 160;
/// The length of each body, below the 64 KiB that every proxy has to take.
const BODY_BYTES: usize = 64_000;
/// The length of a piece with the disruption.
const SMALL_PIECE: usize = 4;
/// The length of a piece without the disruption.
const LARGE_PIECE: usize = 4_000;
/// The time between the last but one piece of a body and the last one.
const PAUSE: Duration = Duration::from_millis(800);
const ROUNDS: usize = 3;
/// The time from the first sample over the limit to the kill, to see how far the proxy goes.
const KILL_DELAY: Duration = Duration::from_millis(400);

fn main() {
    let folder = std::env::args().nth(1).expect("the folder of the case");
    std::process::exit(run(Path::new(&folder)));
}

fn piece_length() -> usize {
    let chosen = std::env::var("PIECE").ok().and_then(|text| text.parse().ok());
    chosen.unwrap_or(if common::has_trouble() { SMALL_PIECE } else { LARGE_PIECE })
}

fn run(folder: &Path) -> i32 {
    let record = Arc::new(Record::create(folder));
    let root = common::root_of(folder);
    let temp = TempFolder::create("1");
    let backends: Vec<_> =
        (0..4).map(|index| Backend::start(&format!("s-{index}"), Duration::from_millis(5))).collect();
    let entries: Vec<_> =
        backends.iter().map(|backend| Entry::serving(&backend.id, backend.address, 0)).collect();
    let discovery = Discovery::start(41, entries.clone());
    let listen = common::free_address();
    let config = Config {
        listen,
        discovery: discovery.address,
        management: None,
        memory_mb: MEMORY_MB,
        sockets: SOCKETS,
        known: list_json(41, true, entries.iter()),
        name: "n0",
    };
    let path = temp.file("config.json");
    std::fs::write(&path, config.json()).expect("the configuration");
    let proxy = common::start_proxy(&root, &temp, &path, &temp.0, "proxy.log");
    if !common::wait_until_ready(listen) {
        common::give_up(&record, "the proxy is not ready");
    }
    let rest = proxy.memory_kib("RssAnon");
    record.line(format!("the proxy is ready; limits: {MEMORY_MB} MB, {SOCKETS} descriptors; it uses {rest} KiB"));
    let piece = piece_length();
    record.line(format!("{ROUNDS} rounds of {CLIENTS} clients, each with a body of {BODY_BYTES} bytes"));
    record.line(format!("chunked, in pieces of {piece} bytes"));
    let proxy = Arc::new(Mutex::new(proxy));
    let peak = watch_memory(&proxy, &record, || {
        for round in 0..ROUNDS {
            let answers = send_round(listen, piece);
            record.line(format!("round {round}: answers by status: {answers}"));
            sleep(Duration::from_millis(300));
        }
    });
    let end = proxy.lock().unwrap().ended();
    let limit = u64::from(MEMORY_MB) * 1024;
    record.line(format!("at most {peak} KiB in use, of {limit} KiB; exit status of the proxy: {end:?}"));
    let broken = peak > limit || end.is_some();
    common::verdict(&record, broken, &format!("{peak} KiB of memory in use, {limit} allowed"))
}

/// Samples the memory in use while `work` runs, anonymous pages only. Kills the proxy some time after it went
/// over its limit.
fn watch_memory(proxy: &Arc<Mutex<Process>>, record: &Arc<Record>, work: impl FnOnce()) -> u64 {
    let done = Arc::new(AtomicBool::new(false));
    let watcher = {
        let (proxy, record, done) = (proxy.clone(), record.clone(), done.clone());
        thread::spawn(move || {
            let limit = u64::from(MEMORY_MB) * 1024;
            let mut peak = 0;
            let mut over_since = None;
            while !done.load(Ordering::Relaxed) {
                let mut proxy = proxy.lock().unwrap();
                let used = proxy.memory_kib("RssAnon");
                peak = peak.max(used);
                if used > limit && over_since.is_none() {
                    over_since = Some(Instant::now());
                    record.line(format!("the proxy uses {used} KiB and is over its limit"));
                }
                if over_since.is_some_and(|since| since.elapsed() > KILL_DELAY) && proxy.ended().is_none() {
                    record.line(format!("the platform kills the proxy, which has used {peak} KiB"));
                    proxy.signal("KILL");
                    let _ = proxy.0.wait();
                }
                drop(proxy);
                sleep(Duration::from_millis(5));
            }
            peak
        })
    };
    work();
    done.store(true, Ordering::Relaxed);
    watcher.join().expect("the watch on memory")
}

/// Sends one request from each client at the same time. Returns how many answers had which status.
fn send_round(listen: SocketAddr, piece: usize) -> String {
    let barrier = Arc::new(Barrier::new(CLIENTS));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let barrier = barrier.clone();
            thread::spawn(move || {
                barrier.wait();
                send(listen, piece).unwrap_or_else(|error| error.kind().to_string())
            })
        })
        .collect();
    let mut answers = std::collections::BTreeMap::<String, usize>::new();
    for client in clients {
        *answers.entry(client.join().expect("a client")).or_default() += 1;
    }
    format!("{answers:?}")
}

/// Sends a request in pieces, the last one after a pause. Returns the status of its answer.
fn send(listen: SocketAddr, piece: usize) -> std::io::Result<String> {
    let mut stream = TcpStream::connect(listen)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_secs(8)))?;
    let head = client::keyed_head(&client::new_id(), "save-file", 4_000, "Transfer-Encoding: chunked");
    let mut request = head.into_bytes();
    for _ in 0..BODY_BYTES / piece - 1 {
        write!(request, "{piece:x}\r\n{}\r\n", "x".repeat(piece))?;
    }
    stream.write_all(&request)?;
    sleep(PAUSE);
    write!(stream, "{piece:x}\r\n{}\r\n0\r\n\r\n", "x".repeat(piece))?;
    Ok(http::read_response(&mut stream)?.status.to_string())
}
