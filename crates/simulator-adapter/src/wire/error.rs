//! What can be wrong with a line.

use thiserror::Error;

/// What is wrong with a line.
#[derive(Debug, Error, PartialEq)]
pub enum WireError {
    /// The first word of the line names no event.
    #[error("unknown event '{0}'")]
    UnknownEvent(String),
    /// Too few or too many values.
    #[error("{event} takes {expected} values, got {got}")]
    ValueCount {
        /// The event.
        event: &'static str,
        /// Number of values that it has.
        expected: usize,
        /// Number of values found.
        got: usize,
    },
    /// A value that cannot be read.
    #[error("expected {expected} for {field}, got '{got}'")]
    InvalidValue {
        /// The field.
        field: String,
        /// What the value should have been.
        expected: &'static str,
        /// The value found.
        got: String,
    },
    /// A required setting is absent.
    #[error("missing setting {0}")]
    MissingSetting(String),
    /// A valid line where another one must come.
    #[error("expected {expected}, got '{got}'")]
    UnexpectedLine {
        /// What must come.
        expected: &'static str,
        /// What came.
        got: String,
    },
}

impl WireError {
    pub(super) fn invalid_value(field: &str, expected: &'static str, got: &str) -> Self {
        Self::InvalidValue { field: field.to_string(), expected, got: got.to_string() }
    }
}

pub(super) type Result<T> = std::result::Result<T, WireError>;
