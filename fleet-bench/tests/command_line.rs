//! What the program says to bad arguments and files: one clear line, and no zero.

use fleet_bench::report::{Report, Table, Value};
use fleet_bench::stats;
use std::process::{Command, Output};

fn fleet_bench(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_fleet-bench")).args(arguments).output().unwrap()
}

#[test]
fn an_experiment_file_that_cannot_be_used_is_told_in_one_line() {
    let folder = tempfile::tempdir().unwrap();
    let at = |name: &str, text: &str| {
        let path = folder.path().join(name);
        std::fs::write(&path, text).unwrap();
        path.to_str().unwrap().to_string()
    };
    let absent = folder.path().join("absent.toml").to_str().unwrap().to_string();
    let cases = [
        (at("unknown.toml", "seed = 1\nsede = 2\n"), "unknown.toml: line 2: unknown field `sede`"),
        (at("torn.toml", "seed = "), "torn.toml: line 1"),
        (at("text.toml", "seed = \"one\""), "text.toml: line 1"),
        (absent, "absent.toml: No such file"),
    ];
    for command in ["slopes", "control", "fleet", "added"] {
        for (file, wanted) in &cases {
            let output = fleet_bench(&[command, "--experiment", file]);
            let said = String::from_utf8(output.stderr).unwrap();
            assert_eq!(output.status.code(), Some(1), "{command}: {said}");
            assert_eq!(said.lines().count(), 1, "{command}: {said}");
            assert!(said.contains(wanted), "{command}: {said}");
            assert!(output.stdout.is_empty());
        }
    }
    assert_eq!(fleet_bench(&["slopes", "--sede", "1"]).status.code(), Some(2));
}

#[test]
fn a_report_reads_back_as_it_was_written() {
    let mut report = Report::new("slopes", 7, &["a plan"]).unwrap();
    let mut table = Table::new("costs", &["event", "cost, us"]);
    table.row([Value::from("call"), Value::from(1.25)]);
    table.row([Value::from("none"), Value::from(f64::NAN)]);
    report.tables.push(table);
    let file = tempfile::NamedTempFile::new().unwrap();
    report.write(file.path()).unwrap();
    let read: Report = serde_json::from_slice(&std::fs::read(file.path()).unwrap()).unwrap();
    assert_eq!(read, report);
    assert!(report.to_string().contains("1.250"));
}

#[test]
fn a_line_goes_through_its_points() {
    let exact: Vec<_> = (0..5).map(|x| (f64::from(x), 3.0 + 2.0 * f64::from(x))).collect();
    let line = stats::line(&exact).unwrap();
    assert!((line.slope - 2.0).abs() < 1e-9 && (line.intercept - 3.0).abs() < 1e-9);
    assert!(line.slope_error < 1e-9 && line.intercept_error < 1e-9);
    assert_eq!(stats::line(&[(1.0, 1.0), (2.0, 2.0)]), None);
    assert_eq!(stats::line(&[(1.0, 1.0); 4]), None);
}
