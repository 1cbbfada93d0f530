//! The side of the backends: connections and their pools, attempts and health checks, and the bodies
//! that are streamed in both directions.

pub mod attempt;
pub mod body_chunks;
pub mod connection;
pub mod exchange;
pub mod exchange_progress;
pub mod forwarded_request;
pub mod load_report;
pub mod pool;
pub mod request_body;
pub mod response_body;
pub mod send_deadlines;
pub mod shared_flag;
pub mod socket;
pub mod transfer_pace;
