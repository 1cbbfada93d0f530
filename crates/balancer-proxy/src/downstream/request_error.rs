//! The reasons why a client's request is rejected before it reaches the decision module, and the status of
//! the response to the client. The text of an error is the body of the response.

use crate::stream_error::StreamError;
use hyper::StatusCode;
use thiserror::Error;

/// The reason why a request is rejected.
#[derive(Debug, Error, PartialEq, Eq)]
pub(super) enum RequestError {
    /// A header is missing, repeated or malformed.
    #[error("{name}: expected {expected}")]
    InvalidHeader {
        /// The name of the header.
        name: &'static str,
        /// The expected form of the value.
        expected: &'static str,
    },
    /// The class of the request does not allow its method.
    #[error("the method does not fit the class")]
    MethodNotAllowed,
    /// The request target is not a path.
    #[error("expected a path")]
    InvalidTarget,
    /// The length of the body is stated in two ways.
    #[error("the length is given twice")]
    AmbiguousLength,
    /// The body is larger than [`crate::limits::MAX_BODY_BYTES`].
    #[error("the body is too large")]
    BodyTooLarge,
    /// The body ended early or was malformed.
    #[error("the body broke off")]
    BodyInterrupted,
    /// The body did not arrive in time.
    #[error("the body did not come")]
    BodyTimeout,
    /// The bodies of other requests use all the memory that is available for bodies.
    #[error("too much at once, try again")]
    BodyCapacityExhausted {
        /// The name of the request's class.
        class: String,
    },
    /// Another request with the same client request id is in flight.
    #[error("X-Txn is in use")]
    DuplicateRequestId,
}

impl RequestError {
    /// Returns the status of the response.
    pub(super) fn status(&self) -> StatusCode {
        match self {
            Self::InvalidHeader { .. }
            | Self::MethodNotAllowed
            | Self::InvalidTarget
            | Self::AmbiguousLength
            | Self::BodyInterrupted
            | Self::DuplicateRequestId => StatusCode::BAD_REQUEST,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            Self::BodyCapacityExhausted { .. } => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

impl From<StreamError> for RequestError {
    fn from(error: StreamError) -> Self {
        match error {
            StreamError::Disconnected => Self::BodyInterrupted,
            StreamError::Stalled => Self::BodyTimeout,
            StreamError::TooLong => Self::BodyTooLarge,
        }
    }
}
