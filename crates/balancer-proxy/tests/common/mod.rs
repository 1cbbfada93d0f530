//! Helpers of the integration tests, one module for each job.
#![allow(dead_code, reason = "each test program uses only a part of the helpers")]

pub mod client_disconnect;
pub mod configuration;
pub mod http;
pub mod late_server;
pub mod proxy_process;
pub mod socket_table;
pub mod stub_server;
pub mod temporary;
pub mod waiting;
