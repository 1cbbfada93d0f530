//! What a balancer knows: data structures that decide nothing and hold no tuning constant. What is done
//! with them is decided in [`crate::decisions`].

mod backend;
mod balancer;
mod call;
mod decaying_rate;
mod hash;
mod key_queues;
mod latency_estimate;
mod maintenance_table;
mod quota;
mod scope;
mod smoothed_mean;
mod timer;
mod token_bucket;
mod traffic;
mod waiting_queue;

pub(crate) use backend::{Backend, BackendIndex, Slowness};
pub use balancer::Balancer;
pub(crate) use balancer::SubsetAssignment;
pub(crate) use call::{Attempt, Call, CallKey};
pub(crate) use decaying_rate::ArrivalRates;
pub(crate) use hash::{hash_in_round, van_der_corput};
pub(crate) use latency_estimate::LatencyEstimate;
pub(crate) use quota::Quota;
pub(crate) use scope::Scope;
pub(crate) use smoothed_mean::move_towards;
pub(crate) use timer::Timer;
pub(crate) use token_bucket::TokenBucket;
