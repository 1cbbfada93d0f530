//! The real proxy: the decision module on sockets.

pub mod backend;
pub mod clients;
pub mod config;
pub mod discovery;
pub mod engine;
pub mod figures;
mod framing;
pub mod limits;
pub mod maintenance;
pub mod management;
pub mod reload;
pub mod request;
pub mod seat;
pub mod server;
pub mod stream;

/// Writes a line to the log, which is the standard error. Where nobody takes it any more, it is
/// lost: `eprintln` would panic then, and end the task that had something to tell.
#[macro_export]
macro_rules! log {
    ($($part:tt)*) => {{
        use std::io::Write;
        let _ = writeln!(std::io::stderr(), $($part)*);
    }};
}
