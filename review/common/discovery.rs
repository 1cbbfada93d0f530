//! A stand-in for the discovery agent: the list of backends, and watches on it.

use super::http::read_head;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

/// An entry of the list.
#[derive(Clone)]
pub struct Entry {
    pub id: String,
    pub address: SocketAddr,
    pub cell: u32,
    pub lifecycle: &'static str,
    changed_in: u64,
}

impl Entry {
    /// Returns a backend in service, which started long ago.
    pub fn serving(id: &str, address: SocketAddr, cell: u32) -> Self {
        Self { id: id.to_string(), address, cell, lifecycle: "SERVING", changed_in: 0 }
    }

    fn json(&self) -> String {
        let Self { id, address, cell, lifecycle, .. } = self;
        format!(
            r#"{{"instanceId":"{id}","hostPort":"{address}","zone":"a","machineType":"m1","cell":{cell},"lifecycle":"{lifecycle}","weight":1.0,"startedAtMs":0}}"#
        )
    }
}

/// Returns the JSON of a list.
pub fn list_json<'a>(generation: u64, reset: bool, entries: impl Iterator<Item = &'a Entry>) -> String {
    let entries: Vec<_> = entries.map(Entry::json).collect();
    format!("{{\"generation\":{generation},\"reset\":{reset},\"instances\":[{}]}}", entries.join(",\n"))
}

struct State {
    generation: u64,
    entries: Vec<Entry>,
    /// The time over which a whole list is written, in pieces.
    whole_list_time: Duration,
    /// Notes of what was asked and told.
    notes: Vec<String>,
}

/// The agent. Clones share one state.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    start: Instant,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Discovery {
    /// Starts the agent with this list.
    pub fn start(generation: u64, entries: Vec<Entry>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("the address of discovery");
        let address = listener.local_addr().expect("the address of discovery");
        let state = State { generation, entries, whole_list_time: Duration::ZERO, notes: Vec::new() };
        let discovery =
            Self { address, start: Instant::now(), state: Arc::new((Mutex::new(state), Condvar::new())) };
        let accepting = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = accepting.clone();
                thread::spawn(move || serving.serve(stream));
            }
        });
        discovery
    }

    /// Sets the time over which a whole list is written.
    pub fn set_whole_list_time(&self, time: Duration) {
        self.state.0.lock().unwrap().whole_list_time = time;
    }

    /// Changes the lifecycle of a backend, and tells all watches.
    pub fn change(&self, id: &str, lifecycle: &'static str) {
        let mut state = self.state.0.lock().unwrap();
        state.generation += 1;
        let generation = state.generation;
        for entry in state.entries.iter_mut().filter(|entry| entry.id == id) {
            entry.lifecycle = lifecycle;
            entry.changed_in = generation;
        }
        drop(state);
        self.note(format!("the list changes: {id} is {lifecycle} in generation {generation}"));
        self.state.1.notify_all();
    }

    /// Returns the notes with their times, in seconds since the start of discovery, and removes them.
    pub fn take_notes(&self) -> Vec<String> {
        std::mem::take(&mut self.state.0.lock().unwrap().notes)
    }

    /// Returns the number of calls for the whole list, answered or not.
    pub fn whole_list_calls(&self) -> usize {
        let state = self.state.0.lock().unwrap();
        state.notes.iter().filter(|note| note.contains("asks for the whole list")).count()
    }

    fn note(&self, text: String) {
        let at = self.start.elapsed().as_secs_f64();
        self.state.0.lock().unwrap().notes.push(format!("{at:.3} discovery: {text}"));
    }

    fn serve(&self, stream: TcpStream) {
        let peer = stream.peer_addr().map_or(0, |peer| peer.port());
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        while let Ok(Some(head)) = read_head(&mut reader) {
            let target = head.word(1).to_string();
            let written = match query(&target, "since") {
                None => {
                    self.note(format!("{peer} asks for the whole list"));
                    self.write_whole_list(peer, reader.get_mut())
                }
                Some(since) => {
                    let wait = Duration::from_millis(query(&target, "timeout_ms").unwrap_or(0).min(60_000));
                    write_answer(reader.get_mut(), &self.wait_for_changes(peer, since, wait))
                }
            };
            if written.is_err() {
                return;
            }
        }
    }

    /// Writes the list as it is at the call, in pieces over the set time.
    fn write_whole_list(&self, peer: u16, stream: &mut TcpStream) -> std::io::Result<()> {
        let (list, generation, time) = {
            let state = self.state.0.lock().unwrap();
            let listed = state.entries.iter().filter(|entry| entry.lifecycle != "DELETED");
            (list_json(state.generation, true, listed), state.generation, state.whole_list_time)
        };
        if time.is_zero() {
            write_answer(stream, &list)?;
        } else {
            let answer = answer_of(&list);
            let pieces = 20;
            for piece in answer.as_bytes().chunks(answer.len().div_ceil(pieces)) {
                stream.write_all(piece)?;
                sleep(time / pieces as u32);
            }
        }
        self.note(format!("{peer} has the whole list of generation {generation}"));
        Ok(())
    }

    /// Waits until something is newer than `since`, and returns the entries that have changed.
    fn wait_for_changes(&self, peer: u16, since: u64, wait: Duration) -> String {
        let (lock, changed) = &*self.state;
        let state = lock.lock().unwrap();
        let (state, _) = changed
            .wait_timeout_while(state, wait, |state| state.generation <= since)
            .expect("the state of discovery");
        let entries: Vec<_> =
            state.entries.iter().filter(|entry| entry.changed_in > since).cloned().collect();
        let generation = state.generation;
        drop(state);
        if !entries.is_empty() {
            self.note(format!("{peer} is told of {} changes up to {generation}", entries.len()));
        }
        list_json(generation, false, entries.iter())
    }
}

fn query(target: &str, name: &str) -> Option<u64> {
    let (_, query) = target.split_once('?')?;
    query.split('&').filter_map(|pair| pair.split_once('=')).find(|(key, _)| *key == name)?.1.parse().ok()
}

fn answer_of(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

fn write_answer(stream: &mut TcpStream, body: &str) -> std::io::Result<()> {
    stream.write_all(answer_of(body).as_bytes())
}
