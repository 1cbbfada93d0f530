//! A whole small run of `fleet-bench added`, and what it is made of.

mod common;

use common::{assert_nothing_left, fleet_bench, table};
use fleet_bench::added::verdict;
use fleet_bench::backend::Backends;
use fleet_bench::draw::arrivals;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde_json::Value;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::process::Command;

fn report(seed: &str) -> (Value, String) {
    let folder = tempfile::tempdir().unwrap();
    let json = tempfile::NamedTempFile::new().unwrap();
    let small =
        ["added", "--listed", "17", "--rates", "60", "--changes", "0,5", "--seconds", "0.5", "--seed"];
    let output =
        fleet_bench(folder.path(), &[&small[..], &[seed]].concat()).arg("--json").arg(json.path()).output();
    let output = output.unwrap();
    let said = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(output.status.success(), "{said}{}", String::from_utf8_lossy(&output.stderr));
    assert_nothing_left(folder.path());
    (serde_json::from_slice(&std::fs::read(json.path()).unwrap()).unwrap(), said)
}

#[test]
fn a_small_run_sets_proxied_calls_beside_direct_ones() {
    let (first, said) = report("7");
    let calls = table(&first, "Calls");
    let ways: Vec<_> = calls.iter().map(|row| row["way"].as_str().unwrap()).collect();
    assert_eq!(ways, ["direct", "proxied", "direct", "proxied"]);
    for row in &calls {
        assert_eq!(row["failed"], 0.0, "{said}");
        assert!((5.0..90.0).contains(&row["calls"].as_f64().unwrap()), "{said}");
    }
    for row in table(&first, "Histogram") {
        let all = row.iter().filter(|(name, _)| name.parse::<f64>().is_ok());
        let sum: f64 = all.map(|(_, value)| value.as_f64().unwrap()).sum();
        assert!((sum - 100.0).abs() < 1e-6, "{said}");
    }
    let added = table(&first, "What the proxy adds");
    assert_eq!(added.len(), 2);
    for (row, calls) in added.iter().zip(calls.chunks(2)) {
        let half = |row: &serde_json::Map<String, Value>| row["50%, ms"].as_f64().unwrap();
        assert!((half(row) - (half(&calls[1]) - half(&calls[0]))).abs() < 1e-9, "{said}");
        assert!(
            ["kept", "over", "over: calls piled up", "too busy to tell"]
                .contains(&row["budget"].as_str().unwrap())
        );
    }
    // The same seed makes the same calls.
    let counts =
        |report: &Value| table(report, "Calls").iter().map(|r| r["calls"].clone()).collect::<Vec<_>>();
    let (second, other) = (report("7").0, report("8").0);
    assert_eq!(counts(&first), counts(&second));
    assert_ne!(counts(&first), counts(&other));
}

#[test]
fn what_a_busy_machine_gives_is_no_verdict() {
    assert_eq!(verdict(0.05, 0.0, 0.3, 0.7), "kept");
    assert_eq!(verdict(0.05, 0.0, 0.3, 0.73), "over");
    assert_eq!(verdict(0.19, 0.5, 0.3, 0.1), "too busy to tell");
    assert_eq!(verdict(0.05, 0.0, 0.8, 0.1), "too busy to tell");
    // Direct calls wait for callers that the proxy keeps: that is its fault, not the machine's.
    assert_eq!(verdict(0.05, 0.02, 0.8, 0.1), "over: calls piled up");
}

#[test]
fn arrivals_come_at_their_rate() {
    let times = arrivals(&mut SmallRng::seed_from_u64(3), 100.0, 100.0);
    assert!((9_600..10_400).contains(&times.len()), "{}", times.len());
    assert!(times.is_sorted() && times[times.len() - 1].as_secs_f64() < 100.0);
    assert!(arrivals(&mut SmallRng::seed_from_u64(3), 0.0, 100.0).is_empty());
}

#[test]
fn the_stand_in_backend_answers_what_names_itself() {
    let backends = Backends::start(2).unwrap();
    let cases = [("X-Txn: 1\r\nContent-Length: 4\r\n\r\nbody", "200 OK"), ("\r\n", "404 Not Found")];
    for at in backends.addresses() {
        let mut stream = TcpStream::connect(at).unwrap();
        for (rest, wanted) in cases {
            write!(stream, "POST / HTTP/1.1\r\nHost: b\r\n{rest}").unwrap();
            let mut answer = [0; 1024];
            let length = stream.read(&mut answer).unwrap();
            assert!(String::from_utf8_lossy(&answer[..length]).starts_with(&format!("HTTP/1.1 {wanted}")));
        }
    }
    assert_eq!(backends.answered(), 4);
}

#[test]
fn what_cannot_be_run_is_told_in_one_line() {
    let cases: [(&[&str], &str); 4] = [
        (&["--listed", "0"], "listed: expected 1 to 20,000, got 0"),
        (&["--rates", "0.5"], "rates: expected 1 to 10,000 a second, got 0.5"),
        (&["--seconds", "0.1"], "seconds: expected 0.5 to 600 s, got 0.1"),
        (&["--seconds", "600", "--changes", "0,1"], "plan: expected at most an hour"),
    ];
    for (arguments, wanted) in cases {
        let output =
            Command::new(env!("CARGO_BIN_EXE_fleet-bench")).arg("added").args(arguments).output().unwrap();
        let said = String::from_utf8(output.stderr).unwrap();
        assert!(said.contains(wanted) && said.lines().count() == 1, "{said}");
        assert_eq!(output.status.code(), Some(1));
    }
}
