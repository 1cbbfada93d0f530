//! Case 8: after a new configuration moves discovery, a proxy that asks for its lists never gets one from a
//! discovery that takes 1.9 s for an answer, as it gives each call for the whole list up before.

#[path = "../stand-ins-2/mod.rs"]
mod stand_ins;

use stand_ins::backend::{Backend, Behaviour};
use stand_ins::discovery::Discovery;
use stand_ins::proxy::{Configuration, Folder, Proxy};
use stand_ins::record::Record;
use stand_ins::{client, has_trouble, sleep_ms};

/// How long the new discovery takes for an answer: less than the 2 s after which a call counts as answered.
const ANSWER_DELAY_MS: u64 = 1900;
/// A change counts as told at the latest 6 s after discovery had it. The 4 s after SIGHUP are shorter.
const TOLD_AFTER_MS: u64 = 6000;
/// The grace of a drain: `rules.drain-grace`, and 50 ms that each time limit gains on sockets.
const GRACE_MS: u64 = 1050;
/// How long clients send after the signal.
const DURATION_MS: u64 = 17_000;

fn main() {
    let record = Record::start();
    let folder = Folder::create();
    let (code, verdict) = play(&record, &folder);
    drop(folder);
    record.end(code, &verdict);
}

fn play(record: &Record, folder: &Folder) -> (i32, String) {
    let backends: Vec<Backend> = (1..=3)
        .map(|n| Backend::start(&format!("s-{n}"), Behaviour { work_ms: 20, ..Behaviour::default() }, record))
        .collect();
    let first = Discovery::start("first discovery", 40, record);
    let second = Discovery::start("second discovery", 70, record);
    for discovery in [&first, &second] {
        for backend in &backends {
            discovery.set(&backend.name, backend.address, 0, "SERVING");
        }
    }
    let mut configuration = Configuration::new(first.address, first.known());
    configuration.registry_mode = "subscribe";
    let file = folder.file("config.json");
    configuration.write(&file);
    let mut proxy = Proxy::start("proxy", &configuration, &file, record);
    if !proxy.wait_until_ready(configuration.listen) {
        return (2, "the proxy did not become ready".to_string());
    }
    sleep_ms(6000);

    if has_trouble() {
        second.delay_answers(ANSWER_DELAY_MS);
    }
    let drained = &backends[..2];
    for backend in drained {
        second.set(&backend.name, backend.address, 0, "DRAINING");
    }
    let mut moved = Configuration::new(second.address, second.known());
    moved.listen = configuration.listen;
    moved.registry_mode = "subscribe";
    moved.write(&file);
    let signal_ms = record.now_ms();
    proxy.signal("HUP");
    first.retire();

    client::send_steadily(configuration.listen, signal_ms + DURATION_MS, record);
    if proxy.has_ended() {
        return (2, "the proxy has ended".to_string());
    }
    let bound_ms = signal_ms + TOLD_AFTER_MS + GRACE_MS;
    let late = drained.iter().flat_map(Backend::runs).filter(|run| run.at_ms > bound_ms).count();
    let total: usize = backends.iter().map(|backend| backend.runs().len()).sum();
    let verdict = format!(
        "signal at {signal_ms} ms, two of three backends drain since then, bound at {bound_ms} ms, {late} requests sent to \
         them later (of {total})"
    );
    (i32::from(late > 0), verdict)
}
