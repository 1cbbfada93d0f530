//! The errors for which a configuration is rejected.

use crate::settings::VersionError;
use std::fmt::Display;
use std::io;
use thiserror::Error;

/// An error for which a configuration is rejected. Each message is one line, and names the environment
/// variable, the file or the key with the error.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// A required environment variable is absent or not valid Unicode.
    #[error("{0} is not set")]
    VariableNotSet(&'static str),
    /// The configuration file cannot be read.
    #[error("cannot read {path}: {source}")]
    UnreadableFile {
        /// Path of the file.
        path: String,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The JSON is malformed, lacks a required field or has a field of another type.
    #[error("{path}: {field}: {source}")]
    InvalidJson {
        /// Path of the file.
        path: String,
        /// Path of the field within the file.
        field: String,
        /// The error of the JSON parser, with line and column.
        source: serde_json::Error,
    },
    /// A value has the right type, but is out of its range.
    #[error("{field}: expected {expected}, got '{got}'")]
    InvalidValue {
        /// The environment variable, the path of the file, or the path of the key within the file.
        field: String,
        /// The range of valid values.
        expected: String,
        /// The value found.
        got: String,
    },
    /// The settings are not newer than those in force.
    #[error(transparent)]
    Version(#[from] VersionError),
}

impl ConfigError {
    /// Creates a [`ConfigError::InvalidValue`].
    pub(super) fn invalid_value(field: impl Display, expected: impl Display, got: impl Display) -> Self {
        Self::InvalidValue { field: field.to_string(), expected: expected.to_string(), got: got.to_string() }
    }
}
