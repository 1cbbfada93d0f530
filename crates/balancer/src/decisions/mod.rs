//! The decisions of one balancer: events with their times in, actions out, in the types of
//! [`crate::interface`].
//!
//! Each module has one concern, with its state in private fields and its tuning constants with their
//! reasons. [`Balancer`] holds one of each, and its code says in which order they are asked. A request
//! passes through them in this order: `quotas`, `admission`, `ordered_keys` where its class is ordered,
//! then `attempts` and `placement` for each attempt, and `retransmission` while it is unanswered.

mod admission;
mod admission_queue;
mod attempt_counts;
mod attempts;
mod backends;
mod balancer;
mod calls;
mod decision_context;
mod endpoint_polls;
mod endpoint_table;
mod fleet_assignment;
mod load_reports;
mod maintenance;
mod ordered_keys;
mod outlier_detection;
mod overload;
mod placement;
mod quotas;
mod retransmission;
mod scope;
mod slow_start;
mod subset;
mod timer;
mod traffic;

pub use balancer::Balancer;

#[cfg(test)]
#[path = "../../tests/concerns/mod.rs"]
mod tests;
