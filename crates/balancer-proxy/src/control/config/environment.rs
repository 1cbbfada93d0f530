//! The environment variables of the proxy, and the precedence of their addresses over those of the
//! configuration file.

use super::error::ConfigError;
use super::load_mode::LoadMode;
use super::raw::RawConfig;
use std::net::SocketAddr;

/// The environment variable with the path of the configuration file.
const CONFIG_PATH_VARIABLE: &str = "RELAY_CONFIG";
/// The sources of the address for clients.
const LISTEN_ADDRESS: AddressSource = AddressSource { variable: "RELAY_LISTEN", key: "listen" };
/// The sources of the address of discovery. The variable has precedence over the file at startup only.
const DISCOVERY_ADDRESS: AddressSource = AddressSource { variable: "RELAY_DISCOVERY", key: "discovery" };
/// The sources of the address for management calls.
const MANAGEMENT_ADDRESS: AddressSource = AddressSource { variable: "RELAY_MANAGEMENT", key: "management" };

/// The environment variable of an address, and the key of the file that the variable overrides.
#[derive(Clone, Copy)]
struct AddressSource {
    variable: &'static str,
    key: &'static str,
}

/// Returns the path of the configuration file.
pub(super) fn config_path() -> Result<String, ConfigError> {
    read_variable(CONFIG_PATH_VARIABLE)
}

fn read_variable(name: &'static str) -> Result<String, ConfigError> {
    std::env::var(name).map_err(|_| ConfigError::VariableNotSet(name))
}

/// The addresses of the proxy, resolved from the environment and the file.
pub(super) struct Addresses {
    /// Address for clients.
    pub(super) listen: SocketAddr,
    /// Address of discovery.
    pub(super) discovery: SocketAddr,
    /// Address for management calls, if there is one.
    pub(super) management: Option<SocketAddr>,
}

impl Addresses {
    /// Resolves the addresses with the precedence of `mode`.
    ///
    /// # Errors
    ///
    /// Returns a [`ConfigError`] if the address for clients or of discovery is neither in the environment nor
    /// in the file, or if a value is not a valid address.
    pub(super) fn resolve(file: &RawConfig, mode: LoadMode) -> Result<Self, ConfigError> {
        Ok(Self {
            listen: resolve_address(LISTEN_ADDRESS, file.listen.as_deref())?,
            discovery: discovery_address(file.discovery.as_deref(), mode)?,
            management: management_address(file.management.as_deref())?,
        })
    }
}

/// Returns the address in an environment variable, or the address of the file if the variable is not set.
fn resolve_address(source: AddressSource, in_file: Option<&str>) -> Result<SocketAddr, ConfigError> {
    match (read_variable(source.variable), in_file) {
        (Ok(text), _) => parse_address(source.variable, &text),
        (Err(_), Some(text)) => parse_address(source.key, text),
        (Err(not_set), None) => Err(not_set),
    }
}

/// Returns the address of discovery. At startup the environment has precedence. On a reload the file has
/// precedence: the file may have been replaced since startup, whereas the environment is fixed at startup.
fn discovery_address(in_file: Option<&str>, mode: LoadMode) -> Result<SocketAddr, ConfigError> {
    match (mode, in_file) {
        (LoadMode::Reload, Some(text)) => parse_address(DISCOVERY_ADDRESS.key, text),
        _ => resolve_address(DISCOVERY_ADDRESS, in_file),
    }
}

/// Returns the address for management calls, if there is one. An empty text counts as absent.
fn management_address(in_file: Option<&str>) -> Result<Option<SocketAddr>, ConfigError> {
    let in_environment = read_variable(MANAGEMENT_ADDRESS.variable).ok().filter(|text| !text.is_empty());
    let in_file = in_file.filter(|text| !text.is_empty());
    match (in_environment, in_file) {
        (Some(text), _) => parse_address(MANAGEMENT_ADDRESS.variable, &text).map(Some),
        (None, Some(text)) => parse_address(MANAGEMENT_ADDRESS.key, text).map(Some),
        (None, None) => Ok(None),
    }
}

fn parse_address(field: &str, text: &str) -> Result<SocketAddr, ConfigError> {
    text.parse().map_err(|_| ConfigError::invalid_value(field, "address:port", text))
}
