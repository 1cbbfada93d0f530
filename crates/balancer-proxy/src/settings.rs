//! The settings in force, as one immutable snapshot that is replaced as a whole.
//!
//! Each open request refers to the snapshot that it was accepted with, so that a reload never changes
//! a request half way.

use balancer::{ClassIndex, Settings, TenantIndex, Time};
use std::time::Duration;
use thiserror::Error;

/// All settings at one moment. A reload replaces the snapshot as a whole or not at all.
#[derive(Debug, Default, PartialEq)]
pub struct SettingsSnapshot {
    /// The settings of the decision module.
    pub balancer: Settings,
    /// The settings that only the proxy needs.
    pub proxy: ProxySettings,
}

impl SettingsSnapshot {
    /// The longest deadline of all request classes, in seconds; 0 without classes.
    #[must_use]
    pub fn longest_deadline(&self) -> Time {
        self.balancer.longest_timeout()
    }

    /// Checks that this snapshot may replace the one `in_force`. Files can arrive late or twice, so
    /// that their order is decided by their versions, if the one in force has a version.
    ///
    /// # Errors
    ///
    /// [`VersionError`] if this snapshot has no version, an older one, or the same version with
    /// different settings.
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

/// Why a snapshot may not replace the one in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum VersionError {
    /// The settings in force have a version, and the new ones have none.
    #[error("settings.version: expected {in_force} or more, which is in force, got 'none'")]
    Missing {
        /// The version in force.
        in_force: u64,
    },
    /// The new settings are older than those in force.
    #[error("settings.version: expected {in_force} or more, which is in force, got '{version}'")]
    Older {
        /// The version of the new settings.
        version: u64,
        /// The version in force.
        in_force: u64,
    },
    /// Different settings have the version that is in force.
    #[error(
        "settings.version: expected more than {version}, as other settings differ from it, got '{version}'"
    )]
    Conflicting {
        /// The version of both.
        version: u64,
    },
}

/// The part of the settings that sockets need and decisions do not.
#[derive(Debug, Default, PartialEq)]
pub struct ProxySettings {
    /// Increases with each change, if the writer of the configuration file numbers them.
    pub version: Option<u64>,
    /// Names of the request classes, in the order of [`Settings::classes`].
    pub classes: Vec<String>,
    /// Names of the tenants, in the order of [`Settings::tenants`].
    pub tenants: Vec<String>,
    /// Names of the zones. At startup, the id of a zone is its position here; zones that appear
    /// later are numbered by the endpoint list.
    pub zones: Vec<String>,
    /// Name of the zone that this proxy is in.
    pub zone: String,
    /// A connection attempt to a backend that takes longer has failed.
    pub connect_timeout: Duration,
    /// Time after which a backend closes an idle connection; the proxy reuses one only earlier.
    pub idle_timeout: Duration,
    /// No new request is sent to a backend this long after the notification that it is draining,
    /// gone or in maintenance.
    pub drain_grace_period: Duration,
    /// Maximum number of requests that may be open at once.
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
    /// If the settings have no class with this index.
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
