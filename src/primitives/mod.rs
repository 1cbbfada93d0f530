//! Data structures of the decision module that decide nothing and hold no tuning constant.

pub mod decaying_rate;
pub mod token_bucket;
