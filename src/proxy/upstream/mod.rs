//! The side of the backends: connection pools, attempts, bodies and health checks.

pub mod attempt;
pub mod connection;
pub mod forwarded_request;
pub mod load_report;
pub mod pool;
pub mod request_body;
pub mod response_body;
pub mod shared_flag;
