//! The settings in force, as one value that is replaced whole.

use crate::{Settings, Time};
use std::time::Duration;

/// The settings, as one: they change whole or not at all.
#[derive(Debug, Default, PartialEq)]
pub struct SettingsSnapshot {
    /// What the module is told.
    pub settings: Settings,
    /// What only the proxy needs.
    pub proxy: ProxySettings,
}

impl SettingsSnapshot {
    /// The longest deadline of all classes.
    pub fn longest_deadline(&self) -> Time {
        self.settings.classes.iter().map(|c| c.deadline).fold(0.0, Time::max)
    }
}

/// The part of the settings that sockets need and decisions don't.
#[derive(Debug, Default, PartialEq)]
pub struct ProxySettings {
    /// Goes up with each change, where whoever writes the file numbers them.
    pub version: Option<u64>,
    /// Class names, in the order of the settings.
    pub classes: Vec<String>,
    /// Tenant names, in the order of the settings.
    pub tenants: Vec<String>,
    /// Zone names; at the start, an entry's zone is the place of its name here.
    pub zones: Vec<String>,
    /// The name of the zone this proxy is in.
    pub zone: String,
    /// A connection not up by then never comes up.
    pub connect_timeout: Duration,
    /// Backends close idle connections after this.
    pub idle_close: Duration,
    /// Nothing new to a backend this long after the news that it drains or is gone.
    pub drain_grace: Duration,
    /// Requests that may be open at once.
    pub max_open: usize,
}
