//! Attempts of requests and health checks, and the outcome of each.

use super::connection::{ExchangeError, ReceivedBody};
use super::forwarded_request::ForwardedRequest;
use super::load_report;
use super::pool::{ConnectionLease, ConnectionPool};
use super::request_body::AttemptBody;
use super::response_body::{BackendResponse, ResponseContent, StreamedResponseBody};
use super::shared_flag::SharedFlag;
use crate::proxy::clock::Clock;
use crate::proxy::metrics::Metrics;
use crate::{LoadReport, Outcome, Time};
use bytes::Bytes;
use hyper::body::Body;
use hyper::header::HeaderValue;
use hyper::{Request, StatusCode};
use std::rc::Rc;
use tokio::time::Instant;

/// How an attempt or probe ended.
pub struct AttemptResult {
    /// The outcome.
    pub outcome: Outcome,
    /// The response, of an attempt that succeeded.
    pub response: Option<BackendResponse>,
    /// The load report that came along.
    pub report: Option<LoadReport>,
}

impl AttemptResult {
    /// One that has brought no answer.
    pub fn without_response(outcome: Outcome) -> Self {
        Self { outcome, response: None, report: None }
    }
}

/// What an attempt needs. Times are those of `clock`, in seconds.
pub struct AttemptParameters {
    /// The connections to the backend.
    pub pool: Rc<ConnectionPool>,
    /// The request to forward.
    pub request: Rc<ForwardedRequest>,
    /// The clock of the deadlines.
    pub clock: Clock,
    /// Until when the response is awaited; the backend is told the time that remains.
    pub response_deadline: Time,
    /// The last byte of the request is not written after this; infinite if there is no such limit.
    pub write_deadline: Time,
    /// Set once the complete request has been written.
    pub written: SharedFlag,
    /// Where a request that has been written is counted.
    pub metrics: Rc<Metrics>,
}

/// Makes one attempt. `written` is set once all of the request has gone out: from then on a break
/// may hide a request that runs, and is told as a reset. Dropped before, it never will. Its answer
/// is waited for until `until`, and its last byte not written after `last`.
pub async fn attempt(parameters: AttemptParameters) -> AttemptResult {
    let AttemptParameters { pool, request, clock, response_deadline, write_deadline, written, metrics } =
        parameters;
    let build = |last: &SharedFlag| request.request(response_deadline - clock.now(), last);
    let by = write_deadline.is_finite().then(|| clock.at(write_deadline));
    exchange(&pool, &clock, &written, build, by, Some(metrics)).await
}

/// Makes one probe of `path`.
pub async fn health_check(endpoint: Rc<ConnectionPool>, path: &'static str, clock: Clock) -> AttemptResult {
    let request = |last: &SharedFlag| {
        last.set(true);
        let mut request = Request::new(AttemptBody::empty());
        *request.uri_mut() = hyper::Uri::from_static(path);
        request.headers_mut().insert("host", HeaderValue::from_static("backend"));
        Some(request)
    };
    let within = 4 * endpoint.connect_timeout.get();
    let written = SharedFlag::default();
    let probed = exchange(&endpoint, &clock, &written, request, None, None);
    tokio::time::timeout(within, probed).await.unwrap_or(AttemptResult::without_response(Outcome::Timeout))
}

async fn exchange(
    endpoint: &Rc<ConnectionPool>,
    clock: &Clock,
    written: &SharedFlag,
    request: impl Fn(&SharedFlag) -> Option<Request<AttemptBody>>,
    by: Option<Instant>,
    figures: Option<Rc<Metrics>>,
) -> AttemptResult {
    let era = endpoint.era.get();
    let mut again = false;
    let (peer, permit, head, answered) = loop {
        let Some((mut peer, permit, new)) = endpoint.acquire().await else {
            return AttemptResult::without_response(Outcome::NoConnection);
        };
        // The news of a drain may have come while the connection was made.
        if !endpoint.may_send(clock) {
            return AttemptResult::without_response(Outcome::NoConnection);
        }
        match peer.exchange(!new, &request, written, by, figures.clone()).await {
            Some(Ok((head, answered))) => break (peer, permit, head, answered),
            // One that was kept may have ended meanwhile; a second new one would end again.
            Some(Err(ExchangeError::NotSent)) if !(new && again) => again = again || new,
            Some(Err(ExchangeError::NotSent)) | None => {
                return AttemptResult::without_response(Outcome::NoConnection);
            }
            Some(Err(ExchangeError::InvalidResponse)) => {
                return AttemptResult::without_response(Outcome::Reset);
            }
        }
    };
    let turned_away = || head.headers.get("x-turned-away").is_some_and(|v| v == "1");
    let outcome = match head.status {
        StatusCode::OK => Outcome::Success,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if turned_away() => Outcome::Rejected,
        _ => Outcome::Error,
    };
    let report = head.headers.get("x-pressure").and_then(|v| load_report::parse(v.as_bytes()));
    let kept = ConnectionLease { endpoint: endpoint.clone(), permit, era };
    let (content, length) = match answered {
        ReceivedBody::Buffered(whole) => {
            kept.release(peer);
            let length = whole.len() as u64;
            (ResponseContent::Buffered(whole), Some(length))
        }
        ReceivedBody::Streamed(first, rest) => {
            let come: usize = first.iter().map(Bytes::len).sum();
            let length = rest.size_hint().exact().map(|left| left + come as u64);
            (
                ResponseContent::Streamed(Box::new(StreamedResponseBody::new(
                    first, rest, length, peer, kept,
                ))),
                length,
            )
        }
    };
    let response =
        (outcome == Outcome::Success).then_some(BackendResponse { content, length, headers: head.headers });
    AttemptResult { outcome, response, report }
}
