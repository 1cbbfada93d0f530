//! Helpers of the integration tests, one module for each job.
#![allow(dead_code, reason = "each test program uses only a part of the helpers")]

pub mod body;
pub mod client_disconnect;
pub mod closed_address;
pub mod configuration;
pub mod http;
pub mod late_server;
pub mod proxy_process;
pub mod scripted_discovery;
pub mod settings_reload;
pub mod shared_address;
pub mod slow_discovery;
pub mod socket_table;
pub mod state_folder;
pub mod stub_server;
pub mod takeover;
pub mod temporary;
pub mod waiting;
