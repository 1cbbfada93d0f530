//! The errors of a request or response body that is being transferred.

use thiserror::Error;

/// The reason why a body ended early.
#[derive(Debug, Error, Clone, Copy, PartialEq, Eq)]
pub enum StreamError {
    /// The peer disconnected or violated the framing of the body.
    #[error("the peer disconnected or sent an invalid body")]
    Disconnected,
    /// No data arrived for too long, or the data arrived more slowly than the minimum rate.
    #[error("the body stalled")]
    Stalled,
    /// The body is longer than the limit.
    #[error("the body is too long")]
    TooLong,
}
