//! Unit tests of each concern of the decision module. They are compiled into the crate, as the types of the
//! concerns are private to the decisions.

mod admission;
mod admission_queue;
mod attempt_counts;
mod attempts;
mod call;
mod calls;
mod endpoint_polls;
mod endpoint_table;
mod fixtures;
mod fleet_assignment;
mod load_reports;
mod maintenance;
mod ordered_keys;
mod outlier_detection;
mod overload;
mod placement;
mod quotas;
mod retransmission;
mod slow_start;
mod subset;
mod timer;
mod traffic;
