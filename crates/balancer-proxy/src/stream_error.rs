//! How a body that is being streamed can fail.

use thiserror::Error;

/// Why a body ended early.
#[derive(Debug, Error, Clone, Copy, PartialEq, Eq)]
pub enum StreamError {
    /// The peer disconnected or violated its framing.
    #[error("the peer disconnected or sent an invalid body")]
    Disconnected,
    /// Nothing arrived for too long, or too little in the time.
    #[error("the body stalled")]
    Stalled,
    /// The body is longer than the limit.
    #[error("the body is too long")]
    TooLong,
}
