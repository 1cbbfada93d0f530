//! Scale tests of the proxy. Each command measures one thing and returns a [`report::Report`], which
//! `main` prints. None of this is part of what operators build.

pub mod added;
mod address;
pub mod backend;
mod background;
mod budget;
pub mod control;
pub mod discovery;
pub mod draw;
pub mod error;
pub mod fleet;
pub mod instance;
mod latency;
pub mod plan;
mod proxy;
pub mod report;
mod request_head;
mod rollout;
mod shutdown;
pub mod slopes;
pub mod stats;
mod thread_clock;
mod usage;
