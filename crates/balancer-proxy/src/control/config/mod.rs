//! The configuration of the proxy: environment variables and a JSON file, read at startup and on each reload,
//! and translated into the types of the proxy and the decision module. `docs/configuration.md` documents each
//! key for operators.
//!
//! - `environment`: the `RELAY_*` variables, and the precedence between environment and file
//! - `file`: the text of the file and its identity on disk
//! - `raw`: the format of the file, except for the settings, which the crate `balancer-settings` defines
//! - `validation`: the checks that a reload makes beyond those of startup
//! - `translation`: defaults, and the conversion to the types of the proxy

mod environment;
mod error;
mod file;
mod load_mode;
mod raw;
mod translation;
mod validation;

use self::environment::Addresses;
use self::raw::{RawCachedEndpoints, RawConfig};
use super::endpoint_list::RawEndpointList;
use crate::limits::ProcessLimits;
use crate::settings::SettingsSnapshot;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;

pub use self::error::ConfigError;
pub use self::file::FileStamp;
pub use self::load_mode::LoadMode;

/// The whole configuration of the proxy.
#[derive(Debug)]
pub struct Config {
    /// Address for clients.
    pub listen: SocketAddr,
    /// Address for management calls, if there is one.
    pub management: Option<SocketAddr>,
    /// Address of discovery.
    pub discovery: SocketAddr,
    /// Seed of the random draws of the decision module.
    pub seed: u64,
    /// File descriptors and memory that the process may use.
    pub limits: ProcessLimits,
    /// The endpoint list of the last run; empty on a reload.
    pub cached_endpoints: RawEndpointList,
    /// The settings of the decision module and of the proxy.
    pub snapshot: SettingsSnapshot,
    /// Hash of the text of the file. Processes that have read the same text have the same hash.
    pub file_digest: u64,
}

impl Config {
    /// Reads the environment, and the configuration file that the environment names.
    ///
    /// # Errors
    ///
    /// Returns a [`ConfigError`] if a required variable is not set, the file cannot be read or parsed, or a
    /// value is out of its range.
    pub fn load(mode: LoadMode) -> Result<Self, ConfigError> {
        let path = environment::config_path()?;
        let text = file::read_text(&path, mode)?;
        let raw: RawConfig = file::parse_json(&path, &text)?;
        let cached_endpoints = match mode {
            LoadMode::Startup => file::parse_json::<RawCachedEndpoints>(&path, &text)?.known,
            LoadMode::Reload => {
                raw.validate_for_reload()?;
                RawEndpointList::default()
            }
        };
        let Addresses { listen, discovery, management } = Addresses::resolve(&raw, mode)?;
        Ok(Self {
            listen,
            management,
            discovery,
            seed: translation::parse_seed(raw.seed.as_deref())?,
            limits: raw.limits.into_process_limits(),
            cached_endpoints,
            snapshot: translation::into_snapshot(raw.settings)?,
            file_digest: digest(&text),
        })
    }
}

fn digest(text: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    text.hash(&mut hasher);
    hasher.finish()
}

#[cfg(test)]
mod tests;
