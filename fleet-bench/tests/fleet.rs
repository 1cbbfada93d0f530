//! The hollow fleet, small: what it shows is what was played, whatever the number of threads.

use balancer_proxy::{Effect, RequestId};
use fleet_bench::fleet::checker::{Broken, Checker, Rule};
use fleet_bench::fleet::{Args, Phase, run};
use fleet_bench::plan::Source;
use fleet_bench::report::{Report, Value};
use std::io::Write;
use std::process::Command;

/// A fleet of 300 in 8 services, quick to play, with so many restarts a day, and these lines of a
/// plan beside.
fn small(phases: &[Phase], restarts: usize, lines: &str) -> Report {
    let mut file = tempfile::NamedTempFile::new().unwrap();
    let text = "backends = 300\nservices = 8\ndepth = 4\nwindow = 40.0\n\
                cut = 20.0\nsamples = 1\nrate_scale = 0.002\nracks = 3\n";
    write!(file, "{text}{lines}").unwrap();
    let experiment = Some(file.path().to_path_buf());
    run(&Args {
        source: Source { experiment, seed: None },
        phases: phases.to_vec(),
        restarts: Some(restarts),
        ..Args::default()
    })
    .unwrap()
}

/// The figure of a table, by the beginnings of the names of the three.
fn figure(report: &Report, table: &str, row: &str, column: &str) -> f64 {
    let table = report.tables.iter().find(|t| t.name.starts_with(table)).unwrap();
    let column = table.columns.iter().position(|c| c.starts_with(column)).unwrap();
    let is = |value: &Value| value.to_string().starts_with(row);
    let row = table.rows.iter().find(|r| r[..2].iter().any(is)).unwrap();
    match row[column] {
        Value::Number(figure) => figure,
        ref other => panic!("{other}"),
    }
}

#[test]
fn the_same_seed_gives_the_same_figures_whatever_the_threads() {
    let all = [Phase::Ordinary, Phase::Rack, Phase::Zone, Phase::Region, Phase::Half];
    let on = |threads, lines| {
        let pool = rayon::ThreadPoolBuilder::new().num_threads(threads).build().unwrap();
        let mut tables = pool.install(|| small(&all, 24, lines)).tables;
        let count = tables.len();
        tables.retain(|t| !t.name.starts_with("State") && !t.name.starts_with("Processor time"));
        assert_eq!(count, tables.len() + 2);
        tables
    };
    let one = on(1, "");
    assert_eq!(one, on(4, ""));
    assert_ne!(one, on(4, "seed = 2\n"));
}

#[test]
fn where_nothing_happens_all_is_served_and_every_backend_is_somebodys() {
    let calm = small(&[Phase::Ordinary], 0, "failures = 0\ncross_zone = 0.0\n");
    let calls = figure(&calm, "Calls", "ordinary", "calls");
    let expected = 620_000.0 * 0.002 * 40.0;
    assert!((calls / expected - 1.0).abs() < 0.05, "{calls} of {expected}");
    assert_eq!(figure(&calm, "Calls", "ordinary", "to what is gone"), 0.0);
    assert_eq!(figure(&calm, "Calls", "ordinary", "refused"), 0.0);
    assert!(figure(&calm, "Calls", "ordinary", "served") > 99.99);
    assert_eq!(figure(&calm, "Backends in service", "ordinary", "in nobody's"), 0.0);
    assert_eq!(figure(&calm, "Time until", "ordinary", "changes"), 0.0);
    assert_eq!(figure(&calm, "Each role", "discovery", "messages/s"), 0.0);
}

#[test]
fn what_is_cut_off_hears_nothing_until_it_is_back_and_then_all_at_once() {
    let cut = small(&[Phase::Region], 240, "");
    // An hour's restarts: ten, of three changes each but where their service is not called.
    let changes = figure(&cut, "Time until", "region", "changes");
    assert!((6.0..=30.0).contains(&changes), "{changes}");
    let table = cut.tables.iter().find(|t| t.name.starts_with("Time until")).unwrap();
    let Some(Value::Number(worst)) = table.rows[0].last() else { panic!("{table:?}") };
    assert!((5.0..=25.0).contains(worst), "{worst}");
    assert!(figure(&cut, "Calls", "region", "to what is gone") > 0.0);

    let whole = small(&[Phase::Ordinary], 24, "");
    let table = whole.tables.iter().find(|t| t.name.starts_with("Time until")).unwrap();
    let Some(Value::Number(worst)) = table.rows[0].last() else { panic!("{table:?}") };
    assert!((0.3..=4.0).contains(worst), "{worst}");
}

#[test]
fn what_is_restarted_or_lost_comes_back_cold() {
    let report = small(&[Phase::Zone, Phase::Half], 24, "");
    let starts = |phase| figure(&report, "What all together", phase, "cold starts");
    let largest = figure(&report, "Each role", "proxy of the largest", "backends listed");
    assert!(starts("half") >= (largest / 2.0).floor(), "{}", starts("half"));
    // A ninth of all.
    assert!((10.0..=35.0).contains(&starts("zone")), "{}", starts("zone"));
    // Without a word, they are still called for a while; drained, they are not.
    assert!(figure(&report, "Calls", "zone", "to what is gone") > 0.0);
    assert_eq!(figure(&report, "Calls", "half", "to what is gone"), 0.0);
    assert_eq!(figure(&report, "Calls", "half", "past the grace"), 0.0);
}

#[test]
fn a_broken_rule_is_seen() {
    let call = RequestId(7);
    let broken = |rule| Err(Broken { rule, call });
    let began = |effect| {
        let mut checker = Checker::default();
        checker.begun(call, effect, 1.0, true);
        checker
    };
    let mut safe = began(Effect::Safe);
    assert_eq!((safe.sent(call), safe.sent(call)), (Ok(0), Ok(1)));
    assert_eq!(safe.end(), broken(Rule::Unanswered));
    assert_eq!(safe.answered(call, 1.0).map(|open| open.attempts), Ok(2));
    assert_eq!(safe.end(), Ok(()));
    assert_eq!(safe.answered(call, 1.0).map(|_| ()), broken(Rule::NotOpen));
    assert_eq!(safe.sent(call).map(|_| ()), broken(Rule::SentOver));
    assert_eq!(began(Effect::Safe).answered(call, 1.01).map(|_| ()), broken(Rule::Late));

    let mut once = began(Effect::Unsafe);
    assert_eq!(once.sent(call), Ok(0));
    once.never_ran(call);
    assert_eq!(once.sent(call), Ok(1));
    assert_eq!(once.sent(call).map(|_| ()), broken(Rule::SentTwice));
    assert_eq!((once.lose(), once.end()), (1, Ok(())));
}

#[test]
fn what_cannot_be_played_or_takes_too_long_is_told_in_one_line() {
    let cases: [(&[&str], &str); 5] = [
        (&["--backends", "10"], "backends: expected two for each service"),
        (&["--services", "0"], "services: expected 1 to 10000, got 0"),
        (&["--window", "1e9"], "window: expected 1 to 3600, got 1000000000"),
        (&["--restarts", "6000"], "restarts and failures: expected 0 to 5500"),
        (&["--limit", "1", "--phase", "ordinary"], "given up after 1 s"),
    ];
    for (arguments, wanted) in cases {
        let output = Command::new(env!("CARGO_BIN_EXE_fleet-bench")).arg("fleet").args(arguments).output();
        let output = output.unwrap();
        let said = String::from_utf8(output.stderr).unwrap();
        assert_eq!(output.status.code(), Some(1), "{said}");
        assert_eq!(said.lines().count(), 1, "{said}");
        assert!(said.contains(wanted), "{said}");
        assert!(output.stdout.is_empty());
    }
}
