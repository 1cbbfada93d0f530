//! The settings in force, as one immutable snapshot that is replaced as a whole.
//!
//! Each open request refers to the snapshot that was in force when the request was accepted, so that a reload
//! never changes the settings of a request that is being processed.

use balancer::{ClassIndex, Settings, TenantIndex, Time};
use std::time::Duration;
use thiserror::Error;

/// All settings at one time. A reload replaces the snapshot as a whole or not at all.
#[derive(Debug, Default, PartialEq)]
pub struct SettingsSnapshot {
    /// The settings of the decision module.
    pub balancer: Settings,
    /// The settings that only the proxy needs.
    pub proxy: ProxySettings,
}

impl SettingsSnapshot {
    /// Returns the longest deadline of all request classes, in seconds, or 0 if there are no classes.
    #[must_use]
    pub fn longest_deadline(&self) -> Time {
        self.balancer.longest_timeout()
    }

    /// Checks that this snapshot may replace the snapshot `in_force`. Configuration files can arrive late or
    /// twice, so their versions decide which one is newer, if the snapshot in force has a version.
    ///
    /// # Errors
    ///
    /// Returns an error if the snapshot in force has a version and this snapshot has no version, an older
    /// version, or the same version with different settings.
    pub fn check_supersedes(&self, in_force: &Self) -> Result<(), VersionError> {
        let Some(current) = in_force.proxy.version else {
            return Ok(());
        };
        match self.proxy.version {
            None => Err(VersionError::Missing { in_force: current }),
            Some(version) if version < current => Err(VersionError::Older { version, in_force: current }),
            Some(version) if version == current && self != in_force => {
                Err(VersionError::Conflicting { version })
            }
            Some(_) => Ok(()),
        }
    }
}

/// The reason why a snapshot may not replace the snapshot in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum VersionError {
    /// The settings in force have a version, and the new ones have none.
    #[error("settings.version: expected {in_force} or more, which is in force, got 'none'")]
    Missing {
        /// The version in force.
        in_force: u64,
    },
    /// The new settings are older than the settings in force.
    #[error("settings.version: expected {in_force} or more, which is in force, got '{version}'")]
    Older {
        /// The version of the new settings.
        version: u64,
        /// The version in force.
        in_force: u64,
    },
    /// The new settings have the version in force, but differ from the settings in force.
    #[error(
        "settings.version: expected more than {version}, which is in force with other values, got '{version}'"
    )]
    Conflicting {
        /// The version of the new settings and of the settings in force.
        version: u64,
    },
}

/// The settings that the proxy uses and the decision module does not.
#[derive(Debug, Default, PartialEq)]
pub struct ProxySettings {
    /// Version of the settings, which increases with each change; `None` if the configuration file has no
    /// version.
    pub version: Option<u64>,
    /// Names of the request classes, in the order of [`Settings::classes`].
    pub classes: Vec<String>,
    /// Names of the tenants, in the order of [`Settings::tenants`].
    pub tenants: Vec<String>,
    /// Names of the zones. At startup, the id of a zone is its position in this list. Zones that appear later
    /// are numbered by the endpoint list.
    pub zones: Vec<String>,
    /// Name of the zone that this proxy is in.
    pub zone: String,
    /// Time after which a connection attempt to a backend counts as failed.
    pub connect_timeout: Duration,
    /// Time after which a backend closes an idle connection. The proxy reuses an idle connection only before
    /// this time.
    pub idle_timeout: Duration,
    /// Longest time after the notification that a backend is draining, removed or in maintenance in which new
    /// requests may still be sent to this backend.
    pub drain_grace_period: Duration,
    /// Largest number of requests that may be open at the same time.
    pub max_open_requests: usize,
}

impl ProxySettings {
    /// Returns the index of the class with this name.
    #[must_use]
    pub fn class_index(&self, name: &str) -> Option<ClassIndex> {
        self.classes.iter().position(|class| class == name).map(ClassIndex)
    }

    /// Returns the name of the class with this index.
    ///
    /// # Panics
    ///
    /// Panics if the settings have no class with this index.
    #[must_use]
    pub fn class_name(&self, index: ClassIndex) -> &str {
        &self.classes[index.0]
    }

    /// Returns the index of the tenant with this name.
    #[must_use]
    pub fn tenant_index(&self, name: &str) -> Option<TenantIndex> {
        self.tenants.iter().position(|tenant| tenant == name).map(TenantIndex)
    }
}
