//! Reads and checks a client's request: first the head, then the body. A body that is short enough is
//! buffered; any other body is streamed.

use super::client_connection::ReceivedHead;
use super::forwarded_headers::remove_hop_by_hop_headers;
use super::request_error::RequestError;
use super::request_head::ParsedHead;
use crate::limits::{Budget, MAX_BODY_BYTES, MAX_PIECE_BYTES, Permit, max_buffered_bytes};
use crate::settings::SettingsSnapshot;
use crate::stream_error::StreamError;
use crate::upstream::forwarded_request::{ForwardedBody, ForwardedRequest};
use crate::upstream::request_body::StreamedRequestBody;
use balancer::Request;
use bytes::Bytes;
use hyper::Uri;
use hyper::body::{Body, Incoming};
use hyper::http::request::Parts;
use std::rc::Rc;

/// Memory in bytes of a streamed body beyond its buffered beginning: a read buffer, and the chunk that waits
/// for a backend, which may be a slice of another one.
const STREAM_BUFFER_BYTES: usize = 2 * MAX_PIECE_BYTES;

/// A request that has been read and checked.
pub(super) struct ParsedRequest {
    parts: Parts,
    head: ParsedHead,
    body: ForwardedBody,
    /// The settings that the request was checked against.
    settings: Rc<SettingsSnapshot>,
    /// The permits for the memory of the head and of the body.
    memory_permits: [Permit; 2],
}

/// A request in the form that the engine takes.
pub(super) struct Submission {
    /// The id that the client gave the request.
    pub(super) client_request_id: u64,
    /// The request as the decision module sees it.
    pub(super) request: Request,
    /// The request that attempts send to backends.
    pub(super) forwarded: ForwardedRequest,
    /// The permits for the memory of the head and of the body, which is held until the
    /// final response.
    pub(super) memory_permits: [Permit; 2],
}

impl ParsedRequest {
    /// Returns the name of the request's class.
    pub(super) fn class(&self) -> &str {
        self.settings.proxy.class_name(self.head.request.class)
    }

    /// Returns the id that the client gave the request.
    pub(super) fn client_request_id(&self) -> u64 {
        self.head.client_request_id
    }

    /// Returns the body if it is still arriving.
    pub(super) fn streamed_body(&self) -> Option<Rc<StreamedRequestBody>> {
        match &self.body {
            ForwardedBody::Buffered(_) => None,
            ForwardedBody::Streamed { body, .. } => Some(body.clone()),
        }
    }

    /// Checks the request again if the settings in force have changed since the first check, which can happen
    /// while the body arrives. The decision module identifies classes and tenants only by their indices in
    /// the settings in force.
    ///
    /// # Errors
    ///
    /// Returns an error if the request does not fit these settings.
    pub(super) fn revalidate(&mut self, settings: Rc<SettingsSnapshot>) -> Result<(), RequestError> {
        if !Rc::ptr_eq(&settings, &self.settings) {
            self.head = ParsedHead::parse(&self.parts.method, &self.parts.headers, &settings)?;
            self.settings = settings;
        }
        Ok(())
    }

    /// Converts the request to the form that the engine takes.
    pub(super) fn into_submission(self) -> Submission {
        let ParsedHead { client_request_id, request } = self.head;
        let streaming_body = matches!(self.body, ForwardedBody::Streamed { .. });
        let Parts { method, uri, headers, .. } = self.parts;
        let headers = remove_hop_by_hop_headers(headers);
        Submission {
            client_request_id,
            request: Request { streaming_body, ..request },
            forwarded: ForwardedRequest { method, uri, headers, body: self.body },
            memory_permits: self.memory_permits,
        }
    }
}

/// Reads the complete request if the body can be buffered, and otherwise the head and the beginning of the
/// body. A request that can be rejected by its head alone is rejected before its body is read.
///
/// # Errors
///
/// Returns an error if the request is malformed, does not fit the settings, is too large or does not
/// arrive in time, or if `request_budget` has no memory left for the request.
pub(super) async fn read(
    request: hyper::Request<Incoming>,
    received_head: ReceivedHead,
    settings: Rc<SettingsSnapshot>,
    request_budget: &Rc<Budget>,
) -> Result<ParsedRequest, RequestError> {
    let (parts, body) = request.into_parts();
    if received_head.length_is_ambiguous {
        return Err(RequestError::AmbiguousLength);
    }
    let length = body.size_hint().exact();
    if length.is_some_and(|length| length > MAX_BODY_BYTES) {
        return Err(RequestError::BodyTooLarge);
    }
    check_target(&parts.uri)?;
    let head = ParsedHead::parse(&parts.method, &parts.headers, &settings)?;
    let capacity_exhausted = || RequestError::BodyCapacityExhausted {
        class: settings.proxy.class_name(head.request.class).to_string(),
    };
    let buffered_bytes = received_head.excess_bytes + max_buffered_bytes(length);
    let buffer_permit = request_budget.try_acquire(buffered_bytes).ok_or_else(capacity_exhausted)?;
    let body = read_body(body, length, received_head).await?;
    let stream_bytes = if matches!(body, ForwardedBody::Streamed { .. }) { STREAM_BUFFER_BYTES } else { 0 };
    let stream_permit = request_budget.try_acquire(stream_bytes).ok_or_else(capacity_exhausted)?;
    let memory_permits = [buffer_permit, stream_permit];
    Ok(ParsedRequest { parts, head, body, settings, memory_permits })
}

/// Checks that the request target is a path.
fn check_target(target: &Uri) -> Result<(), RequestError> {
    let is_path = target.path().starts_with('/') && target.authority().is_none();
    if is_path { Ok(()) } else { Err(RequestError::InvalidTarget) }
}

/// Reads the complete body if it can be buffered, and otherwise only its beginning.
async fn read_body(
    body: Incoming,
    length: Option<u64>,
    received_head: ReceivedHead,
) -> Result<ForwardedBody, StreamError> {
    if length == Some(0) {
        return Ok(ForwardedBody::Buffered(Bytes::new()));
    }
    let source = StreamedRequestBody::new(body, received_head.body_timeout, received_head.sender_wait);
    match source.read_buffered().await? {
        Some(content) => Ok(ForwardedBody::Buffered(content)),
        None => Ok(ForwardedBody::Streamed { body: source, length }),
    }
}
