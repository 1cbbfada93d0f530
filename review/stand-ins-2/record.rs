//! The record of a run: lines with the milliseconds since the start, in a file and on standard output.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// The record of a run. Clones write to the same file.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Starts a record in the file that the first argument of the program names.
    pub fn start() -> Self {
        let path = std::env::args().nth(1).expect("usage: case RECORD-FILE");
        let file = File::create(path).expect("cannot create the record");
        Self { start: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    /// Returns the milliseconds since the start.
    pub fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// Writes a line, and returns its time in milliseconds.
    pub fn line(&self, text: &str) -> u64 {
        let mut file = self.file.lock().unwrap();
        let now = self.now_ms();
        let _ = writeln!(file, "{now:>7} ms  {text}");
        now
    }

    /// Writes the verdict, and ends the program with the exit code of the case: 1 if the rule was broken, 0 if
    /// it held, 2 if the case could not run. Processes that the case started must have ended before.
    pub fn end(&self, code: i32, verdict: &str) -> ! {
        let name = ["rule held", "RULE BROKEN", "could not run"][code as usize];
        self.line(&format!("verdict: {name}: {verdict}"));
        println!("{name}: {verdict}");
        std::process::exit(code)
    }
}
