//! Runs commands that must fail.

use std::process::Command;

/// Runs `fleet-bench`, and asserts that the command ends with status 1, one line on standard error and no
/// report. Returns the line.
pub fn run_expecting_failure(arguments: &[&str]) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_fleet-bench")).args(arguments).output().unwrap();
    let message = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(1), "{arguments:?}: {message}");
    assert_eq!(message.lines().count(), 1, "{arguments:?}: {message}");
    assert!(output.stdout.is_empty(), "{arguments:?}");
    message
}
