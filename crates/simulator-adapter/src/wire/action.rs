//! Writes actions as lines of a reply.

use balancer::Action;
use std::fmt::{self, Write};

/// Appends an action to a reply, as one line. An action that the protocol does not express adds
/// nothing.
pub(crate) fn write_action(reply: &mut String, action: &Action) {
    // Writing to a string cannot fail.
    let _ = try_write_action(reply, action);
}

fn try_write_action(reply: &mut String, action: &Action) -> fmt::Result {
    match action {
        Action::Send { id, backend, timeout, .. } => {
            writeln!(reply, "PLACE {:016x} {timeout:.6} {}", id.0, backend.0)
        }
        Action::Cancel { id, attempt } => writeln!(reply, "REVOKE {:016x} {}", id.0, attempt.0),
        // The simulator writes every request at once, so that no attempt can be withdrawn.
        Action::Withdraw { .. } => Ok(()),
        Action::Reject { id, retry_after: Some(retry_after) } => {
            writeln!(reply, "REJECT {:016x} {retry_after:.6}", id.0)
        }
        Action::Reject { id, retry_after: None } => writeln!(reply, "REJECT {:016x} -", id.0),
        Action::Fail { id } => writeln!(reply, "ERROR {:016x}", id.0),
        Action::SetTimer { at, token } => writeln!(reply, "SLEEP {at:.6} {}", token.0),
        Action::HealthCheck(backend) => writeln!(reply, "INSPECT {}", backend.0),
        Action::CloseIdleConnections(backend) => writeln!(reply, "RELEASE {}", backend.0),
        Action::WatchEndpoints => writeln!(reply, "STREAM_CHANGES 1"),
    }
}
