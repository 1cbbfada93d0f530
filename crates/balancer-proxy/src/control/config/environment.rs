//! The environment variables of the proxy, and the addresses that they share with the file.

use super::error::ConfigError;
use super::load_mode::LoadMode;
use super::raw::RawConfig;
use std::net::SocketAddr;

/// Path of the configuration file.
const CONFIG_PATH: &str = "RELAY_CONFIG";
/// Overrides `listen` of the file.
const LISTEN_ADDRESS: &str = "RELAY_LISTEN";
/// Overrides `discovery` of the file at startup.
const DISCOVERY_ADDRESS: &str = "RELAY_DISCOVERY";
/// Overrides `management` of the file.
const MANAGEMENT_ADDRESS: &str = "RELAY_MANAGEMENT";

/// Path of the configuration file.
pub(super) fn config_path() -> Result<String, ConfigError> {
    variable(CONFIG_PATH)
}

fn variable(name: &'static str) -> Result<String, ConfigError> {
    std::env::var(name).map_err(|_| ConfigError::VariableNotSet(name))
}

/// The addresses of the proxy, from the environment and the file.
pub(super) struct Addresses {
    pub(super) listen: SocketAddr,
    pub(super) discovery: SocketAddr,
    pub(super) management: Option<SocketAddr>,
}

impl Addresses {
    pub(super) fn resolve(file: &RawConfig, mode: LoadMode) -> Result<Self, ConfigError> {
        Ok(Self {
            listen: variable_or_file(LISTEN_ADDRESS, file.listen.as_deref())?,
            discovery: discovery_address(file.discovery.as_deref(), mode)?,
            management: management_address(file.management.as_deref())?,
        })
    }
}

/// The address in an environment variable, or that of the file if the variable is not set.
fn variable_or_file(name: &'static str, in_file: Option<&str>) -> Result<SocketAddr, ConfigError> {
    let text = variable(name).or_else(|not_set| in_file.map(str::to_string).ok_or(not_set))?;
    parse_address(name, &text)
}

/// At startup the environment has precedence. On a reload the file has, as it may have been replaced
/// since, which the environment cannot.
fn discovery_address(in_file: Option<&str>, mode: LoadMode) -> Result<SocketAddr, ConfigError> {
    match (mode, in_file) {
        (LoadMode::Reload, Some(text)) => parse_address("discovery", text),
        _ => variable_or_file(DISCOVERY_ADDRESS, in_file),
    }
}

/// The management address is optional; an empty one counts as absent.
fn management_address(in_file: Option<&str>) -> Result<Option<SocketAddr>, ConfigError> {
    let in_environment = std::env::var(MANAGEMENT_ADDRESS).ok().filter(|text| !text.is_empty());
    let in_file = in_file.filter(|text| !text.is_empty());
    in_environment.as_deref().or(in_file).map(|text| parse_address("management", text)).transpose()
}

fn parse_address(field: &str, text: &str) -> Result<SocketAddr, ConfigError> {
    text.parse().map_err(|_| ConfigError::invalid_value(field, "address:port", text))
}
