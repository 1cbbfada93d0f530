//! Tests of the decision module through its public interface: timestamped events go in, actions come out.

#[path = "../common/mod.rs"]
mod common;

mod admission;
mod client_disconnects;
mod edge_cases;
mod endpoint_list;
mod final_response;
mod idle_backends;
mod load_reports;
mod maintenance;
mod ordered_keys;
mod outlier_detection;
mod overload_level;
mod placement;
mod quotas;
mod retransmission;
mod slow_start;
mod streamed_bodies;
mod subset_assignment;
