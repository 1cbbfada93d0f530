//! The errors of lines that violate the protocol.

use thiserror::Error;

/// The error of a line that violates the protocol.
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
        /// The number of values that such a line must have.
        expected: usize,
        /// The number of values found.
        got: usize,
    },
    /// A value is malformed or out of range.
    #[error("expected {expected} for {field}, got '{got}'")]
    InvalidValue {
        /// The name of the value, or the path of the setting.
        field: String,
        /// A description of the valid values.
        expected: &'static str,
        /// The value found.
        got: String,
    },
    /// A required setting is absent.
    #[error("missing setting {0}")]
    MissingSetting(String),
    /// The line is valid, but another line is required first.
    #[error("expected {expected}, got '{got}'")]
    UnexpectedLine {
        /// The line that is required.
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
