//! Reading a client's request and checking it, all that is wrong with it among the errors.

use super::connections::RequestHead;
use crate::proxy::limits::{Budget, MAX_BODY_BYTES, MAX_BUFFERED_BODY_BYTES, Permit};
use crate::proxy::settings::SettingsSnapshot;
use crate::proxy::stream_error::StreamError;
use crate::proxy::upstream::forwarded_request::{ForwardedBody, ForwardedRequest};
use crate::proxy::upstream::request_body::StreamedRequestBody;
use crate::{Effect, Request, RequestId, Time};
use bytes::Bytes;
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, CONTENT_LENGTH, HOST, HeaderMap, HeaderName};
use hyper::header::{TE, TRAILER, TRANSFER_ENCODING, UPGRADE};
use hyper::http::request::Parts;
use hyper::{Method, StatusCode};
use std::rc::Rc;
use thiserror::Error;

/// Why a request is not taken.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum RequestError {
    /// A header that is absent, double or makes no sense.
    #[error("{name}: expected {expected}")]
    Header {
        /// The header.
        name: &'static str,
        /// What it should have been.
        expected: &'static str,
    },
    /// A method that the class does not have.
    #[error("the method does not fit the class")]
    Method,
    /// A target that is no path.
    #[error("expected a path")]
    Target,
    /// Framing that might be read in two ways.
    #[error("the length is given twice")]
    Length,
    /// Longer than any may be.
    #[error("the body is too large")]
    TooLarge,
    /// The body broke off.
    #[error("the body broke off")]
    Broken,
    /// The body did not come in time.
    #[error("the body did not come")]
    Late,
    /// The bodies of other requests take all the room.
    #[error("too much at once, try again")]
    NoRoom {
        /// The name of the request's class.
        class: String,
    },
}

impl RequestError {
    /// The status that tells of it.
    pub fn status(&self) -> StatusCode {
        match self {
            Self::Header { .. } | Self::Method | Self::Target | Self::Length | Self::Broken => {
                StatusCode::BAD_REQUEST
            }
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Late => StatusCode::REQUEST_TIMEOUT,
            Self::NoRoom { .. } => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

/// A request that can be sent on.
pub struct ParsedRequest {
    /// What the module is told; the engine gives it an id of its own.
    request: Request,
    /// The id that the client gave it.
    pub txn: u64,
    head: Parts,
    body: ForwardedBody,
    /// By which it was checked.
    terms: Rc<SettingsSnapshot>,
    room: Permit,
    /// Its body, if it is still coming.
    pub coming: Option<Rc<StreamedRequestBody>>,
}

impl ParsedRequest {
    /// The name of its class.
    pub fn class(&self) -> &str {
        &self.terms.proxy.classes[self.request.class]
    }

    /// Checks it again if these settings are others than those by which it was read: they may have
    /// changed while its body came, and the module knows classes and tenants by these alone.
    pub fn keep_to(&mut self, terms: Rc<SettingsSnapshot>) -> Result<(), RequestError> {
        if !Rc::ptr_eq(&terms, &self.terms) {
            let (_, request) = check(&self.head.method, &self.head.headers, &terms)?;
            self.request = Request { streaming_body: self.request.streaming_body, ..request };
            self.terms = terms;
        }
        Ok(())
    }

    /// What the module is told, what is sent on, and the room that its body takes.
    pub fn into_parts(self) -> (Request, ForwardedRequest, Permit) {
        let Parts { method, uri, headers, .. } = self.head;
        let payload =
            ForwardedRequest { method, uri, headers: forwardable_headers(headers), body: self.body };
        (self.request, payload, self.room)
    }
}

impl From<StreamError> for RequestError {
    fn from(cut: StreamError) -> Self {
        match cut {
            StreamError::Disconnected => Self::Broken,
            StreamError::Stalled => Self::Late,
            StreamError::TooLong => Self::TooLarge,
        }
    }
}

/// Reads a request, all of it if it can be held. What can be told from its head is refused before
/// its body is read.
pub async fn read(
    request: hyper::Request<Incoming>,
    head_read: RequestHead,
    terms: Rc<SettingsSnapshot>,
    bodies: &Rc<Budget>,
) -> Result<ParsedRequest, RequestError> {
    let (head, body) = request.into_parts();
    if head_read.doubtful {
        return Err(RequestError::Length);
    }
    let length = body.size_hint().exact();
    if length.is_some_and(|length| length > MAX_BODY_BYTES) {
        return Err(RequestError::TooLarge);
    }
    if !head.uri.path().starts_with('/') || head.uri.authority().is_some() {
        return Err(RequestError::Target);
    }
    let (txn, mut request) = check(&head.method, &head.headers, &terms)?;
    let held = length
        .and_then(|l| usize::try_from(l).ok())
        .unwrap_or(MAX_BUFFERED_BODY_BYTES)
        .min(MAX_BUFFERED_BODY_BYTES);
    let room = bodies
        .try_acquire(held)
        .ok_or_else(|| RequestError::NoRoom { class: terms.proxy.classes[request.class].clone() })?;
    let source = StreamedRequestBody::new(body, head_read.within);
    let (body, coming) = match length {
        Some(0) => (ForwardedBody::Buffered(Bytes::new()), None),
        _ => match source.read_buffered(MAX_BUFFERED_BODY_BYTES).await? {
            Some(whole) => (ForwardedBody::Buffered(whole), None),
            None => (ForwardedBody::Streamed { body: source.clone(), length }, Some(source)),
        },
    };
    request.streaming_body = coming.is_some();
    Ok(ParsedRequest { request, txn, head, body, terms, room, coming })
}

/// The one value of a header; which of two is meant can't be known.
fn single<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<Option<&'a str>, RequestError> {
    let mut values = headers.get_all(name).into_iter();
    let first = values.next();
    let text = first.map(|v| v.to_str().map(str::trim)).transpose();
    match (text, values.next()) {
        (Ok(text), None) => Ok(text),
        _ => Err(RequestError::Header { name, expected: "one value, of plain text" }),
    }
}

/// The client's id and what the module is told of a request.
fn check(
    method: &Method,
    headers: &HeaderMap,
    terms: &SettingsSnapshot,
) -> Result<(u64, Request), RequestError> {
    let SettingsSnapshot { settings, proxy: wire } = terms;
    let unfit = |name, expected| RequestError::Header { name, expected };
    single(headers, "host")?;
    let hex = |id: &&str| id.len() == 16 && id.bytes().all(|b| b.is_ascii_hexdigit());
    let txn = single(headers, "x-txn")?.filter(hex).and_then(|id| u64::from_str_radix(id, 16).ok());
    let txn = txn.ok_or(unfit("X-Txn", "16 hex digits"))?;
    let place = |names: &[String], name: &str| names.iter().position(|n| n == name);
    let index = single(headers, "x-lane")?.and_then(|c| place(&wire.classes, c));
    let index = index.ok_or(unfit("X-Lane", "a known class"))?;
    let tenant = match single(headers, "x-org")? {
        Some(name) if !wire.tenants.is_empty() => {
            Some(place(&wire.tenants, name).ok_or(unfit("X-Org", "a known tenant"))?)
        }
        _ => None,
    };
    let class = &settings.classes[index];
    // No client waits longer than its class allows; a longer wait would keep timers for weeks.
    let budget = match single(headers, "x-remaining-ms")? {
        Some(ms) => {
            let digits = Some(ms).filter(|ms| ms.bytes().all(|b| b.is_ascii_digit()));
            let ms = digits.and_then(|ms| ms.parse::<u32>().ok());
            let ms = ms.ok_or(unfit("X-Remaining-Ms", "whole milliseconds"))?;
            (Time::from(ms) / 1000.0).min(class.deadline)
        }
        None => class.deadline,
    };
    let key = single(headers, "idempotency-key")?;
    let fits = match class.effect {
        Effect::Safe => method == Method::GET || method == Method::HEAD,
        Effect::Idempotent { .. } | Effect::Unsafe => method == Method::POST,
    };
    match class.effect {
        _ if !fits => Err(RequestError::Method),
        Effect::Idempotent { .. } if key.is_none_or(str::is_empty) => {
            Err(unfit("Idempotency-Key", "a value, for this class"))
        }
        Effect::Unsafe if key.is_some() => Err(unfit("Idempotency-Key", "none, for this class")),
        _ => {
            let id = RequestId::default();
            Ok((
                txn,
                Request {
                    id,
                    class: index,
                    tenant,
                    key: subject(headers),
                    timeout: budget,
                    streaming_body: false,
                },
            ))
        }
    }
}

/// What a request is about: the cookie `sid`, as it is if it is a key, else scattered.
fn subject(headers: &HeaderMap) -> Option<u64> {
    let cookies = headers.get_all("cookie").into_iter().filter_map(|v| v.to_str().ok());
    let mut pairs = cookies.flat_map(|v| v.split(';')).filter_map(|pair| pair.trim().split_once('='));
    let (_, sid) = pairs.find(|(name, _)| *name == "sid")?;
    let scattered = || {
        sid.bytes().fold(0xcbf2_9ce4_8422_2325, |h: u64, b| (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3))
    };
    Some(u64::from_str_radix(sid, 16).unwrap_or_else(|_| scattered()))
}

/// The headers that go on, either way: all but those of the connection itself.
pub fn forwardable_headers(mut headers: HeaderMap) -> HeaderMap {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .into_iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .filter(|name| *name != HOST)
        .collect();
    let own = [CONNECTION, CONTENT_LENGTH, TE, TRAILER, TRANSFER_ENCODING, UPGRADE];
    for name in named.iter().chain(&own) {
        headers.remove(name);
    }
    for name in ["keep-alive", "proxy-connection", "expect"] {
        headers.remove(name);
    }
    headers
}
