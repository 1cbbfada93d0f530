//! A request in the form in which attempts send it to backends.

use super::attempt_body::AttemptBody;
use super::completion_flag::CompletionFlag;
use super::request_body::StreamedRequestBody;
use balancer::Time;
use bytes::Bytes;
use hyper::header::{CONTENT_LENGTH, HeaderMap, HeaderValue};
use hyper::{Method, Request, Uri};
use std::rc::Rc;
use std::time::Duration;

/// Request header with the time that remains for the response, in whole milliseconds.
const REMAINING_TIME_HEADER: &str = "x-remaining-ms";
const MILLISECONDS_PER_SECOND: Time = 1000.0;

/// A request as it is forwarded to backends.
#[derive(Debug)]
pub struct ForwardedRequest {
    /// The request method.
    pub method: Method,
    /// The path and query of the request.
    pub uri: Uri,
    /// The headers to forward.
    pub headers: HeaderMap,
    /// The body of the request.
    pub body: ForwardedBody,
}

/// The body of a request that is forwarded to backends.
#[derive(Debug)]
pub enum ForwardedBody {
    /// The complete body, which can be sent any number of times.
    Buffered(Bytes),
    /// A body that is still being received.
    Streamed {
        /// The body, as far as it has been received.
        body: Rc<StreamedRequestBody>,
        /// The length of the complete body in bytes, if the client announced the length.
        length: Option<u64>,
    },
}

impl ForwardedRequest {
    /// Builds the request for an attempt that ends in `remaining_time` seconds. The body of the request sets
    /// `end_of_body` once the body has yielded its end. Returns `None` if the body cannot be sent again.
    pub(super) fn build(
        &self,
        remaining_time: Time,
        end_of_body: &CompletionFlag,
    ) -> Option<Request<AttemptBody>> {
        let mut request = Request::new(self.attempt_body(end_of_body)?);
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.headers.clone();
        let remaining_ms = HeaderValue::from(whole_milliseconds(remaining_time));
        request.headers_mut().insert(REMAINING_TIME_HEADER, remaining_ms);
        if let ForwardedBody::Streamed { length: Some(length), .. } = self.body {
            request.headers_mut().insert(CONTENT_LENGTH, HeaderValue::from(length));
        }
        Some(request)
    }

    /// Returns for how long the last byte of a streamed body may have waited to be received; see
    /// [`StreamedRequestBody::time_unreceived`]. Returns `None` once the body is complete.
    pub(crate) fn time_body_unreceived(&self) -> Option<Duration> {
        match &self.body {
            ForwardedBody::Buffered(_) => None,
            ForwardedBody::Streamed { body, .. } => body.time_unreceived(),
        }
    }

    /// Returns for how long the last byte of a complete body may have waited to be received. A body that was
    /// buffered has not waited.
    pub(crate) fn last_byte_delay(&self) -> Duration {
        match &self.body {
            ForwardedBody::Buffered(_) => Duration::ZERO,
            ForwardedBody::Streamed { body, .. } => body.last_byte_delay(),
        }
    }

    /// Returns whether a part of the body has been forwarded and is no longer buffered, so that the body
    /// cannot be sent again.
    pub(crate) fn is_consumed(&self) -> bool {
        matches!(&self.body, ForwardedBody::Streamed { body, .. } if body.is_consumed())
    }

    /// Returns the body for one attempt, or `None` if the body cannot be sent again.
    fn attempt_body(&self, end_of_body: &CompletionFlag) -> Option<AttemptBody> {
        match &self.body {
            ForwardedBody::Buffered(complete) => {
                Some(AttemptBody::buffered(complete.clone(), end_of_body.clone()))
            }
            ForwardedBody::Streamed { body, .. } if body.is_consumed() => None,
            ForwardedBody::Streamed { body, .. } => {
                Some(AttemptBody::streamed(body.clone(), end_of_body.clone()))
            }
        }
    }
}

/// Rounds a time in seconds down to whole milliseconds. A negative time becomes 0. The conversion saturates:
/// an infinite time becomes [`u64::MAX`].
fn whole_milliseconds(seconds: Time) -> u64 {
    (seconds.max(0.0) * MILLISECONDS_PER_SECOND) as u64
}
