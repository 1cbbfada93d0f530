//! The communication with backends: connections and their pools, attempts and health checks, and the
//! bodies that are streamed in both directions.

pub mod attempt;
pub(crate) mod attempt_body;
pub(crate) mod body_buffer;
mod body_chunks;
pub mod completion_flag;
pub(crate) mod connection;
mod exchange;
mod exchange_state;
pub mod forwarded_request;
pub(crate) mod load_report;
pub mod pool;
pub(crate) mod request_body;
pub(crate) mod response_body;
mod send_deadlines;
pub(crate) mod sender_wait;
mod socket;
mod transfer_rate;
