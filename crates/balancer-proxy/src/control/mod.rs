//! What steers the proxy from outside: configuration, discovery, maintenance, the management address
//! and the lock between two processes of one address.

pub mod config;
pub mod discovery;
pub mod endpoint_list;
pub mod instance_lock;
pub mod maintenance;
pub mod maintenance_record;
pub mod maintenance_store;
pub mod management;
mod management_protocol;
pub mod reload;
pub mod state_files;
