//! The format of the configuration file. Field names are the keys of the file; units are those of
//! the file. Unknown keys are skipped, and what is absent has a default.

use crate::control::endpoint_list::RawEndpointList;
use balancer_settings::RawSettings;
use serde::Deserialize;

/// The file, except for the endpoint list.
#[derive(Deserialize)]
pub(super) struct RawConfig {
    pub(super) listen: Option<String>,
    pub(super) management: Option<String>,
    pub(super) discovery: Option<String>,
    /// Hexadecimal digits.
    pub(super) seed: Option<String>,
    #[serde(default)]
    pub(super) limits: RawLimits,
    pub(super) settings: RawSettings,
}

/// The endpoint list in the file: by far its longest part, and needed at startup only.
#[derive(Deserialize)]
pub(super) struct RawCachedEndpoints {
    #[serde(default)]
    pub(super) known: RawEndpointList,
}

#[derive(Deserialize, Default)]
#[serde(default)]
pub(super) struct RawLimits {
    /// File descriptors.
    pub(super) sockets: Option<usize>,
    /// Mebibytes.
    pub(super) memory_mb: Option<f64>,
}
