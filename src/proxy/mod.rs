//! The real proxy: the decision module on sockets.

pub mod clock;
pub mod control;
pub mod downstream;
pub mod engine;
pub mod limits;
pub mod metrics;
pub mod settings;
pub mod stream_error;
pub mod upstream;
pub mod watch_event;

/// Writes a line to the log, which is the standard error. Where nobody takes it any more, it is
/// lost: `eprintln` would panic then, and end the task that had something to tell.
#[macro_export]
macro_rules! log {
    ($($part:tt)*) => {{
        use std::io::Write;
        let _ = writeln!(std::io::stderr(), $($part)*);
    }};
}
