//! Data structures and estimators without decision logic or tuning constants.

mod backend_map;
mod decaying_mean;
mod decaying_rate;
mod hash;
mod latency_estimate;
mod smoothed_mean;
mod token_bucket;

pub(crate) use backend_map::{BackendIndex, BackendMap};
pub(crate) use decaying_mean::DecayingMean;
pub(crate) use decaying_rate::DecayingRate;
pub(crate) use hash::{bucket_in_round, hash_in_round};
pub(crate) use latency_estimate::LatencyEstimate;
pub(crate) use smoothed_mean::SmoothedMean;
pub(crate) use token_bucket::TokenBucket;

#[cfg(test)]
#[path = "../../tests/support/mod.rs"]
pub(crate) mod tests;
