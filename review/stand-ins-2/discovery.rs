//! A stand-in for discovery: the whole list, and watches, as the protocol page has them.

use super::message::Head;
use super::record::Record;
use super::sleep_ms;
use std::io::{self, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// An entry of the list, with the generation of its last change.
#[derive(Clone)]
struct Entry {
    name: String,
    address: SocketAddr,
    cell: u32,
    lifecycle: &'static str,
    changed_at: u64,
}

#[derive(Default)]
struct State {
    generation: u64,
    entries: Vec<Entry>,
    /// The time at which an answer with the newest generation was first written, by generation.
    written: Vec<(u64, u64)>,
}

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
    /// The time for which an answer with the whole list stops in its middle, in milliseconds.
    full_list_stall_ms: AtomicU64,
    /// The time from a call, or from the end of its wait, to its answer, in milliseconds.
    answer_delay_ms: AtomicU64,
    /// Set once a new configuration names another address.
    is_retired: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
}

/// A stand-in for discovery.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    shared: Arc<Shared>,
    record: Record,
}

impl Discovery {
    /// Starts discovery on a free port, with an empty list of this generation.
    pub fn start(label: &str, generation: u64, record: &Record) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let shared = Arc::new(Shared::default());
        shared.state.lock().unwrap().generation = generation;
        let discovery =
            Self { address: listener.local_addr().unwrap(), shared, record: record.clone() };
        let (serving, label) = (discovery.clone(), label.to_string());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if serving.shared.is_retired.load(Ordering::Relaxed) {
                    continue; // dropped, and so closed
                }
                serving.shared.connections.lock().unwrap().extend(stream.try_clone());
                let (serving, label) = (serving.clone(), label.clone());
                std::thread::spawn(move || serving.serve(stream, &label));
            }
        });
        discovery
    }

    /// Sets for how long an answer with the whole list stops in its middle.
    pub fn stall_full_lists(&self, milliseconds: u64) {
        self.shared.full_list_stall_ms.store(milliseconds, Ordering::Relaxed);
    }

    /// Sets how long each answer takes.
    pub fn delay_answers(&self, milliseconds: u64) {
        self.shared.answer_delay_ms.store(milliseconds, Ordering::Relaxed);
    }

    /// Takes no new connections from now on, and closes the open ones after 1.5 s.
    pub fn retire(&self) {
        self.shared.is_retired.store(true, Ordering::Relaxed);
        let shared = Arc::clone(&self.shared);
        std::thread::spawn(move || {
            sleep_ms(1500);
            for connection in shared.connections.lock().unwrap().drain(..) {
                let _ = connection.shutdown(Shutdown::Both);
            }
        });
    }

    /// Changes an entry, or adds it. Returns the new generation.
    pub fn set(&self, name: &str, address: SocketAddr, cell: u32, lifecycle: &'static str) -> u64 {
        let mut state = self.shared.state.lock().unwrap();
        state.generation += 1;
        let changed_at = state.generation;
        state.entries.retain(|entry| entry.name != name);
        state.entries.push(Entry { name: name.to_string(), address, cell, lifecycle, changed_at });
        self.record.line(&format!("discovery: {name} is {lifecycle}, generation {changed_at}"));
        self.shared.changed.notify_all();
        changed_at
    }

    /// Returns the time at which an answer of this generation, or of a later one, was first written.
    pub fn written_at_ms(&self, generation: u64) -> Option<u64> {
        let state = self.shared.state.lock().unwrap();
        state.written.iter().find(|(written, _)| *written >= generation).map(|(_, at_ms)| *at_ms)
    }

    /// Returns the whole list as JSON, as in the key `known` of a configuration.
    pub fn known(&self) -> String {
        self.full_list().1
    }

    fn full_list(&self) -> (u64, String) {
        let state = self.shared.state.lock().unwrap();
        (state.generation, list_json(&state, 0, true))
    }

    fn serve(&self, stream: TcpStream, label: &str) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut writer = stream;
        while let Some(head) = Head::read(&mut reader)? {
            self.record.line(&format!("{label}: call {}", head.word(1)));
            let since = query(head.word(1), "since");
            let (generation, body) = match since {
                None => self.full_list(),
                Some(since) => self.watch(since, query(head.word(1), "timeout_ms").unwrap_or(0)),
            };
            sleep_ms(self.shared.answer_delay_ms.load(Ordering::Relaxed));
            write!(writer, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len())?;
            let stall_ms = self.shared.full_list_stall_ms.load(Ordering::Relaxed);
            let (first, second) = body.split_at(body.len() / 2);
            writer.write_all(first.as_bytes())?;
            if since.is_none() && stall_ms > 0 {
                self.record.line(&format!("{label}: half of the whole list of generation {generation} is written"));
                sleep_ms(stall_ms);
            }
            let written = writer.write_all(second.as_bytes());
            let at_ms = self.record.line(&format!("{label}: written {body}"));
            self.shared.state.lock().unwrap().written.push((generation, at_ms));
            written?;
        }
        Ok(())
    }

    fn watch(&self, since: u64, timeout_ms: u64) -> (u64, String) {
        let until = Instant::now() + Duration::from_millis(timeout_ms.min(60_000));
        let mut state = self.shared.state.lock().unwrap();
        while state.generation <= since && Instant::now() < until {
            let left = until.saturating_duration_since(Instant::now());
            state = self.shared.changed.wait_timeout(state, left).unwrap().0;
        }
        (state.generation, list_json(&state, since, false))
    }
}

fn list_json(state: &State, since: u64, is_full: bool) -> String {
    let listed = state.entries.iter().filter(|entry| entry.changed_at > since || is_full);
    let entries: Vec<String> = listed
        .map(|entry| {
            format!(
                "{{\"instanceId\":\"{}\",\"hostPort\":\"{}\",\"zone\":\"a\",\"machineType\":\"m\",\"cell\":{},\
                 \"lifecycle\":\"{}\",\"weight\":1.0,\"startedAtMs\":0}}",
                entry.name, entry.address, entry.cell, entry.lifecycle
            )
        })
        .collect();
    format!("{{\"generation\":{},\"reset\":{is_full},\"instances\":[{}]}}", state.generation, entries.join(","))
}

fn query(target: &str, name: &str) -> Option<u64> {
    let (_, query) = target.split_once('?')?;
    query.split('&').filter_map(|pair| pair.split_once('=')).find(|(key, _)| *key == name)?.1.parse().ok()
}
