//! Each concern of the decision module by itself. The files are part of the crate, as the types of the
//! concerns are private to the decisions.

mod attempt_counts;
mod call;
mod calls;
mod endpoint_table;
mod fixtures;
mod load_reports;
mod maintenance;
mod ordered_keys;
mod outlier_detection;
mod overload;
mod quotas;
mod retransmission;
mod slow_start;
mod subset;
mod traffic;
