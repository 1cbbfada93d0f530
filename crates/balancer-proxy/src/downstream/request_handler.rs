//! The handler of client requests. For each request, the handler reads and checks the request, submits it to
//! the engine, and converts the final response into an HTTP response. The handler notifies the engine when a
//! client disconnects, and counts each complete request in the metrics.

use super::client_connection::{ClientConnection, ReceivedHead};
use super::lifecycle::Lifecycle;
use super::request::{self, ParsedRequest, Submission};
use super::request_error::RequestError;
use super::response::{self, ClientResponse};
use crate::engine::{ClientRequestIdInUse, Engine, FinalResponse, SubmittedRequest};
use crate::limits::Budget;
use crate::metrics::{ClassMetrics, OutstandingRequest};
use crate::upstream::request_body::StreamedRequestBody;
use balancer::{RequestId, Time};
use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// The path on which the proxy reports its readiness.
const READINESS_PATH: &str = "/-/ready";
/// Longest time that a request waits for the end of another request with the same client request id. A client
/// whose connection broke may send its request again on another connection before the proxy has detected the
/// end of the first connection.
const DUPLICATE_ID_TIMEOUT: Duration = Duration::from_millis(50);
/// Interval at which a request checks whether the other request with its client request id has ended.
const DUPLICATE_ID_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The treatment of the requests of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Admission {
    /// The requests are served.
    Serve,
    /// The requests are read and rejected, because too many connections are busy.
    Reject,
}

/// Handles the requests of all clients.
pub(super) struct RequestHandler {
    engine: Rc<Engine>,
    lifecycle: Rc<Lifecycle>,
    /// The budget for the memory of request bodies that are buffered at the same time, and of long heads.
    request_budget: Rc<Budget>,
}

impl RequestHandler {
    /// Creates a handler that submits requests to `engine`.
    pub(super) fn new(engine: Rc<Engine>, lifecycle: Rc<Lifecycle>, request_budget: Rc<Budget>) -> Self {
        Self { engine, lifecycle, request_budget }
    }

    /// Returns the budget for the memory of requests.
    pub(super) fn request_budget(&self) -> &Rc<Budget> {
        &self.request_budget
    }

    /// Returns whether the proxy accepts requests and a backend has been listed.
    pub(super) fn is_ready(&self) -> bool {
        self.engine.has_listed_backend() && self.lifecycle.is_serving()
    }

    /// Handles the request whose head has arrived, and returns the response to it.
    pub(super) async fn handle(
        &self,
        request: Request<Incoming>,
        client: &Rc<ClientConnection>,
        admission: Admission,
    ) -> ClientResponse {
        let received_head = client.complete_head();
        if request.uri().path() == READINESS_PATH {
            return self.report_readiness(client);
        }
        let handled = self.forward(request, received_head, client, admission).await;
        handled.unwrap_or_else(|error| response::from_error(&error, client))
    }

    /// Returns the response to a readiness request.
    fn report_readiness(&self, client: &Rc<ClientConnection>) -> ClientResponse {
        if self.is_ready() {
            response::from_text(StatusCode::OK, "ready\n", client)
        } else {
            response::from_text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n", client)
        }
    }

    /// Reads a request, submits it to the engine, and returns the response.
    async fn forward(
        &self,
        request: Request<Incoming>,
        received_head: ReceivedHead,
        client: &Rc<ClientConnection>,
        admission: Admission,
    ) -> Result<ClientResponse, RequestError> {
        let method = request.method().clone();
        let mut request = self.read(request, received_head).await?;
        let mut accounting =
            RequestAccounting::new(client, self.engine.metrics().class_metrics(request.class()));
        let streamed_body = request.streamed_body();
        if streamed_body.is_none() {
            accounting.complete_request();
        }
        let received = Instant::now();
        self.wait_for_request_id(request.client_request_id()).await;
        // The code from here to the submission must not await. The settings could change during an await, and
        // the indices of class and tenant would then refer to other classes and tenants.
        request.revalidate(self.engine.settings())?;
        let mut submission = request.into_submission();
        submission.request.timeout = self.time_left(submission.request.timeout, received);
        let final_response = match admission {
            Admission::Serve => self.submit(submission, streamed_body, &mut accounting).await?,
            Admission::Reject => FinalResponse::Rejected(None),
        };
        let mut response = response::from_final_response(final_response, &method, client);
        let status = response.status();
        response.body_mut().count_at_end(accounting.into_outstanding(), status);
        Ok(response)
    }

    /// Reads and checks a request. A request that is rejected for lack of memory is counted in the metrics,
    /// because the request is well-formed.
    async fn read(
        &self,
        request: Request<Incoming>,
        received_head: ReceivedHead,
    ) -> Result<ParsedRequest, RequestError> {
        let settings = self.engine.settings();
        let parsed = request::read(request, received_head, settings, &self.request_budget).await;
        if let Err(error @ RequestError::BodyCapacityExhausted { class }) = &parsed {
            self.engine.metrics().class_metrics(class).start_request().finish(error.status());
        }
        parsed
    }

    /// Returns once no other request with this client request id is in flight, or after
    /// [`DUPLICATE_ID_TIMEOUT`].
    async fn wait_for_request_id(&self, client_request_id: u64) {
        let started = Instant::now();
        while self.engine.is_client_request_id_in_use(client_request_id)
            && started.elapsed() < DUPLICATE_ID_TIMEOUT
        {
            tokio::time::sleep(DUPLICATE_ID_POLL_INTERVAL).await;
        }
    }

    /// Returns the time that remains of `timeout`, in seconds, for a request that was received at `received`.
    /// During a shutdown, the deadline of all responses bounds the result, so that the decision module uses
    /// the deadline that the engine enforces.
    fn time_left(&self, timeout: Time, received: Instant) -> Time {
        let timeout = timeout - received.elapsed().as_secs_f64();
        match self.lifecycle.shutdown() {
            Some(schedule) => timeout.min(schedule.time_left()),
            None => timeout,
        }
    }

    /// Submits a request to the engine, and waits for its final response. The response may arrive before the
    /// end of a streamed body.
    async fn submit(
        &self,
        submission: Submission,
        streamed_body: Option<Rc<StreamedRequestBody>>,
        accounting: &mut RequestAccounting<'_>,
    ) -> Result<FinalResponse, RequestError> {
        let Submission { client_request_id, request, forwarded, memory_permits: _memory_permits } =
            submission;
        let submitted = self.engine.submit(client_request_id, request, forwarded);
        let SubmittedRequest { id, response: mut receiver } =
            submitted.map_err(|ClientRequestIdInUse| RequestError::DuplicateRequestId)?;
        let _guard = DisconnectGuard { engine: &self.engine, id };
        if let Some(body) = streamed_body {
            tokio::select! {
                biased;
                response = &mut receiver => return Ok(response.unwrap_or(FinalResponse::Failed)),
                end = body.wait_until_complete() => end?,
            }
            self.engine.complete_body(id);
            accounting.complete_request();
        }
        Ok(receiver.await.unwrap_or(FinalResponse::Failed))
    }
}

/// Notifies the engine, when dropped, that the client has disconnected. The engine ignores the notification
/// if it has already sent the final response.
struct DisconnectGuard<'a> {
    engine: &'a Engine,
    id: RequestId,
}

impl Drop for DisconnectGuard<'_> {
    fn drop(&mut self) {
        self.engine.abandon(self.id);
    }
}

/// Records one request in the progress of its connection and in the metrics.
struct RequestAccounting<'a> {
    client: &'a ClientConnection,
    class_metrics: ClassMetrics,
    /// The outstanding request in the metrics; `None` until the request is complete.
    outstanding: Option<OutstandingRequest>,
}

impl<'a> RequestAccounting<'a> {
    fn new(client: &'a ClientConnection, class_metrics: ClassMetrics) -> Self {
        Self { client, class_metrics, outstanding: None }
    }

    /// Records that the request is complete, and starts to count it as outstanding.
    fn complete_request(&mut self) {
        self.outstanding = Some(self.class_metrics.start_request());
        self.client.progress().complete_request();
    }

    /// Returns the outstanding request in the metrics. A request whose response arrived before the request
    /// was complete is counted too.
    fn into_outstanding(self) -> OutstandingRequest {
        self.outstanding.unwrap_or_else(|| self.class_metrics.start_request())
    }
}
