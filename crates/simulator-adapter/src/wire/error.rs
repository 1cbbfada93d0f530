//! The faults of a line.

use thiserror::Error;

/// The fault of a line that the protocol does not allow.
#[derive(Debug, Error, PartialEq)]
pub enum WireError {
    /// The first word of the line names no event.
    #[error("unknown event '{0}'")]
    UnknownEvent(String),
    /// The line has too few or too many values.
    #[error("{event} takes {expected} values, got {got}")]
    ValueCount {
        /// The first word of the line.
        event: &'static str,
        /// Number of values that such a line has.
        expected: usize,
        /// Number of values found.
        got: usize,
    },
    /// A value is malformed or out of its range.
    #[error("expected {expected} for {field}, got '{got}'")]
    InvalidValue {
        /// Name of the value, or path of the setting.
        field: String,
        /// Range of valid values.
        expected: &'static str,
        /// The value found.
        got: String,
    },
    /// A required setting is absent.
    #[error("missing setting {0}")]
    MissingSetting(String),
    /// The line is valid, but another line must come first.
    #[error("expected {expected}, got '{got}'")]
    UnexpectedLine {
        /// The line that must come.
        expected: &'static str,
        /// The line found.
        got: String,
    },
}

impl WireError {
    /// Creates a [`WireError::InvalidValue`].
    pub(super) fn invalid_value(field: &str, expected: &'static str, got: &str) -> Self {
        Self::InvalidValue { field: field.to_string(), expected, got: got.to_string() }
    }
}

/// The result of reading a line or a part of a line.
pub(super) type Result<T> = std::result::Result<T, WireError>;
