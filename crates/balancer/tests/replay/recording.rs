//! The file of recorded digests: for each scenario its name and whole digest, then the short digests after
//! each of its events, in lines of hexadecimal digits.

use std::collections::BTreeMap;
use std::fs;
use std::path::PathBuf;

/// The number of hexadecimal digits of the short digest after each event. Running digests that differ after
/// an event also differ after all later events. The 8 bits therefore identify the first event that differs in
/// 255 of 256 cases, and the event after that in most other cases.
const DIGITS_PER_EVENT: usize = 2;
/// The number of events whose short digests are on one line.
const EVENTS_PER_LINE: usize = 64;

/// The digests of one scenario.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct RecordedDigests {
    /// The digest after the last event.
    whole: u64,
    /// The short digest after each event.
    after_events: Vec<u8>,
}

impl RecordedDigests {
    /// Adds the running digest after the next event.
    pub fn push(&mut self, running: u64) {
        self.whole = running;
        self.after_events.push((running >> (u64::BITS as usize - 4 * DIGITS_PER_EVENT)) as u8);
    }

    /// Returns the number of the first event, from 0, at which the other digests differ.
    pub fn first_difference(&self, other: &Self) -> Option<usize> {
        let pairs = self.after_events.iter().zip(&other.after_events);
        let differs = |(one, two)| one != two;
        let length = self.after_events.len().min(other.after_events.len());
        (self != other).then(|| pairs.map(differs).position(|differs| differs).unwrap_or(length))
    }
}

/// Returns the path of the file of recorded digests.
pub fn recording_path() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/replay/digests.txt")
}

/// Writes the digests of all scenarios, by their names.
pub fn write(scenarios: &BTreeMap<String, RecordedDigests>) {
    let mut text = String::new();
    for (name, digests) in scenarios {
        text.push_str(&format!("{name} {:016x}\n", digests.whole));
        for line in digests.after_events.chunks(EVENTS_PER_LINE) {
            let line: String = line.iter().map(|short| format!("{short:0DIGITS_PER_EVENT$x}")).collect();
            text.push_str(&format!(" {line}\n"));
        }
    }
    fs::write(recording_path(), text).expect("the file of recorded digests can be written");
}

/// Reads the digests of all scenarios, by their names.
pub fn read() -> BTreeMap<String, RecordedDigests> {
    let text = fs::read_to_string(recording_path()).expect("the file of recorded digests can be read");
    let mut scenarios = BTreeMap::new();
    let mut lines = text.lines().peekable();
    while let Some(line) = lines.next() {
        let (name, whole) = line.split_once(' ').expect("a scenario has a name and a digest");
        let whole = u64::from_str_radix(whole, 16).expect("a digest is hexadecimal");
        let mut after_events = Vec::new();
        while let Some(line) = lines.next_if(|line| line.starts_with(' ')) {
            after_events.extend(short_digests(line.trim_start()));
        }
        scenarios.insert(name.to_string(), RecordedDigests { whole, after_events });
    }
    scenarios
}

fn short_digests(line: &str) -> impl Iterator<Item = u8> {
    let starts = (0..line.len()).step_by(DIGITS_PER_EVENT);
    let texts = starts.map(|start| &line[start..start + DIGITS_PER_EVENT]);
    texts.map(|text| u8::from_str_radix(text, 16).expect("a short digest is hexadecimal"))
}
