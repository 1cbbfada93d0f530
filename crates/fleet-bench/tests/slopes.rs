//! Tests of `fleet-bench slopes` with a small plan. They guard against measures without values, state that
//! differs between runs with the same seed, and invalid plans that start a run.

use fleet_bench::report::{Report, Table, Value};
use std::process::{Command, Output};

const SMALL_PLAN: &str = "rounds = 3\nrequests = 300\nchanges = 2\nlists = 1\nwarm_up = 2.0\n\
    [axes]\nbackends = [17, 40, 90]\nsubset = []\ninstances = []\nclasses = []\n\
    tenants = [0, 10, 20]\nopen_requests = [6, 20]\nopen_requests_full_subset = []\n";

/// Runs the command with an experiment file of this content, and reads the JSON report if the command wrote
/// one.
fn run_slopes(plan: &str, arguments: &[&str]) -> (Output, Option<Report>) {
    let directory = tempfile::tempdir().unwrap();
    let (experiment, json) = (directory.path().join("plan.toml"), directory.path().join("report.json"));
    std::fs::write(&experiment, plan).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_fleet-bench"));
    command.arg("--json").arg(&json).args(["slopes", "--experiment"]).arg(&experiment).args(arguments);
    let output = command.output().unwrap();
    (output, std::fs::read(&json).ok().map(|text| serde_json::from_slice(&text).unwrap()))
}

/// Returns the values of the first column whose name begins with `name`.
fn column<'a>(table: &'a Table, name: &str) -> Vec<&'a Value> {
    let index = table.columns.iter().position(|c| c.starts_with(name)).unwrap();
    table.rows.iter().map(|row| &row[index]).collect()
}

fn numbers(table: &Table, name: &str) -> Vec<f64> {
    let as_number = |value: &&Value| match value {
        Value::Number(n) => *n,
        other => panic!("{name}: {other:?}"),
    };
    column(table, name).iter().map(as_number).collect()
}

#[test]
fn reports_each_axis_and_the_same_seed_gives_the_same_state() {
    let [first, again] = [(), ()].map(|()| {
        let (output, report) = run_slopes(SMALL_PLAN, &["--seed", "7"]);
        assert!(output.status.success(), "{output:?}");
        report.unwrap()
    });
    assert_eq!(first.seed, 7);
    let [lines, cases, spreads, minima] = &first.tables[..] else { panic!("{} tables", first.tables.len()) };
    assert_eq!([cases, spreads, minima].map(|t| t.rows.len()), [8; 3]);
    let (median, lowest) = (numbers(cases, "request"), numbers(minima, "request"));
    assert!(lowest.iter().zip(&median).all(|(l, m)| l <= m), "{minima:?}");
    for name in [
        "request",
        "response",
        "timer with retry",
        "all events",
        "changed",
        "full",
        "first",
        "settings change",
    ] {
        assert!(numbers(cases, name).iter().all(|us| *us > 0.0), "{name}: {cases:?}");
    }
    // A balancer that retries at each timer has no timer without a retry.
    let without_retry: Vec<_> =
        column(cases, "timer without").into_iter().filter(|us| **us != Value::Absent).collect();
    assert!(without_retry.len() >= 6, "{cases:?}");
    assert!(without_retry.iter().all(|us| matches!(us, Value::Number(us) if *us > 0.0)), "{cases:?}");
    // The simulation has no faults, so that all requests succeed, and as many are open as the plan requires.
    assert!(numbers(cases, "unserved").iter().all(|n| *n == 0.0), "{cases:?}");
    let expected = [6.0, 6.0, 6.0, 6.0, 6.0, 6.0, 6.0, 20.0];
    for (open, expected) in numbers(cases, "open").iter().zip(expected) {
        assert!((open / expected - 1.0).abs() < 0.2, "{open} open, not {expected}");
    }
    for name in ["value", "idle state", "open", "backends used"] {
        assert_eq!(column(cases, name), column(&again.tables[1], name), "{name}");
    }
    // A listed backend takes at least the size of its endpoint. An axis with two cases has no line.
    let axes = column(lines, "axis");
    let (slopes, measures) = (numbers(lines, "slope"), column(lines, "measure"));
    let idle_rows = (0..axes.len()).filter(|row| *measures[*row] == Value::from("idle state, bytes"));
    let idle_rows: Vec<usize> = idle_rows.collect();
    let idle_axes: Vec<String> = idle_rows.iter().map(|row| axes[*row].to_string()).collect();
    assert_eq!(idle_axes, ["backends listed", "tenants"]);
    let [bytes_per_backend, bytes_per_tenant] = idle_rows[..] else { panic!("{idle_rows:?}") };
    assert!(slopes[bytes_per_backend] > size_of::<balancer::Endpoint>() as f64, "{slopes:?}");
    assert!(slopes[bytes_per_tenant] >= size_of::<f64>() as f64, "{slopes:?}");
}

#[test]
fn notes_an_axis_that_the_time_limit_ended_early() {
    let plan = format!("time_limit = 1\n{}", SMALL_PLAN.replace("rounds = 3", "rounds = 1000"));
    let (output, report) = run_slopes(&plan, &[]);
    assert!(output.status.success(), "{output:?}");
    let report = report.unwrap();
    let has_note =
        |name: &str| report.notes.iter().any(|n| n.starts_with(name) && n.contains("time limit reached"));
    assert!(has_note("open requests"), "{:?}", report.notes);
}

#[test]
fn rejects_an_invalid_plan_with_a_one_line_message() {
    let cases = [
        ("rounds = 0", "rounds: expected 1 to 1000, got 0"),
        ("warm_up = nan", "warm_up: expected 0 to 60 seconds, got NaN"),
        ("[axes]\nbackends = [0]", "backends: expected 1 to 10000, got 0"),
        ("[base]\nopen_requests = 20000", "open_requests: expected 1 to 10000, got 20000"),
        ("[base]\nopne = 2", "line 2: unknown field `opne`"),
    ];
    for (plan, expected) in cases {
        let (output, report) = run_slopes(plan, &[]);
        let stderr = String::from_utf8(output.stderr).unwrap();
        assert_eq!((output.status.code(), stderr.lines().count()), (Some(1), 1), "{stderr}");
        assert!(stderr.contains(expected) && report.is_none(), "{stderr}");
    }
}
