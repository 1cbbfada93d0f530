//! Tests of settings rollouts to real proxies. They guard against a change that is lost if files are invalid,
//! discovery is silent or proxies are killed, and against a run that succeeds although a proxy did not apply
//! the change.

mod common;
#[path = "common/failure.rs"]
mod failure;

use common::{JsonAndText, assert_nothing_left, proxy_program, run_to_report, table_rows};
use failure::run_expecting_failure;
use serde_json::{Map, Value};
use std::fs::Permissions;
use std::os::unix::fs::PermissionsExt;
use std::process::Command;

/// Expected values of a row of the table, for three proxies.
struct ExpectedRow {
    /// Number of changes.
    changes: u32,
    /// Lower bound of the number of files that each proxy applies. Of changes in quick succession a proxy
    /// applies at least the last. The file that a proxy reads at its start does not count.
    min_applied: f64,
    /// Upper bound of the number of files that each proxy applies.
    max_applied: f64,
    /// Number of files that all proxies together reject.
    rejected: u32,
}

/// One change that each proxy applies once.
const ONE_CHANGE: ExpectedRow = ExpectedRow { changes: 1, min_applied: 1.0, max_applied: 1.0, rejected: 0 };
/// One change after a file that each of the three proxies rejects.
const ONE_CHANGE_AFTER_REJECTION: ExpectedRow = ExpectedRow { rejected: 3, ..ONE_CHANGE };
/// One change that two proxies apply, and that the killed third proxy reads at its start.
const ONE_CHANGE_AT_SURVIVORS: ExpectedRow =
    ExpectedRow { min_applied: 2.0 / 3.0, max_applied: 2.0 / 3.0, ..ONE_CHANGE };

const EXPECTED_ROWS: [ExpectedRow; 9] = [
    ExpectedRow { changes: 4, min_applied: 4.0, max_applied: 4.0, rejected: 0 },
    ExpectedRow { changes: 20, min_applied: 1.0, max_applied: 20.0, rejected: 0 },
    ExpectedRow { changes: 4, min_applied: 1.0, max_applied: 4.0, rejected: 0 },
    ONE_CHANGE_AFTER_REJECTION,
    ONE_CHANGE_AFTER_REJECTION,
    ONE_CHANGE,
    ONE_CHANGE_AT_SURVIVORS,
    ONE_CHANGE_AT_SURVIVORS,
    ONE_CHANGE,
];

fn assert_row(row: &Map<String, Value>, expected: &ExpectedRow, text: &str) {
    let number = |column: &str| row[column].as_f64().unwrap_or(f64::NAN);
    assert_eq!((number("changes"), number("proxies")), (f64::from(expected.changes), 3.0), "{text}");
    assert_eq!(number("rejected"), f64::from(expected.rejected), "{text}");
    assert!((expected.min_applied..=expected.max_applied).contains(&number("applied per proxy")), "{text}");
    if row["rollout"] == "20/s, not observed" {
        assert!(number("processor time, ms/change").is_finite(), "{text}");
    } else {
        assert!(number("50%, ms") > 0.02 && number("50%, ms") <= number("all, ms"), "{text}");
        assert!(number("all / 14 s") <= 1.0, "{text}");
    }
}

#[test]
fn settings_come_into_force_despite_faults() {
    let directory = tempfile::tempdir().unwrap();
    let arguments = ["control", "--settings-changes", "4", "--settings-proxies", "3", "--settings-rate", "4"];

    let JsonAndText { report, text } = run_to_report(directory.path(), &arguments);

    assert_eq!(report["arguments"]["settings"]["rate"], 4.0, "{text}");
    let rows = table_rows(&report, "Settings rollouts");
    assert_eq!(rows.len(), EXPECTED_ROWS.len(), "{text}");
    for (row, expected) in rows.iter().zip(&EXPECTED_ROWS) {
        assert_row(row, expected, &text);
    }
    assert_nothing_left(directory.path());
}

#[test]
fn a_proxy_that_does_not_apply_new_settings_fails_the_run() {
    let directory = tempfile::tempdir().unwrap();
    let program = directory.path().join("stale-proxy");
    // The real proxy reads a copy of its configuration file, which the rollout does not replace.
    let script = format!(
        "#!/bin/sh\ncp \"$RELAY_CONFIG\" \"$TMPDIR/first\"\nRELAY_CONFIG=\"$TMPDIR/first\" exec '{}'\n",
        proxy_program().display()
    );
    std::fs::write(&program, script).unwrap();
    std::fs::set_permissions(&program, Permissions::from_mode(0o755)).unwrap();
    let mut run = Command::new(env!("CARGO_BIN_EXE_fleet-bench"));
    run.args(["control", "--settings-changes", "1", "--settings-proxies", "2", "--program"]).arg(&program);

    let output = run.env("TMPDIR", directory.path()).output().unwrap();

    let message = String::from_utf8(output.stderr).unwrap();
    assert!(
        message.starts_with("fleet-bench: 2 of 2 proxies not at settings version 1 within 14 s; "),
        "{message}"
    );
    assert_eq!((message.lines().count(), output.status.code()), (1, Some(1)), "{message}");
    std::fs::remove_file(&program).unwrap();
    assert_nothing_left(directory.path());
}

#[test]
fn rejects_rollout_arguments_out_of_range() {
    let cases = [
        (["--settings-changes", "1001"], "settings-changes: expected 0 to 1000, got 1001"),
        (["--settings-proxies", "201"], "settings-proxies: expected 1 to 200, got 201"),
        (["--settings-rate", "0"], "settings-rate: expected 0.1 to 100, got 0"),
    ];
    for (arguments, expected) in cases {
        let message = run_expecting_failure(&[&["control"], &arguments[..]].concat());

        assert_eq!(message, format!("fleet-bench: {expected}\n"));
    }
}
