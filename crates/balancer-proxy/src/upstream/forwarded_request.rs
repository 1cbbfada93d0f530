//! A request in the form in which attempts send it to backends.

use super::request_body::{AttemptBody, StreamedRequestBody};
use super::shared_flag::SharedFlag;
use balancer::Time;
use bytes::Bytes;
use hyper::header::{CONTENT_LENGTH, HeaderMap, HeaderValue};
use hyper::{Method, Request, Uri};
use std::rc::Rc;

/// Request header with the time that remains for the response, in whole milliseconds.
const REMAINING_TIME_HEADER: &str = "x-remaining-ms";

/// A request as it is forwarded to backends.
#[derive(Debug)]
pub struct ForwardedRequest {
    /// The method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// The headers that are forwarded.
    pub headers: HeaderMap,
    /// The body.
    pub body: ForwardedBody,
}

/// The body of a request that is forwarded to backends.
#[derive(Debug)]
pub enum ForwardedBody {
    /// The complete body, which can be sent any number of times.
    Buffered(Bytes),
    /// A body that is still being received.
    Streamed {
        /// The body.
        body: Rc<StreamedRequestBody>,
        /// Its length in bytes, if the client announced it.
        length: Option<u64>,
    },
}

impl ForwardedRequest {
    /// The request for an attempt that ends in `remaining_time` seconds. `final_data` is set once
    /// the end of its body has been handed out. None if the body can't be sent any more.
    #[must_use]
    pub fn build(&self, remaining_time: Time, final_data: &SharedFlag) -> Option<Request<AttemptBody>> {
        let mut request = Request::new(self.attempt_body(final_data)?);
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.headers.clone();
        let remaining_ms = (remaining_time.max(0.0) * 1000.0) as u64;
        request.headers_mut().insert(REMAINING_TIME_HEADER, HeaderValue::from(remaining_ms));
        if let ForwardedBody::Streamed { length: Some(length), .. } = self.body {
            request.headers_mut().insert(CONTENT_LENGTH, HeaderValue::from(length));
        }
        Some(request)
    }

    /// Part of the body has been forwarded and is no longer buffered: it can't be sent again.
    #[must_use]
    pub fn is_consumed(&self) -> bool {
        matches!(&self.body, ForwardedBody::Streamed { body, .. } if body.is_consumed())
    }

    fn attempt_body(&self, final_data: &SharedFlag) -> Option<AttemptBody> {
        match &self.body {
            ForwardedBody::Buffered(complete) => {
                final_data.set(true);
                let content = (!complete.is_empty()).then(|| complete.clone());
                Some(AttemptBody::Buffered(content))
            }
            ForwardedBody::Streamed { body, .. } if body.is_consumed() => None,
            ForwardedBody::Streamed { body, .. } => {
                Some(AttemptBody::streamed(body.clone(), final_data.clone()))
            }
        }
    }
}
