//! Tests of `fleet-bench control` with real proxies. They guard against reports without measured values,
//! proxies or files that a completed or interrupted run leaves behind, and invalid arguments that start a
//! run.

mod common;
#[path = "common/failure.rs"]
mod failure;

use common::{JsonAndText, assert_nothing_left, count_processes, fleet_bench, run_to_report, table_rows};
use failure::run_expecting_failure;
use serde_json::{Map, Value};
use std::io::Read;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

/// Timeout for the start of the proxies, long enough for a busy machine.
const START_TIMEOUT: Duration = Duration::from_secs(30);

fn number(row: &Map<String, Value>, column: &str) -> f64 {
    row[column].as_f64().unwrap()
}

#[test]
fn measures_real_proxies_and_leaves_no_processes_or_files() {
    let directory = tempfile::tempdir().unwrap();
    let arguments = ["control", "--quick", "--listed", "17", "--proxies", "2", "--window", "0.5"];

    let JsonAndText { report, text } = run_to_report(directory.path(), &arguments);

    assert_eq!(report["arguments"]["outage-seconds"], 2.0, "{text}");
    let costs = table_rows(&report, "Cost of an up-to-date list");
    let rates: Vec<_> = costs.iter().map(|row| row["rate"].as_str().unwrap()).collect();
    assert_eq!(rates, ["none", "fleet", "10"]);
    for row in &costs {
        assert!(number(row, "RSS, MB") > 1.0 && number(row, "descriptors") > 3.0, "{text}");
        assert!(number(row, "core, %") > 0.0, "{text}");
    }
    let fastest = &costs[2];
    assert!(number(fastest, "polls/s") > 0.0 && number(fastest, "bytes/s") > 0.0, "{text}");
    assert!(number(fastest, "50%, ms") <= number(fastest, "all, ms"), "{text}");
    let recoveries = table_rows(&report, "Polls of all proxies");
    assert!(number(&recoveries[0], "polls, 6 s") >= 4.0, "{text}");
    assert!(number(&recoveries[0], "all up to date, s") < 6.0, "{text}");
    assert!(!text.contains("another number"), "{text}");
    assert_nothing_left(directory.path());
}

#[test]
fn a_signal_ends_a_run_and_the_processes_that_it_started() {
    let directory = tempfile::tempdir().unwrap();
    let mut command = fleet_bench(directory.path(), &["control", "--quick", "--window", "300"]);
    let mut run = command.stderr(Stdio::piped()).spawn().unwrap();
    let start = Instant::now();
    while count_processes(directory.path()) < 5 {
        assert!(start.elapsed() < START_TIMEOUT, "the proxies have not started");
        std::thread::sleep(Duration::from_millis(10));
    }

    assert!(Command::new("kill").args(["-INT", &run.id().to_string()]).status().unwrap().success());

    assert_eq!(run.wait().unwrap().code(), Some(1));
    let mut message = String::new();
    run.stderr.take().unwrap().read_to_string(&mut message).unwrap();
    assert_eq!(message, "fleet-bench: stopped by a signal without a report\n");
    assert_nothing_left(directory.path());
}

#[test]
fn rejects_arguments_out_of_range_with_a_one_line_message() {
    let cases: [(&[&str], &str); 4] = [
        (&["--listed", "1"], "listed: expected 2 to 20,000, got 1"),
        (&["--proxies", "301"], "proxies: expected 1 to 300, got 301"),
        (&["--rates", "0.001"], "rates: expected 0.01 to 1,000 a second, got 0.001"),
        (&["--window", "600"], "plan: expected at most an hour"),
    ];
    for (arguments, expected) in cases {
        let message = run_expecting_failure(&[&["control"], arguments].concat());

        assert!(message.contains(expected), "{message}");
    }
}

#[test]
fn reports_a_missing_proxy_program() {
    let message = run_expecting_failure(&["control", "--program", "/absent"]);

    assert!(
        message.contains("/absent: no such program; build it, or give its path with --program"),
        "{message}"
    );
}
