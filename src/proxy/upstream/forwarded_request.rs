//! A request in the form in which attempts send it to backends.

use super::request_body::{AttemptBody, StreamedRequestBody};
use super::shared_flag::SharedFlag;
use crate::Time;
use bytes::Bytes;
use hyper::header::{CONTENT_LENGTH, HeaderMap, HeaderValue};
use hyper::{Method, Uri};
use std::rc::Rc;

/// A request as it goes on to backends.
#[derive(Debug)]
pub struct ForwardedRequest {
    /// Its method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// The headers that go on.
    pub headers: HeaderMap,
    /// Its body.
    pub body: ForwardedBody,
}

/// The body of a request on its way to backends.
#[derive(Debug)]
pub enum ForwardedBody {
    /// All of it, as often as it takes.
    Buffered(Bytes),
    /// What is still coming, of this length if that is known.
    Streamed {
        /// The body.
        body: Rc<StreamedRequestBody>,
        /// Its length in bytes, if the client announced it.
        length: Option<u64>,
    },
}

impl ForwardedRequest {
    /// The request for an attempt that is given up after `wait` seconds; `last` is set once the
    /// last of its body is given out. None if it can't be sent any more.
    pub fn request(&self, wait: Time, last: &SharedFlag) -> Option<hyper::Request<AttemptBody>> {
        let (body, length) = match &self.body {
            ForwardedBody::Buffered(whole) => {
                last.set(true);
                (AttemptBody::Buffered(Some(whole.clone()).filter(|w| !w.is_empty())), None)
            }
            ForwardedBody::Streamed { body: source, .. } if source.is_consumed() => return None,
            ForwardedBody::Streamed { body: source, length } => {
                (AttemptBody::Streamed { source: source.clone(), sent: 0, last: last.clone() }, *length)
            }
        };
        let mut request = hyper::Request::new(body);
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.headers.clone();
        let wait = HeaderValue::from((wait.max(0.0) * 1000.0) as u64);
        request.headers_mut().insert("x-remaining-ms", wait);
        if let Some(length) = length {
            request.headers_mut().insert(CONTENT_LENGTH, HeaderValue::from(length));
        }
        Some(request)
    }

    /// Its body is passing through, and can't be sent again.
    pub fn is_consumed(&self) -> bool {
        matches!(&self.body, ForwardedBody::Streamed { body: source, .. } if source.is_consumed())
    }
}
