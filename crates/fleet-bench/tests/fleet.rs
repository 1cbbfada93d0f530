//! Tests of `fleet-bench fleet` with small fleets. They guard against results that depend on the number of
//! threads, faults that do not reach the reported values, and rule violations that the checker misses.

#[path = "common/failure.rs"]
mod failure;

use balancer::{AttemptNumber, Effect, RequestId};
use failure::run_expecting_failure;
use fleet_bench::fleet::checker::{Checker, NewCall, Rule, Violation};
use fleet_bench::fleet::{Args, Phase, run};
use fleet_bench::plan::PlanSource;
use fleet_bench::report::{Report, Value};
use std::io::Write;

/// Simulates a fleet of 300 backends in 8 services, with this number of restarts a day. `lines` are further
/// lines of the plan.
fn simulate_small_fleet(phases: &[Phase], restarts: usize, lines: &str) -> Report {
    let mut file = tempfile::NamedTempFile::new().unwrap();
    let text = "backends = 300\nservices = 8\ndepth = 4\nwindow = 40.0\n\
                partition_duration = 20.0\nrecorded_callers = 1\nrate_scale = 0.002\nracks = 3\n";
    write!(file, "{text}{lines}").unwrap();
    let experiment = Some(file.path().to_path_buf());
    run(&Args {
        source: PlanSource { experiment, seed: None },
        phases: phases.to_vec(),
        restarts: Some(restarts),
        ..Args::default()
    })
    .unwrap()
}

/// Returns the number in a cell. Table, row and column are identified by the beginnings of their names.
fn cell_number(report: &Report, table: &str, row: &str, column: &str) -> f64 {
    let table = report.tables.iter().find(|t| t.name.starts_with(table)).unwrap();
    let column = table.columns.iter().position(|c| c.starts_with(column)).unwrap();
    let matches_row = |value: &Value| value.to_string().starts_with(row);
    let row = table.rows.iter().find(|r| r[..2].iter().any(matches_row)).unwrap();
    match row[column] {
        Value::Number(number) => number,
        ref other => panic!("{other}"),
    }
}

#[test]
fn the_same_seed_gives_the_same_results_with_any_number_of_threads() {
    let phases = [Phase::Ordinary, Phase::Rack, Phase::Zone, Phase::Region, Phase::Half];
    let simulate_on = |threads, lines| {
        let pool = rayon::ThreadPoolBuilder::new().num_threads(threads).build().unwrap();
        let mut tables = pool.install(|| simulate_small_fleet(&phases, 24, lines)).tables;
        let count = tables.len();
        tables.retain(|t| !t.name.starts_with("Memory") && !t.name.starts_with("Processor time"));
        assert_eq!(count, tables.len() + 2);
        tables
    };
    let on_one_thread = simulate_on(1, "");
    assert_eq!(on_one_thread, simulate_on(4, ""));
    assert_ne!(on_one_thread, simulate_on(4, "seed = 2\n"));
}

#[test]
fn without_faults_every_call_succeeds_and_every_backend_is_in_a_subset() {
    let report = simulate_small_fleet(&[Phase::Ordinary], 0, "failures = 0\ncross_zone_cost = 0.0\n");
    let calls = cell_number(&report, "Calls", "ordinary", "calls");
    let expected = 620_000.0 * 0.002 * 40.0;
    assert!((calls / expected - 1.0).abs() < 0.05, "{calls} of {expected}");
    assert_eq!(cell_number(&report, "Calls", "ordinary", "attempts to unavailable"), 0.0);
    assert_eq!(cell_number(&report, "Calls", "ordinary", "rejected"), 0.0);
    assert!(cell_number(&report, "Calls", "ordinary", "succeeded") > 99.99);
    assert_eq!(cell_number(&report, "Backends in service", "ordinary", "in no subset"), 0.0);
    assert_eq!(cell_number(&report, "Time until", "ordinary", "changes"), 0.0);
    assert_eq!(cell_number(&report, "Each role", "discovery", "messages/s"), 0.0);
}

#[test]
fn partitioned_region_gets_endpoint_changes_only_after_the_partition() {
    let report = simulate_small_fleet(&[Phase::Region], 240, "");
    // The hour has ten restarts with three changes each, fewer where no proxy calls the service.
    let changes = cell_number(&report, "Time until", "region", "changes");
    assert!((6.0..=30.0).contains(&changes), "{changes}");
    let table = report.tables.iter().find(|t| t.name.starts_with("Time until")).unwrap();
    let Some(Value::Number(worst)) = table.rows[0].last() else { panic!("{table:?}") };
    assert!((5.0..=25.0).contains(worst), "{worst}");
    assert!(cell_number(&report, "Calls", "region", "attempts to unavailable") > 0.0);

    let unpartitioned = simulate_small_fleet(&[Phase::Ordinary], 24, "");
    let table = unpartitioned.tables.iter().find(|t| t.name.starts_with("Time until")).unwrap();
    let Some(Value::Number(worst)) = table.rows[0].last() else { panic!("{table:?}") };
    assert!((0.3..=4.0).contains(worst), "{worst}");
}

#[test]
fn restarted_and_crashed_backends_go_through_slow_start() {
    let report = simulate_small_fleet(&[Phase::Zone, Phase::Half], 24, "");
    let starts = |phase| cell_number(&report, "Peak load", phase, "slow starts");
    let largest = cell_number(&report, "Each role", "proxy of the largest", "backends listed");
    assert!(starts("half") >= (largest / 2.0).floor(), "{}", starts("half"));
    // The failed zone is one of nine.
    assert!((10.0..=35.0).contains(&starts("zone")), "{}", starts("zone"));
    // Crashed backends receive attempts until the callers are notified. Drained backends receive none.
    assert!(cell_number(&report, "Calls", "zone", "attempts to unavailable") > 0.0);
    assert_eq!(cell_number(&report, "Calls", "half", "attempts to unavailable"), 0.0);
    assert_eq!(cell_number(&report, "Calls", "half", "past grace"), 0.0);
}

#[test]
fn checker_detects_each_rule_violation() {
    let call = RequestId(7);
    let violation = |rule| Err(Violation { rule, call });
    let checker_with_open_call = |effect| {
        let mut checker = Checker::default();
        checker.open(call, NewCall { effect, deadline: 1.0, counted: true });
        checker
    };
    let mut safe_call = checker_with_open_call(Effect::Safe);
    assert_eq!((safe_call.send(call), safe_call.send(call)), (Ok(AttemptNumber(0)), Ok(AttemptNumber(1))));
    assert_eq!(safe_call.verify_none_open(), violation(Rule::Unanswered));
    assert_eq!(safe_call.close(call, 1.0).map(|open| open.attempts), Ok(2));
    assert_eq!(safe_call.verify_none_open(), Ok(()));
    assert_eq!(safe_call.close(call, 1.0).map(|_| ()), violation(Rule::NotOpen));
    assert_eq!(safe_call.send(call).map(|_| ()), violation(Rule::SentAfterResponse));
    assert_eq!(checker_with_open_call(Effect::Safe).close(call, 1.01).map(|_| ()), violation(Rule::Late));

    let mut unsafe_call = checker_with_open_call(Effect::Unsafe);
    assert_eq!(unsafe_call.send(call), Ok(AttemptNumber(0)));
    unsafe_call.attempt_never_ran(call);
    assert_eq!(unsafe_call.send(call), Ok(AttemptNumber(1)));
    assert_eq!(unsafe_call.send(call).map(|_| ()), violation(Rule::UnsafeRetry));
    assert_eq!((unsafe_call.drop_open(), unsafe_call.verify_none_open()), (1, Ok(())));
}

#[test]
fn rejects_an_invalid_plan_and_stops_a_long_run_with_a_one_line_message() {
    let cases: [(&[&str], &str); 5] = [
        (&["--backends", "10"], "backends: expected at least two for each service"),
        (&["--services", "0"], "services: expected 1 to 10000, got 0"),
        (&["--window", "1e9"], "window: expected 1 to 3600, got 1000000000"),
        (&["--restarts", "6000"], "restarts and failures: expected 0 to 5500"),
        (&["--real-time-limit", "1", "--phase", "ordinary"], "stopped at the time limit of 1 s"),
    ];
    for (arguments, expected) in cases {
        let message = run_expecting_failure(&[&["fleet"], arguments].concat());

        assert!(message.contains(expected), "{message}");
    }
}
