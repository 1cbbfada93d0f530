//! Helpers of the checks, one module for each job.
#![allow(dead_code, reason = "each test program uses only some of the helpers")]

pub mod files;
pub mod manifest;
pub mod source_code;
pub mod use_declarations;
