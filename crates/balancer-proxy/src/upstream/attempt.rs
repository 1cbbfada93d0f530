//! Attempts of requests and health checks: each is one exchange with a backend, and ends with an
//! outcome for the decision module.

use super::attempt_body::AttemptBody;
use super::completion_flag::CompletionFlag;
use super::connection::{Connection, ConnectionOrigin};
use super::exchange::{BuildRequest, ExchangeError, ReceivedBody, ReceivedResponse, exchange};
use super::exchange_state::ExchangeContext;
use super::forwarded_request::ForwardedRequest;
use super::load_report;
use super::pool::{CheckedOutConnection, ConnectionLease, ConnectionPool};
use super::response_body::{BackendResponse, ResponseContent, StreamedResponseBody};
use crate::clock::Clock;
use crate::metrics::Metrics;
use balancer::{LoadReport, Outcome, Time};
use bytes::Bytes;
use hyper::header::{HOST, HeaderMap, HeaderValue};
use hyper::{Request, StatusCode, Uri};
use std::rc::Rc;

/// Response header whose value 1 states that the backend rejected the request without executing it.
const REJECTED_HEADER: &str = "x-turned-away";
/// Response header with the load report of the backend.
pub(crate) const LOAD_REPORT_HEADER: &str = "x-pressure";
/// The value of the `Host` header of health checks.
const HEALTH_CHECK_HOST: &str = "backend";
/// The timeout of a health check, as a multiple of the connect timeout.
const HEALTH_CHECK_TIMEOUT_MULTIPLE: u32 = 4;

/// The result of an attempt or of a health check.
pub struct AttemptResult {
    /// The outcome that is reported to the decision module.
    pub outcome: Outcome,
    /// The response, if the outcome is a success.
    pub response: Option<BackendResponse>,
    /// The load report that came with the response.
    pub report: Option<LoadReport>,
}

impl AttemptResult {
    /// Creates the result of an attempt without a response.
    pub(crate) fn without_response(outcome: Outcome) -> Self {
        Self { outcome, response: None, report: None }
    }
}

/// The parameters of an attempt. Times are those of `clock`, in seconds.
pub struct AttemptParameters {
    /// The pool of the connections to the backend.
    pub pool: Rc<ConnectionPool>,
    /// The request to forward.
    pub request: Rc<ForwardedRequest>,
    /// The clock that the deadlines refer to.
    pub clock: Clock,
    /// The time at which the engine stops waiting for the response. The backend is sent the time that
    /// remains; the attempt does not end at this time by itself.
    pub response_deadline: Time,
    /// The time after which the last byte of the request is not written; `None` without such a limit.
    pub write_deadline: Option<Time>,
    /// Set once the complete request has been written. From then on the backend may execute the request
    /// even if the attempt fails, so that a failure is reported as a reset. If the attempt is dropped
    /// before, the backend never executes the request.
    pub written: CompletionFlag,
    /// The metrics that count each request that has been written.
    pub metrics: Rc<Metrics>,
}

/// Makes one attempt. The engine ends the attempt at its response deadline by dropping the future.
pub async fn attempt(parameters: AttemptParameters) -> AttemptResult {
    let AttemptParameters { pool, request, clock, response_deadline, write_deadline, written, metrics } =
        parameters;
    let build_request =
        |end_of_body: &CompletionFlag| request.build(response_deadline - clock.now(), end_of_body);
    let context = ExchangeContext {
        request_written: written,
        write_deadline: write_deadline.map(|deadline| clock.instant_at(deadline)),
        metrics: Some(metrics),
    };
    run_exchange(&pool, &clock, &build_request, &context).await
}

/// Makes one health check: a GET request for `path`.
pub(crate) async fn health_check(
    pool: Rc<ConnectionPool>,
    path: &'static str,
    clock: Clock,
) -> AttemptResult {
    let build_request = |end_of_body: &CompletionFlag| {
        let mut request = Request::new(AttemptBody::buffered(Bytes::new(), end_of_body.clone()));
        *request.uri_mut() = Uri::from_static(path);
        request.headers_mut().insert(HOST, HeaderValue::from_static(HEALTH_CHECK_HOST));
        Some(request)
    };
    let timeout = HEALTH_CHECK_TIMEOUT_MULTIPLE * pool.connect_timeout();
    let context = ExchangeContext::default();
    let result = tokio::time::timeout(timeout, run_exchange(&pool, &clock, &build_request, &context)).await;
    result.unwrap_or(AttemptResult::without_response(Outcome::Timeout))
}

/// An exchange that got a response, with its connection, which may still carry the rest of the body.
struct CompletedExchange {
    response: ReceivedResponse,
    connection: Connection,
    lease: ConnectionLease,
}

async fn run_exchange(
    pool: &Rc<ConnectionPool>,
    clock: &Clock,
    build_request: BuildRequest<'_>,
    context: &ExchangeContext,
) -> AttemptResult {
    match exchange_with_backend(pool, clock, build_request, context).await {
        Ok(completed) => completed.into_result(),
        Err(outcome) => AttemptResult::without_response(outcome),
    }
}

/// Makes an exchange on a connection of the pool. If the connection ends before the request has been
/// written, the exchange is retried on the next connection.
async fn exchange_with_backend(
    pool: &Rc<ConnectionPool>,
    clock: &Clock,
    build_request: BuildRequest<'_>,
    context: &ExchangeContext,
) -> Result<CompletedExchange, Outcome> {
    let generation = pool.generation();
    let mut has_new_connection_failed = false;
    loop {
        let CheckedOutConnection { mut connection, lease, origin } =
            pool.check_out(generation).await.ok_or(Outcome::NoConnection)?;
        // A drain may have begun while the connection was being established.
        if !pool.may_send(clock) {
            return Err(Outcome::NoConnection);
        }
        match exchange(&mut connection, origin, build_request, context).await {
            Ok(response) => return Ok(CompletedExchange { response, connection, lease }),
            Err(ExchangeError::NoValidResponse) => return Err(Outcome::Reset),
            Err(ExchangeError::BodyConsumed) => return Err(Outcome::NoConnection),
            // A reused connection may have been closed while it was idle, and is always replaced. A new
            // connection is replaced only once: after two failures a third one would fail in the same way.
            Err(ExchangeError::NotSent) => {
                let is_new = origin == ConnectionOrigin::New;
                if is_new && has_new_connection_failed {
                    return Err(Outcome::NoConnection);
                }
                has_new_connection_failed |= is_new;
            }
        }
    }
}

impl CompletedExchange {
    /// Classifies the response. Releases its connection now, or once the body has been streamed.
    fn into_result(self) -> AttemptResult {
        let Self { response: ReceivedResponse { head, body }, connection, lease } = self;
        let outcome = classify_response(head.status, &head.headers);
        let report = head.headers.get(LOAD_REPORT_HEADER);
        let report = report.and_then(|value| load_report::parse(value.as_bytes()));
        let content = match body {
            ReceivedBody::Buffered(complete) => {
                lease.release(connection);
                ResponseContent::Buffered(complete)
            }
            ReceivedBody::Streamed { received, incoming } => ResponseContent::Streamed(Box::new(
                StreamedResponseBody::new(received, incoming, connection, lease),
            )),
        };
        let response = (outcome == Outcome::Success).then(|| BackendResponse::new(content, head.headers));
        AttemptResult { outcome, response, report }
    }
}

/// Returns the outcome that the status and the headers of a response indicate.
fn classify_response(status: StatusCode, headers: &HeaderMap) -> Outcome {
    let is_marked_rejected = headers.get(REJECTED_HEADER).is_some_and(|value| value == "1");
    match status {
        StatusCode::OK => Outcome::Success,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if is_marked_rejected => {
            Outcome::Rejected
        }
        _ => Outcome::Error,
    }
}
