//! Tests of the parsing of calls, and of the error texts.

use super::{Call, CallError, MAX_LINE_BYTES};
use crate::control::maintenance_record::MaintenanceState;

fn read(bytes: &[u8]) -> Result<Call, CallError> {
    let runtime = tokio::runtime::Builder::new_current_thread().build().unwrap();
    runtime.block_on(Call::read(bytes))
}

fn error_text(bytes: &[u8]) -> String {
    read(bytes).expect_err("an invalid call").to_string()
}

#[test]
fn each_call_is_read_from_its_line() {
    let set_maintenance = |state| Call::SetMaintenance { backend: "s-0".to_string(), state };

    assert_eq!(read(b"status\n").unwrap(), Call::Status);
    assert_eq!(read(b"stats\r\n").unwrap(), Call::Stats);
    assert_eq!(read(b"maint-on s-0\n").unwrap(), set_maintenance(MaintenanceState::InMaintenance));
    assert_eq!(read(b" maint-off  s-0 \n").unwrap(), set_maintenance(MaintenanceState::InService));
}

#[test]
fn bytes_after_the_line_are_ignored() {
    assert_eq!(read(b"status\nstats\n").unwrap(), Call::Status);
}

#[test]
fn a_line_without_an_end_is_incomplete() {
    assert_eq!(error_text(b"status"), "the call did not come whole");
}

#[test]
fn a_line_of_the_longest_length_is_read_and_a_longer_one_is_incomplete() {
    let longest_backend = "x".repeat(MAX_LINE_BYTES as usize - "maint-on \n".len());

    assert!(read(format!("maint-on {longest_backend}\n").as_bytes()).is_ok());
    let longer = format!("maint-on {longest_backend}x\n");
    assert_eq!(error_text(longer.as_bytes()), "the call did not come whole");
}

#[test]
fn any_other_line_is_no_call() {
    for line in ["\n", "STATUS\n", "status now\n", "maint-on\n", "maint-on a b\n", "\u{e9}\n"] {
        assert_eq!(
            error_text(line.as_bytes()),
            "no call: status, stats, maint-on ID, maint-off ID",
            "{line:?}"
        );
    }
    assert_eq!(error_text(b"\xff\n"), "no call: status, stats, maint-on ID, maint-off ID");
}
