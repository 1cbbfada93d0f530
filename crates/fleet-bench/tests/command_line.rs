//! Tests of what all commands share. They guard against an invalid experiment file that is accepted or
//! reported unclearly, a report that changes when it is written and read, and a wrong linear fit.

use fleet_bench::report::{Report, Table, Value};
use fleet_bench::stats::{self, Point};
use std::process::{Command, Output};

fn fleet_bench(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_fleet-bench")).args(arguments).output().unwrap()
}

#[test]
fn rejects_an_invalid_experiment_file_with_a_one_line_message() {
    let directory = tempfile::tempdir().unwrap();
    let file = |name: &str, text: &str| {
        let path = directory.path().join(name);
        std::fs::write(&path, text).unwrap();
        path.to_str().unwrap().to_string()
    };
    let absent = directory.path().join("absent.toml").to_str().unwrap().to_string();
    let cases = [
        (file("unknown.toml", "seed = 1\nsede = 2\n"), "unknown.toml: line 2: unknown field `sede`"),
        (file("truncated.toml", "seed = "), "truncated.toml: line 1"),
        (file("text.toml", "seed = \"one\""), "text.toml: line 1"),
        (absent, "absent.toml: No such file"),
    ];
    for command in ["slopes", "control", "fleet", "added"] {
        for (path, expected) in &cases {
            let output = fleet_bench(&[command, "--experiment", path]);
            let message = String::from_utf8(output.stderr).unwrap();
            assert_eq!(output.status.code(), Some(1), "{command}: {message}");
            assert_eq!(message.lines().count(), 1, "{command}: {message}");
            assert!(message.contains(expected), "{command}: {message}");
            assert!(output.stdout.is_empty());
        }
    }
    assert_eq!(fleet_bench(&["slopes", "--sede", "1"]).status.code(), Some(2));
}

#[test]
fn a_written_report_is_read_back_unchanged() {
    let mut report = Report::new("slopes", 7, &["a plan"]).unwrap();
    let mut table = Table::new("costs", &["event", "cost, us"]);
    table.add_row([Value::from("call"), Value::from(1.25)]);
    table.add_row([Value::from("none"), Value::from(f64::NAN)]);
    report.tables.push(table);
    let file = tempfile::NamedTempFile::new().unwrap();

    report.write(file.path()).unwrap();
    let read: Report = serde_json::from_slice(&std::fs::read(file.path()).unwrap()).unwrap();

    assert_eq!(read, report);
    assert!(report.to_string().contains("1.250"));
}

#[test]
fn linear_fit_finds_the_line_through_exact_points_and_rejects_too_few_points() {
    let exact: Vec<Point> = (0..5).map(f64::from).map(|x| Point { x, y: 3.0 + 2.0 * x }).collect();
    let two_points = &exact[..2];
    let one_point_repeated = [exact[0]; 4];

    let fit = stats::fit_line(&exact).unwrap();

    assert!((fit.slope - 2.0).abs() < 1e-9 && (fit.intercept - 3.0).abs() < 1e-9);
    assert!(fit.slope_error < 1e-9 && fit.intercept_error < 1e-9);
    assert_eq!(stats::fit_line(two_points), None);
    assert_eq!(stats::fit_line(&one_point_repeated), None);
}
