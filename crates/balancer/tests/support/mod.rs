//! Unit tests of each data structure and estimator. They are compiled into the crate, as the types are
//! private to the crate.

pub mod assertions;
mod backend_map;
mod decaying_mean;
mod decaying_rate;
mod hash;
mod latency_estimate;
mod smoothed_mean;
mod token_bucket;
