//! The operators' budgets for each proxy.

/// Maximum processor time for the control plane, as a fraction of a core.
pub const CONTROL_PLANE_CORES: f64 = 0.01;
/// Maximum resident memory, in bytes.
pub const RESIDENT_MEMORY_BYTES: f64 = 128e6;
/// Maximum control-plane traffic, in bytes per second.
pub const CONTROL_PLANE_BYTES_PER_SECOND: f64 = 3_000.0;
/// Maximum latency that a proxy adds to a call at the 99th percentile, in milliseconds.
pub const ADDED_LATENCY_MS: f64 = 0.72;
