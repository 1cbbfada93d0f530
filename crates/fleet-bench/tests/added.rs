//! Tests of `fleet-bench added`: a small run with a real proxy, the verdict, the drawn load and the stub
//! backends. They guard against a report whose added latency does not follow from its calls, a load that
//! differs between runs with the same seed, and a verdict about the proxy where the machine was too busy.

mod common;
#[path = "common/failure.rs"]
mod failure;

use common::{JsonAndText, assert_nothing_left, run_to_report, table_rows};
use failure::run_expecting_failure;
use fleet_bench::backend::Backends;
use fleet_bench::latency_overhead::{LatencyObservation, Verdict};
use fleet_bench::random_values::poisson_arrivals;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde_json::{Map, Value};
use std::io::{Read, Write};
use std::net::TcpStream;

const VERDICT_TEXTS: [&str; 4] =
    ["within budget", "over budget", "over budget: calls piled up", "inconclusive: machine too busy"];

/// Runs a small measurement with this seed, and returns the report as JSON and as text.
fn run_small_measurement(seed: &str) -> JsonAndText {
    let directory = tempfile::tempdir().unwrap();
    let arguments =
        ["added", "--listed", "17", "--rates", "60", "--changes", "0,5", "--seconds", "0.5", "--seed", seed];
    let report = run_to_report(directory.path(), &arguments);
    assert_nothing_left(directory.path());
    report
}

fn number(row: &Map<String, Value>, column: &str) -> f64 {
    row[column].as_f64().unwrap()
}

/// Returns the numbers of calls in the rows of the table of calls.
fn call_counts(report: &Value) -> Vec<Value> {
    table_rows(report, "Calls").iter().map(|row| row["calls"].clone()).collect()
}

#[test]
fn reports_the_added_latency_of_calls_that_depend_only_on_the_seed() {
    let JsonAndText { report, text } = run_small_measurement("7");

    assert_eq!((&report["command"], &report["seed"]), (&"added".into(), &7.into()), "{text}");
    let calls = table_rows(&report, "Calls");
    let routes: Vec<_> = calls.iter().map(|row| row["route"].as_str().unwrap()).collect();
    assert_eq!(routes, ["direct", "proxied", "direct", "proxied"]);
    for row in &calls {
        assert_eq!(row["failed"], 0.0, "{text}");
        assert!((5.0..90.0).contains(&number(row, "calls")), "{text}");
    }
    for row in table_rows(&report, "Histogram") {
        let buckets = row.iter().filter(|(name, _)| name.parse::<f64>().is_ok());
        let sum: f64 = buckets.map(|(_, value)| value.as_f64().unwrap()).sum();
        assert!((sum - 100.0).abs() < 1e-6, "{text}");
    }
    let added = table_rows(&report, "Latency that the proxy adds");
    assert_eq!(added.len(), 2);
    for (row, calls) in added.iter().zip(calls.chunks(2)) {
        let difference = number(&calls[1], "50%, ms") - number(&calls[0], "50%, ms");
        assert!((number(row, "50%, ms") - difference).abs() < 1e-9, "{text}");
        assert!(VERDICT_TEXTS.contains(&row["verdict"].as_str().unwrap()));
    }
    // The calls depend on the seed only.
    assert_eq!(call_counts(&report), call_counts(&run_small_measurement("7").report));
    assert_ne!(call_counts(&report), call_counts(&run_small_measurement("8").report));
}

#[test]
fn verdict_is_inconclusive_only_if_the_machine_is_too_busy() {
    let quiet =
        LatencyObservation { generator_delay_ms: 0.05, queued_fraction: 0.0, direct_ms: 0.3, added_ms: 0.1 };
    let slow_proxy = LatencyObservation { added_ms: 0.73, ..quiet };
    let late_generator = LatencyObservation { generator_delay_ms: 0.19, queued_fraction: 0.5, ..quiet };
    let slow_direct_calls = LatencyObservation { direct_ms: 0.8, ..quiet };
    // Direct calls are slow because they wait for callers with proxied calls in flight. The proxy is at fault.
    let queued_calls = LatencyObservation { queued_fraction: 0.02, direct_ms: 0.8, ..quiet };

    assert_eq!(LatencyObservation { added_ms: 0.7, ..quiet }.verdict(), Verdict::WithinBudget);
    assert_eq!(slow_proxy.verdict(), Verdict::OverBudget);
    assert_eq!(late_generator.verdict(), Verdict::MachineTooBusy);
    assert_eq!(slow_direct_calls.verdict(), Verdict::MachineTooBusy);
    assert_eq!(queued_calls.verdict(), Verdict::CallsQueued);
    let texts = [Verdict::WithinBudget, Verdict::OverBudget, Verdict::CallsQueued, Verdict::MachineTooBusy]
        .map(Verdict::text);
    assert_eq!(texts, VERDICT_TEXTS);
}

#[test]
fn poisson_arrivals_have_the_requested_mean_rate() {
    let times = poisson_arrivals(&mut SmallRng::seed_from_u64(3), 100.0, 100.0);

    assert!((9_600..10_400).contains(&times.len()), "{}", times.len());
    assert!(times.is_sorted() && times[times.len() - 1].as_secs_f64() < 100.0);
    assert!(poisson_arrivals(&mut SmallRng::seed_from_u64(3), 0.0, 100.0).is_empty());
}

#[test]
fn stub_backend_responds_with_200_only_to_a_request_with_an_id() {
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
fn rejects_arguments_out_of_range_with_a_one_line_message() {
    let cases: [(&[&str], &str); 4] = [
        (&["--listed", "0"], "listed: expected 1 to 20,000, got 0"),
        (&["--rates", "0.5"], "rates: expected 1 to 10,000 a second, got 0.5"),
        (&["--seconds", "0.1"], "seconds: expected 0.5 to 600 s, got 0.1"),
        (&["--seconds", "600", "--changes", "0,1"], "plan: expected at most an hour"),
    ];
    for (arguments, expected) in cases {
        let message = run_expecting_failure(&[&["added"], arguments].concat());

        assert!(message.contains(expected), "{message}");
    }
}
