//! The format of the configuration file. Field names are the keys of the file. Unknown keys are skipped, and
//! absent keys have defaults.

use crate::control::endpoint_list::RawEndpointList;
use balancer_settings::RawSettings;
use serde::Deserialize;

/// The configuration file, except for the cached endpoint list.
#[derive(Deserialize)]
pub(super) struct RawConfig {
    /// Address for clients.
    pub(super) listen: Option<String>,
    /// Address for management calls; empty counts as absent.
    pub(super) management: Option<String>,
    /// Address of discovery.
    pub(super) discovery: Option<String>,
    /// Seed of the random draws, in hexadecimal digits.
    pub(super) seed: Option<String>,
    /// Limits of the process.
    #[serde(default)]
    pub(super) limits: RawLimits,
    /// Settings of the proxy and the decision module.
    pub(super) settings: RawSettings,
}

/// The cached endpoint list in the file. The list is by far the longest part of the file and is needed only
/// at startup, so a reload skips the list.
#[derive(Deserialize)]
pub(super) struct RawCachedEndpoints {
    /// The endpoint list of the last run.
    #[serde(default)]
    pub(super) known: RawEndpointList,
}

/// The limits of the process.
#[derive(Deserialize, Default)]
#[serde(default)]
pub(super) struct RawLimits {
    /// Number of file descriptors.
    pub(super) sockets: Option<usize>,
    /// Memory in mebibytes.
    pub(super) memory_mb: Option<f64>,
}
