//! The stand-in discovery against the protocol, and a whole small run of `fleet-bench control`.

mod common;

use common::{assert_nothing_left, fleet_bench, processes_of, table};
use fleet_bench::discovery::{Change, Discovery, Mode, instances};
use serde_json::Value;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

/// Far beyond what any step takes, on a busy machine too.
const LONG: Duration = Duration::from_secs(30);

struct Watcher(BufReader<TcpStream>);

impl Watcher {
    fn new(at: SocketAddr) -> Self {
        let stream = TcpStream::connect(at).unwrap();
        stream.set_read_timeout(Some(LONG)).unwrap();
        Self(BufReader::new(stream))
    }

    fn ask(&mut self, path: &str) {
        write!(self.0.get_mut(), "GET {path} HTTP/1.1\r\nHost: d\r\n\r\n").unwrap();
    }

    fn list(&mut self) -> Value {
        let mut length = 0;
        let mut line = String::new();
        while self.0.read_line(&mut line).unwrap() > 2 {
            let header = line.trim_end().strip_prefix("Content-Length: ");
            header.into_iter().for_each(|value| length = value.parse().unwrap());
            line.clear();
        }
        let mut body = vec![0; length];
        self.0.read_exact(&mut body).unwrap();
        serde_json::from_slice(&body).unwrap()
    }

    fn call(&mut self, path: &str) -> Value {
        self.ask(path);
        self.list()
    }
}

fn ids(list: &Value) -> Vec<(String, String)> {
    let entries = list["instances"].as_array().unwrap().iter();
    let text = |value: &Value| value.as_str().unwrap().to_string();
    entries.map(|e| (text(&e["instanceId"]), text(&e["lifecycle"]))).collect()
}

#[test]
fn the_stand_in_discovery_speaks_the_protocol_and_counts() {
    let backends = instances((7_000..7_003).map(|port| SocketAddr::from(([127, 0, 0, 1], port))));
    let names: Vec<_> = backends.iter().map(|i| i.instance_id.clone()).collect();
    let discovery = Discovery::start(backends, 1).unwrap();
    let at = discovery.addresses()[0];
    let mut watcher = Watcher::new(at);
    let whole = watcher.call("/api/targets");
    assert_eq!((&whole["generation"], &whole["reset"]), (&1.into(), &true.into()));
    assert_eq!(ids(&whole).len(), 3);
    assert_eq!(whole["instances"][1]["hostPort"], "127.0.0.1:7001");

    // Nothing new: an answer without entries when the wait is over.
    let asked = Instant::now();
    let none = watcher.call("/api/targets?since=1&timeout_ms=50");
    assert!(asked.elapsed() >= Duration::from_millis(50));
    assert_eq!((&none["generation"], &none["reset"], ids(&none).len()), (&1.into(), &false.into(), 0));

    // News ends a wait. A version that is not known gets the whole list, without what is gone.
    watcher.ask("/api/targets?since=1&timeout_ms=60000");
    while discovery.counts()[0].calls < 3 {
        std::thread::sleep(Duration::from_millis(1));
    }
    discovery.change(Change::Drain(1));
    let news = watcher.list();
    assert_eq!((&news["generation"], ids(&news)), (&2.into(), vec![(names[1].clone(), "DRAINING".into())]));
    discovery.change(Change::Replace(1));
    discovery.change(Change::Weight(0, 1.5));
    let news = watcher.call("/api/targets?since=2&timeout_ms=1000");
    let states: Vec<_> = ids(&news).into_iter().map(|(_, state)| state).collect();
    assert_eq!(
        (&news["generation"], states),
        (&4.into(), vec!["SERVING".into(), "DELETED".into(), "SERVING".into()])
    );
    assert_eq!(news["instances"][0]["weight"], 1.5);
    let other = watcher.call("/api/targets?since=99&timeout_ms=1000");
    assert_eq!((&other["reset"], ids(&other).len()), (&true.into(), 3));
    assert!(ids(&other).iter().all(|(id, _)| *id != names[1]));

    // What is named is in force, what has not been named is not.
    assert_eq!(discovery.lacking(), 2);
    watcher.call("/api/targets?since=4&timeout_ms=1");
    assert_eq!(discovery.lacking(), 0);
    let in_force = discovery.take_in_force().unwrap();
    assert_eq!((in_force.each.len(), in_force.all.len()), (3, 3));

    // History forgotten: whole to all that lack something.
    discovery.change(Change::Weight(0, 1.0));
    discovery.forget();
    assert_eq!(watcher.call("/api/targets?since=4&timeout_ms=1")["reset"], true);
    let counts = discovery.counts()[0];
    assert_eq!(counts.calls, 7);
    assert!(counts.received > 7 * 30 && counts.sent > 7 * 100);
}

#[test]
fn the_stand_in_discovery_is_silent_refuses_and_comes_back() {
    let discovery = Discovery::start(Vec::new(), 1).unwrap();
    let at = discovery.addresses()[0];
    let mut watcher = Watcher::new(at);
    discovery.set_mode(Mode::Silent);
    watcher.ask("/api/targets?since=1&timeout_ms=1");
    watcher.0.get_ref().set_read_timeout(Some(Duration::from_millis(100))).unwrap();
    let kind = watcher.0.fill_buf().unwrap_err().kind();
    assert!(matches!(kind, ErrorKind::WouldBlock | ErrorKind::TimedOut), "{kind}");
    watcher.0.get_ref().set_read_timeout(Some(LONG)).unwrap();
    discovery.set_mode(Mode::Up); // what it holds, it answers
    assert_eq!(watcher.list()["generation"], 1);

    discovery.set_mode(Mode::Refusing);
    assert!(matches!(watcher.0.read(&mut [0]), Ok(0) | Err(_)), "the connection is cut");
    let begun = Instant::now();
    while TcpStream::connect(at).is_ok() {
        assert!(begun.elapsed() < LONG, "it still takes connections");
    }
    discovery.note_traffic();
    discovery.set_mode(Mode::Slow(Duration::from_millis(100)));
    while TcpStream::connect(at).is_err() {
        assert!(begun.elapsed() < LONG, "it does not come back");
    }
    let asked = Instant::now();
    assert_eq!(Watcher::new(at).call("/api/targets")["reset"], true);
    assert!(asked.elapsed() >= Duration::from_millis(100));
    assert!(discovery.take_traffic().iter().any(|t| t.call));
}

#[test]
fn a_small_run_measures_real_proxies_and_leaves_none() {
    let folder = tempfile::tempdir().unwrap();
    let json = tempfile::NamedTempFile::new().unwrap();
    let small = ["control", "--quick", "--listed", "17", "--proxies", "2", "--window", "0.5"];
    let output = fleet_bench(folder.path(), &small).arg("--json").arg(json.path()).output().unwrap();
    let said = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(output.status.success(), "{said}{}", String::from_utf8_lossy(&output.stderr));
    let report = serde_json::from_slice(&std::fs::read(json.path()).unwrap()).unwrap();
    let costs = table(&report, "What keeping a list costs");
    let rates: Vec<_> = costs.iter().map(|row| row["rate"].as_str().unwrap()).collect();
    assert_eq!(rates, ["none", "fleet", "10"]);
    let figure = |row: &serde_json::Map<String, Value>, name: &str| row[name].as_f64().unwrap();
    for row in &costs {
        assert!(figure(row, "RSS, MB") > 1.0 && figure(row, "descriptors") > 3.0, "{said}");
        assert!(figure(row, "core, %") > 0.0, "{said}");
    }
    assert!(figure(&costs[2], "calls/s") > 0.0 && figure(&costs[2], "bytes/s") > 0.0, "{said}");
    assert!(figure(&costs[2], "50%, ms") <= figure(&costs[2], "all, ms"), "{said}");
    let returns = table(&report, "What a discovery that was away gets");
    assert!(figure(&returns[0], "calls, 6 s") >= 4.0, "{said}");
    assert!(figure(&returns[0], "all have it, s") < 6.0, "{said}");
    assert!(!said.contains("another number"), "{said}");
    assert_nothing_left(folder.path());
}

#[test]
fn a_signal_ends_a_run_and_all_that_it_started() {
    let folder = tempfile::tempdir().unwrap();
    let mut run = fleet_bench(folder.path(), &["control", "--quick", "--window", "300"]);
    let mut run = run.stderr(Stdio::piped()).spawn().unwrap();
    let begun = Instant::now();
    while processes_of(folder.path()) < 5 {
        assert!(begun.elapsed() < LONG, "no proxies");
        std::thread::sleep(Duration::from_millis(10));
    }
    assert!(Command::new("kill").args(["-INT", &run.id().to_string()]).status().unwrap().success());
    assert_eq!(run.wait().unwrap().code(), Some(1));
    let mut said = String::new();
    run.stderr.take().unwrap().read_to_string(&mut said).unwrap();
    assert_eq!(said, "fleet-bench: ended by a signal: no report\n");
    assert_nothing_left(folder.path());
}

#[test]
fn what_cannot_be_run_is_told_in_one_line() {
    let cases: [(&[&str], &str); 4] = [
        (&["--listed", "1"], "listed: expected 2 to 20,000, got 1"),
        (&["--proxies", "301"], "proxies: expected 1 to 300, got 301"),
        (&["--rates", "0.001"], "rates: expected 0.01 to 1,000 a second, got 0.001"),
        (&["--window", "600"], "plan: expected at most an hour"),
    ];
    for (arguments, wanted) in cases {
        let output =
            Command::new(env!("CARGO_BIN_EXE_fleet-bench")).arg("control").args(arguments).output().unwrap();
        let said = String::from_utf8(output.stderr).unwrap();
        assert!(said.contains(wanted) && said.lines().count() == 1, "{said}");
        assert_eq!(output.status.code(), Some(1));
    }
    let output =
        Command::new(env!("CARGO_BIN_EXE_fleet-bench")).args(["control", "--program", "/absent"]).output();
    let said = String::from_utf8(output.unwrap().stderr).unwrap();
    assert!(said.contains("/absent: no such program"), "{said}");
}
