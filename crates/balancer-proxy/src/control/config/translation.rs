//! Translates the configuration file into the types of the proxy, with the defaults of absent keys. The
//! settings of the decision module are translated by the crate `balancer-settings`.

use super::error::ConfigError;
use super::raw::RawLimits;
use crate::limits::ProcessLimits;
use crate::settings::{ProxySettings, SettingsSnapshot};
use balancer::ZoneId;
use balancer_settings::{InvalidQuantity, RawSettings, VALID_QUANTITY};
use std::time::Duration;

/// Default memory limit of the process in mebibytes.
pub(super) const DEFAULT_MEMORY_MEBIBYTES: f64 = 192.0;
/// Default number of file descriptors of the process.
pub(super) const DEFAULT_FILE_DESCRIPTORS: usize = 1024;
/// Default timeout for connecting to a backend. Backends are nearby: a backend that takes longer is
/// unavailable, and a longer wait would use up the deadline of the request.
pub(super) const DEFAULT_CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Default time after which a backend closes an idle connection. Most backends wait longer, so the proxy
/// stops using a connection first and sends no request on a connection that the backend is closing.
pub(super) const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Default grace period after the notification that a backend is draining, as in the simulator's example.
pub(super) const DEFAULT_DRAIN_GRACE_PERIOD: Duration = Duration::from_secs(1);
/// Default seed of the decision module, in hexadecimal digits.
pub(super) const DEFAULT_SEED: &str = "0";

const BYTES_PER_MEBIBYTE: f64 = 1_048_576.0;

/// Parses the seed of the random draws.
///
/// # Errors
///
/// Returns [`ConfigError::InvalidValue`] if the text is not a 64-bit hexadecimal number.
pub(super) fn parse_seed(text: Option<&str>) -> Result<u64, ConfigError> {
    let text = text.unwrap_or(DEFAULT_SEED);
    u64::from_str_radix(text, 16)
        .map_err(|_| ConfigError::invalid_value("seed", "a 64-bit hexadecimal number", text))
}

/// Converts seconds to a duration, or returns the default if the seconds are absent.
fn duration_or_default(
    field: &str,
    seconds: Option<f64>,
    default: Duration,
) -> Result<Duration, ConfigError> {
    let Some(seconds) = seconds else {
        return Ok(default);
    };
    Duration::try_from_secs_f64(seconds)
        .map_err(|_| ConfigError::invalid_value(field, "a number of seconds not below 0", seconds))
}

impl RawLimits {
    /// Converts the limits to descriptors and bytes, with defaults for absent limits.
    pub(super) fn into_process_limits(self) -> ProcessLimits {
        let memory_bytes = self.memory_mb.unwrap_or(DEFAULT_MEMORY_MEBIBYTES) * BYTES_PER_MEBIBYTE;
        ProcessLimits {
            file_descriptors: self.sockets.unwrap_or(DEFAULT_FILE_DESCRIPTORS),
            memory_bytes: memory_bytes as usize,
        }
    }
}

/// Translates the settings of the file.
///
/// # Errors
///
/// Returns [`ConfigError::InvalidValue`] if a duration of the proxy or of a class is negative or not finite.
pub(super) fn into_snapshot(mut settings: RawSettings) -> Result<SettingsSnapshot, ConfigError> {
    let zone = zone_id(&mut settings.zones, &settings.zone);
    let proxy = proxy_settings(&settings)?;
    let balancer = settings.into_settings(zone).map_err(|InvalidQuantity { path, value }| {
        ConfigError::invalid_value(format_args!("settings.{path}"), VALID_QUANTITY, value)
    })?;
    Ok(SettingsSnapshot { balancer, proxy })
}

/// Returns the id of a zone, which is the position of its name in `zones`. A new name is appended.
fn zone_id(zones: &mut Vec<String>, name: &str) -> ZoneId {
    let index = zones.iter().position(|zone| zone == name).unwrap_or_else(|| {
        zones.push(name.to_string());
        zones.len() - 1
    });
    // Memory is exhausted long before the number of zones exceeds the range of `u32`.
    ZoneId(u32::try_from(index).unwrap_or(u32::MAX))
}

/// Returns the settings that only the proxy needs.
fn proxy_settings(settings: &RawSettings) -> Result<ProxySettings, ConfigError> {
    let RawSettings { caps, rules, .. } = settings;
    Ok(ProxySettings {
        version: settings.version.as_u64(),
        classes: settings.classes.iter().map(|class| class.name.clone()).collect(),
        tenants: settings.projects.iter().map(|tenant| tenant.name.clone()).collect(),
        zones: settings.zones.clone(),
        zone: settings.zone.clone(),
        connect_timeout: duration_or_default(
            "settings.caps.connect-timeout",
            caps.connect_timeout,
            DEFAULT_CONNECT_TIMEOUT,
        )?,
        idle_timeout: duration_or_default("settings.caps.idle-close", caps.idle_close, DEFAULT_IDLE_TIMEOUT)?,
        drain_grace_period: duration_or_default(
            "settings.rules.drain-grace",
            rules.drain_grace,
            DEFAULT_DRAIN_GRACE_PERIOD,
        )?,
        max_open_requests: caps.max_open.unwrap_or(usize::MAX),
    })
}
