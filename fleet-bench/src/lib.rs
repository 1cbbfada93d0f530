//! Scale tests of the proxy. Each command measures one thing and returns a [`report::Report`];
//! `main` prints it. Nothing here is part of what operators build.

#![forbid(unsafe_code)]

pub mod added;
pub mod backend;
pub mod control;
pub mod discovery;
pub mod draw;
pub mod error;
pub mod fleet;
pub mod plan;
pub mod process;
pub mod report;
pub mod rollout;
pub mod serve;
pub mod slopes;
pub mod stats;
pub mod thread_clock;
