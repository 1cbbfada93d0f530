//! The control plane: configuration, discovery, maintenance, the management address, and the
//! coordination of two processes on one listen address.
//!
//! - `config`, `reload`: the configuration at startup and while the proxy runs
//! - `discovery`, `endpoint_list`: the watch on the endpoint list
//! - `management`, `management_protocol`: the calls of operators
//! - `maintenance`, `maintenance_record`, `maintenance_store`: the backends in maintenance
//! - `instance_lock`, `listener_handover`, `state_files`: coordination with the other process of an upgrade
//! - `used_request_ids`: the ids of requests that may have run, in both processes

pub mod config;
pub mod discovery;
mod endpoint_list;
pub mod instance_lock;
pub mod listener_handover;
pub(crate) mod maintenance;
mod maintenance_record;
pub mod maintenance_store;
pub(crate) mod management;
mod management_protocol;
pub(crate) mod reload;
pub mod state_files;
pub mod used_request_ids;
