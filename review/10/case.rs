//! Case 10: of several requests that a client sends at once on one connection, the time of each counts only from
//! the answer to the one before, so that the later ones are answered long after their time.

#[path = "../stand-ins-2/mod.rs"]
mod stand_ins;

use stand_ins::backend::{Backend, Behaviour};
use stand_ins::discovery::Discovery;
use stand_ins::proxy::{Configuration, Folder, Proxy};
use stand_ins::record::Record;
use stand_ins::{client, has_trouble, sleep_ms};
use std::io::{BufReader, Write};
use std::net::SocketAddr;
use std::time::Duration;

/// The time of the work of a backend on a request: within the wanted time of the class.
const WORK_MS: u64 = 900;
/// The time that the client waits for each answer, counted from when it sent the requests.
const REMAINING_MS: u64 = 1700;
/// The half second and the 50 ms in which an answer only comes too late.
const SLACK_MS: u64 = 550;
/// What the time that a backend is told may exceed what is left to the client by.
const TOLD_SLACK_MS: u64 = 150;
/// The number of requests that are sent at once.
const REQUESTS: u64 = 5;

fn main() {
    let record = Record::start();
    let folder = Folder::create();
    let (code, verdict) = play(&record, &folder);
    drop(folder);
    record.end(code, &verdict);
}

fn play(record: &Record, folder: &Folder) -> (i32, String) {
    let behaviour = Behaviour { work_ms: WORK_MS, ..Behaviour::default() };
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
    let numbers: Vec<u64> = (0..REQUESTS).collect();
    let group_size = if has_trouble() { numbers.len() } else { 1 };
    let connections: Vec<_> = numbers
        .chunks(group_size)
        .map(|group| {
            let (listen, record, group) = (configuration.listen, record.clone(), group.to_vec());
            std::thread::spawn(move || send_at_once(&group, listen, &record))
        })
        .collect();
    let mut sent_ms = 0;
    let mut waits = Vec::new();
    for connection in connections {
        let Ok((sent, mut waited)) = connection.join() else { return (2, "a client failed".to_string()) };
        sent_ms = sent;
        waits.append(&mut waited);
    }
    if proxy.has_ended() {
        return (2, "the proxy has ended".to_string());
    }
    let late = waits.iter().filter(|wait| **wait > REMAINING_MS + SLACK_MS).count();
    let runs: Vec<_> = backends.iter().flat_map(Backend::runs).collect();
    let told_too_much = runs
        .iter()
        .filter(|run| run.remaining_ms > (sent_ms + REMAINING_MS).saturating_sub(run.at_ms) + TOLD_SLACK_MS)
        .count();
    let verdict = format!(
        "of {REQUESTS} requests, {late} had no answer {SLACK_MS} ms after their time: {waits:?}; {told_too_much} of {} \
         attempts told a backend more time than was left to the client",
        runs.len()
    );
    (i32::from(late > 0), verdict)
}

/// Sends requests at once on one connection. Returns when, and the time to the answer of each.
fn send_at_once(numbers: &[u64], proxy: SocketAddr, record: &Record) -> (u64, Vec<u64>) {
    let remaining = REMAINING_MS.to_string();
    let ids: Vec<String> = numbers.iter().map(|number| format!("{:016x}", 0xe000 + number)).collect();
    let requests: String = ids
        .iter()
        .map(|id| {
            let headers = [("X-Txn", id.as_str()), ("X-Lane", "quote"), ("X-Remaining-Ms", remaining.as_str())];
            client::request_head("GET", "/api", &headers)
        })
        .collect();
    let mut stream = client::connect(proxy, Duration::from_secs(20)).expect("cannot connect");
    stream.write_all(requests.as_bytes()).expect("cannot write");
    let sent_ms = record.line(&format!("client: has sent {} on one connection", ids.join(" ")));
    let mut reader = BufReader::new(stream);
    let mut waits = Vec::new();
    for id in &ids {
        let answer = client::read_answer(&mut reader);
        let wait = record.now_ms() - sent_ms;
        match answer {
            Ok(answer) => record.line(&format!("client: {id} answered {} {} after {wait} ms", answer.status, answer.body)),
            Err(error) => record.line(&format!("client: {id}: no answer after {wait} ms: {error}")),
        };
        waits.push(wait);
    }
    (sent_ms, waits)
}
