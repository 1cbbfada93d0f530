//! The proxy: hosts the decision module on sockets.
//!
//! [`downstream`] serves clients, [`engine`] drives the decisions, [`upstream`] talks to backends and
//! [`control`] handles configuration, endpoint lists and operators' calls.

pub mod clock;
pub mod control;
pub mod downstream;
pub mod engine;
pub mod limits;
pub mod metrics;
pub mod process;
pub mod settings;
pub mod stream_error;
pub mod upstream;
pub mod watch_event;

/// Writes a line to the log, which is the standard error. A line that can't be written is dropped:
/// `eprintln` would panic and end the task that logs.
#[macro_export]
macro_rules! log {
    ($($part:tt)*) => {{
        use std::io::Write;
        let _ = writeln!(std::io::stderr(), $($part)*);
    }};
}
