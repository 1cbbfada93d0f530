//! Case 10: while clients connect that never finish a request, a request that is written to an accepted connection
//! waits unread until long after its time, and is then sent on to a backend as if it had just come.

#[path = "../stand-ins-2/mod.rs"]
mod stand_ins;

use stand_ins::backend::{Backend, Behaviour};
use stand_ins::discovery::Discovery;
use stand_ins::proxy::{Configuration, Folder, Proxy};
use stand_ins::record::Record;
use stand_ins::{client, has_trouble, sleep_ms};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// The number of clients that begin a request and never finish it.
const UNFINISHED_CLIENTS: usize = 500;
/// How often such a client writes a byte more.
const BYTE_INTERVAL_MS: u64 = 300;
/// The time that the clients of true requests wait for an answer: the whole time of their class.
const REMAINING_MS: u64 = 4000;
/// The half second and the 50 ms in which an answer only comes too late.
const SLACK_MS: u64 = 550;
/// The number of true requests.
const REQUESTS: u64 = 5;

fn main() {
    let record = Record::start();
    let folder = Folder::create();
    let (code, verdict) = play(&record, &folder);
    drop(folder);
    record.end(code, &verdict);
}

fn play(record: &Record, folder: &Folder) -> (i32, String) {
    let backend = Backend::start("s-1", Behaviour { work_ms: 20, ..Behaviour::default() }, record);
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
    let is_over = Arc::new(AtomicBool::new(false));
    let crowd = has_trouble().then(|| {
        let (listen, is_over) = (configuration.listen, Arc::clone(&is_over));
        std::thread::spawn(move || begin_requests(listen, &is_over))
    });
    sleep_ms(500);
    let clients: Vec<_> = (0..REQUESTS)
        .map(|number| {
            sleep_ms(50);
            let (listen, record) = (configuration.listen, record.clone());
            std::thread::spawn(move || send(number, listen, &record))
        })
        .collect();
    let waits: Vec<Option<u64>> = clients.into_iter().map(|client| client.join().unwrap_or(None)).collect();
    is_over.store(true, Ordering::Relaxed);
    if let Some(crowd) = crowd {
        let _ = crowd.join();
    }
    if proxy.has_ended() {
        return (2, "the proxy has ended".to_string());
    }
    let late = waits.iter().filter(|wait| wait.map_or(true, |wait| wait > REMAINING_MS + SLACK_MS)).count();
    (i32::from(late > 0), format!("of {REQUESTS} requests, {late} had no answer {SLACK_MS} ms after their time: {waits:?}"))
}

/// Opens many connections, and writes a byte of a head to each now and then.
fn begin_requests(proxy: SocketAddr, is_over: &AtomicBool) {
    let connect = |_| client::connect(proxy, Duration::from_secs(1)).ok();
    let mut connections: Vec<TcpStream> = (0..UNFINISHED_CLIENTS).filter_map(connect).collect();
    let head = b"GET /api HTTP/1.1\r\nHost: app.svc\r\nX-Lane: quote\r\n";
    for byte in head.iter().cycle() {
        if is_over.load(Ordering::Relaxed) {
            return;
        }
        connections.retain_mut(|connection| connection.write_all(&[*byte]).is_ok());
        sleep_ms(BYTE_INTERVAL_MS);
    }
}

/// Sends a request on a connection of its own. Returns the time to its answer, or to the end of the connection.
fn send(number: u64, proxy: SocketAddr, record: &Record) -> Option<u64> {
    let (id, remaining) = (format!("{:016x}", 0xd000 + number), REMAINING_MS.to_string());
    let headers = [("X-Txn", id.as_str()), ("X-Lane", "quote"), ("X-Remaining-Ms", remaining.as_str())];
    let mut stream = client::connect(proxy, Duration::from_secs(20)).ok()?;
    stream.write_all(client::request_head("GET", "/api", &headers).as_bytes()).ok()?;
    let written_ms = record.line(&format!("client: {id}: the last byte is written to an open connection"));
    let answer = client::read_answer(&mut BufReader::new(stream));
    let wait = record.now_ms() - written_ms;
    match answer {
        Ok(answer) => record.line(&format!("client: {id} answered {} {} after {wait} ms", answer.status, answer.body)),
        Err(error) => record.line(&format!("client: {id}: the connection ended after {wait} ms: {error}")),
    };
    Some(wait)
}
