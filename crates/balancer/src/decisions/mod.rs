//! The decisions of one balancer: timestamped events go in, actions come out. The types of both are in
//! [`crate::interface`].
//!
//! Each module covers one concern and holds its state in private fields and its tuning constants with their
//! reasons. [`Balancer`] has one instance of each concern and calls them in a fixed order. A request passes
//! through `quotas` and `admission`, then `ordered_keys` if its class is ordered. Each attempt passes
//! through `attempts` and `placement`; `retransmission` controls its retries while it is unanswered.

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
