//! Scale tests of the proxy. Each command measures one thing and returns a [`report::Report`], which
//! `main` prints. None of this is part of what operators build.

pub mod added;
pub mod address;
pub mod backend;
pub mod background;
pub mod budget;
pub mod control;
pub mod discovery;
pub mod draw;
pub mod error;
pub mod fleet;
pub mod instance;
pub mod latency;
pub mod plan;
pub mod proxy;
pub mod report;
pub mod request_head;
pub mod rollout;
pub mod shutdown;
pub mod slopes;
pub mod stats;
pub mod thread_clock;
pub mod usage;
