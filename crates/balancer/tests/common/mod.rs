//! Helpers of the integration tests.
#![allow(dead_code, reason = "each test program uses only some of the helpers")]

pub mod actions;
pub mod balancer_harness;
pub mod fixtures;
