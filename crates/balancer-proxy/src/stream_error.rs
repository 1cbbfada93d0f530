//! The errors of a body that is being streamed.

use thiserror::Error;

/// Why a body ended early.
#[derive(Debug, Error, Clone, Copy, PartialEq, Eq)]
pub enum StreamError {
    /// The peer disconnected or violated its framing.
    #[error("the peer disconnected or sent an invalid body")]
    Disconnected,
    /// No data arrived for too long, or less data than the minimum pace requires.
    #[error("the body stalled")]
    Stalled,
    /// The body is longer than the limit.
    #[error("the body is too long")]
    TooLong,
}
