//! The ways in which a streamed body or response can break off.

use thiserror::Error;

/// Why a flow ended before its end.
#[derive(Debug, Error, Clone, Copy, PartialEq, Eq)]
pub enum StreamError {
    /// The other side has gone, or broke its framing.
    #[error("it broke off")]
    Disconnected,
    /// Nothing came for too long.
    #[error("it stands still")]
    Stalled,
    /// It is longer than any may be.
    #[error("it is too long")]
    TooLong,
}
