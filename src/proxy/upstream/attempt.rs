//! Attempts of requests and health checks, and the outcome of each.

use super::connection::{ExchangeError, ReceivedBody};
use super::forwarded_request::ForwardedRequest;
use super::load_report::report;
use super::pool::{ConnectionLease, ConnectionPool};
use super::request_body::AttemptBody;
use super::response_body::{BackendResponse, ResponseContent, StreamedResponseBody};
use crate::proxy::clock::Clock;
use crate::proxy::metrics::Metrics;
use crate::{LoadReport, Outcome, Time};
use bytes::Bytes;
use hyper::body::Body;
use hyper::header::HeaderValue;
use hyper::{Request, StatusCode};
use std::cell::Cell;
use std::rc::Rc;
use tokio::time::Instant;

/// How an attempt or probe ended.
pub struct AttemptResult {
    /// The outcome.
    pub outcome: Outcome,
    /// The answer, if it was served.
    pub served: Option<BackendResponse>,
    /// The load report that came along.
    pub report: Option<LoadReport>,
}

impl AttemptResult {
    /// One that has brought no answer.
    pub fn without_answer(outcome: Outcome) -> Self {
        Self { outcome, served: None, report: None }
    }
}

/// Makes one attempt. `written` is set once all of the request has gone out: from then on a break
/// may hide a request that runs, and is told as a reset. Dropped before, it never will. Its answer
/// is waited for until `until`, and its last byte not written after `last`.
pub async fn attempt(
    endpoint: Rc<ConnectionPool>,
    payload: Rc<ForwardedRequest>,
    clock: Clock,
    until: Time,
    last: Time,
    written: Rc<Cell<bool>>,
    figures: Rc<Metrics>,
) -> AttemptResult {
    let request = |last: &Rc<Cell<bool>>| payload.request(until - clock.now(), last);
    let by = last.is_finite().then(|| clock.instant_at(last));
    exchange(&endpoint, &clock, &written, request, by, Some(figures)).await
}

/// Makes one probe of `path`.
pub async fn probe(endpoint: Rc<ConnectionPool>, path: &'static str, clock: Clock) -> AttemptResult {
    let request = |last: &Rc<Cell<bool>>| {
        last.set(true);
        let mut request = Request::new(AttemptBody::empty());
        *request.uri_mut() = hyper::Uri::from_static(path);
        request.headers_mut().insert("host", HeaderValue::from_static("backend"));
        Some(request)
    };
    let within = 4 * endpoint.connect_timeout.get();
    let written = Rc::default();
    let probed = exchange(&endpoint, &clock, &written, request, None, None);
    tokio::time::timeout(within, probed).await.unwrap_or(AttemptResult::without_answer(Outcome::Timeout))
}

async fn exchange(
    endpoint: &Rc<ConnectionPool>,
    clock: &Clock,
    written: &Rc<Cell<bool>>,
    request: impl Fn(&Rc<Cell<bool>>) -> Option<Request<AttemptBody>>,
    by: Option<Instant>,
    figures: Option<Rc<Metrics>>,
) -> AttemptResult {
    let era = endpoint.era.get();
    let mut again = false;
    let (peer, permit, head, answered) = loop {
        let Some((mut peer, permit, new)) = endpoint.acquire().await else {
            return AttemptResult::without_answer(Outcome::NoConnection);
        };
        // The news of a drain may have come while the connection was made.
        if !endpoint.may_send(clock) {
            return AttemptResult::without_answer(Outcome::NoConnection);
        }
        match peer.exchange(!new, &request, written, by, figures.clone()).await {
            Some(Ok((head, answered))) => break (peer, permit, head, answered),
            // One that was kept may have ended meanwhile; a second new one would end again.
            Some(Err(ExchangeError::NotSent)) if !(new && again) => again = again || new,
            Some(Err(ExchangeError::NotSent)) | None => {
                return AttemptResult::without_answer(Outcome::NoConnection);
            }
            Some(Err(ExchangeError::InvalidResponse)) => {
                return AttemptResult::without_answer(Outcome::Reset);
            }
        }
    };
    let turned_away = || head.headers.get("x-turned-away").is_some_and(|v| v == "1");
    let outcome = match head.status {
        StatusCode::OK => Outcome::Success,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if turned_away() => Outcome::Rejected,
        _ => Outcome::Error,
    };
    let report = head.headers.get("x-pressure").and_then(|v| report(v.as_bytes()));
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
    let served =
        (outcome == Outcome::Success).then_some(BackendResponse { content, length, headers: head.headers });
    AttemptResult { outcome, served, report }
}
