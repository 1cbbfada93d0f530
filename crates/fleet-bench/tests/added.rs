//! A complete small run of `fleet-bench added`, and tests of its components.

mod common;
#[path = "common/failure.rs"]
mod failure;

use common::{JsonAndText, assert_nothing_left, report_of, table};
use failure::failure_of;
use fleet_bench::backend::Backends;
use fleet_bench::latency_overhead::{LatencyObservation, Verdict};
use fleet_bench::sampling::poisson_arrivals;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde_json::{Map, Value};
use std::io::{Read, Write};
use std::net::TcpStream;

const VERDICTS: [&str; 4] =
    ["within budget", "over budget", "over budget: calls piled up", "inconclusive: machine too busy"];

/// Returns the report of a small run with this seed, as JSON and as text.
fn small_run(seed: &str) -> JsonAndText {
    let directory = tempfile::tempdir().unwrap();
    let arguments =
        ["added", "--listed", "17", "--rates", "60", "--changes", "0,5", "--seconds", "0.5", "--seed", seed];
    let report = report_of(directory.path(), &arguments);
    assert_nothing_left(directory.path());
    report
}

fn number(row: &Map<String, Value>, column: &str) -> f64 {
    row[column].as_f64().unwrap()
}

/// Returns the number of calls in each row.
fn call_counts(report: &Value) -> Vec<Value> {
    table(report, "Calls").iter().map(|row| row["calls"].clone()).collect()
}

#[test]
fn a_small_run_compares_proxied_calls_with_direct_ones() {
    let JsonAndText { report, text } = small_run("7");

    assert_eq!((&report["command"], &report["seed"]), (&"added".into(), &7.into()), "{text}");
    let calls = table(&report, "Calls");
    let routes: Vec<_> = calls.iter().map(|row| row["route"].as_str().unwrap()).collect();
    assert_eq!(routes, ["direct", "proxied", "direct", "proxied"]);
    for row in &calls {
        assert_eq!(row["failed"], 0.0, "{text}");
        assert!((5.0..90.0).contains(&number(row, "calls")), "{text}");
    }
    for row in table(&report, "Histogram") {
        let classes = row.iter().filter(|(name, _)| name.parse::<f64>().is_ok());
        let sum: f64 = classes.map(|(_, value)| value.as_f64().unwrap()).sum();
        assert!((sum - 100.0).abs() < 1e-6, "{text}");
    }
    let added = table(&report, "Latency that the proxy adds");
    assert_eq!(added.len(), 2);
    for (row, calls) in added.iter().zip(calls.chunks(2)) {
        let difference = number(&calls[1], "50%, ms") - number(&calls[0], "50%, ms");
        assert!((number(row, "50%, ms") - difference).abs() < 1e-9, "{text}");
        assert!(VERDICTS.contains(&row["verdict"].as_str().unwrap()));
    }
    // The calls depend on the seed alone.
    assert_eq!(call_counts(&report), call_counts(&small_run("7").report));
    assert_ne!(call_counts(&report), call_counts(&small_run("8").report));
}

#[test]
fn a_busy_machine_gives_no_verdict() {
    let quiet =
        LatencyObservation { generator_delay_ms: 0.05, queued_fraction: 0.0, direct_ms: 0.3, added_ms: 0.1 };
    let slow_proxy = LatencyObservation { added_ms: 0.73, ..quiet };
    let late_generator = LatencyObservation { generator_delay_ms: 0.19, queued_fraction: 0.5, ..quiet };
    let slow_direct_calls = LatencyObservation { direct_ms: 0.8, ..quiet };
    // Direct calls wait for callers whose proxied calls are in flight: a fault of the proxy.
    let queued_calls = LatencyObservation { queued_fraction: 0.02, direct_ms: 0.8, ..quiet };

    assert_eq!(LatencyObservation { added_ms: 0.7, ..quiet }.verdict(), Verdict::WithinBudget);
    assert_eq!(slow_proxy.verdict(), Verdict::OverBudget);
    assert_eq!(late_generator.verdict(), Verdict::MachineTooBusy);
    assert_eq!(slow_direct_calls.verdict(), Verdict::MachineTooBusy);
    assert_eq!(queued_calls.verdict(), Verdict::CallsQueued);
    let texts = [Verdict::WithinBudget, Verdict::OverBudget, Verdict::CallsQueued, Verdict::MachineTooBusy]
        .map(Verdict::text);
    assert_eq!(texts, VERDICTS);
}

#[test]
fn arrivals_follow_their_rate() {
    let times = poisson_arrivals(&mut SmallRng::seed_from_u64(3), 100.0, 100.0);

    assert!((9_600..10_400).contains(&times.len()), "{}", times.len());
    assert!(times.is_sorted() && times[times.len() - 1].as_secs_f64() < 100.0);
    assert!(poisson_arrivals(&mut SmallRng::seed_from_u64(3), 0.0, 100.0).is_empty());
}

#[test]
fn a_stub_backend_responds_by_whether_a_request_has_an_id() {
    let backends = Backends::start(2).unwrap();
    let cases = [("X-Txn: 1\r\nContent-Length: 4\r\n\r\nbody", "200 OK"), ("\r\n", "404 Not Found")];
    for address in backends.addresses() {
        let mut stream = TcpStream::connect(address).unwrap();
        for (rest, status) in cases {
            write!(stream, "POST / HTTP/1.1\r\nHost: b\r\n{rest}").unwrap();
            let mut response = [0; 1024];
            let length = stream.read(&mut response).unwrap();
            let response = String::from_utf8_lossy(&response[..length]);
            assert!(response.starts_with(&format!("HTTP/1.1 {status}")));
        }
    }
    assert_eq!(backends.responses(), 4);
}

#[test]
fn invalid_arguments_are_rejected_with_one_line() {
    let cases: [(&[&str], &str); 4] = [
        (&["--listed", "0"], "listed: expected 1 to 20,000, got 0"),
        (&["--rates", "0.5"], "rates: expected 1 to 10,000 a second, got 0.5"),
        (&["--seconds", "0.1"], "seconds: expected 0.5 to 600 s, got 0.1"),
        (&["--seconds", "600", "--changes", "0,1"], "plan: expected at most an hour"),
    ];
    for (arguments, expected) in cases {
        let message = failure_of(&[&["added"], arguments].concat());

        assert!(message.contains(expected), "{message}");
    }
}
