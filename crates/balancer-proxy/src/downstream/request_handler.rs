//! Handles one request of a client: reads and checks it, submits it to the engine, and turns the final
//! response into an HTTP response. It notifies the engine when a client disconnects, and counts each
//! complete request in the metrics.

use super::client_connection::{ClientConnection, ReceivedHead};
use super::lifecycle::Lifecycle;
use super::request::{self, ParsedRequest, Submission};
use super::request_error::RequestError;
use super::response::{self, ClientResponse};
use crate::engine::{ClientIdInUse, Engine, FinalResponse, SubmittedRequest};
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
/// How long a request waits for another one with the same client request id to end. A client whose
/// connection broke sends its request again on another one, perhaps before the end of the first has
/// been read here.
const DUPLICATE_ID_TIMEOUT: Duration = Duration::from_millis(50);
/// How often such a request checks whether the other one has ended.
const DUPLICATE_ID_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// What happens to the requests of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// They are served.
    Serve,
    /// They are read and rejected, as too many connections are busy.
    Reject,
}

/// Handles the requests of all clients.
pub struct RequestHandler {
    engine: Rc<Engine>,
    lifecycle: Rc<Lifecycle>,
    /// Bytes of request bodies that are buffered at the same time.
    body_budget: Rc<Budget>,
}

impl RequestHandler {
    /// A handler that submits requests to `engine`.
    pub fn new(engine: Rc<Engine>, lifecycle: Rc<Lifecycle>, body_budget: Rc<Budget>) -> Self {
        Self { engine, lifecycle, body_budget }
    }

    /// Whether the proxy accepts requests and has backends to send them to.
    pub fn is_ready(&self) -> bool {
        self.engine.has_listed_backend() && self.lifecycle.is_serving()
    }

    /// Handles the request whose head has arrived, and returns the response to it.
    pub async fn handle(
        &self,
        request: Request<Incoming>,
        client: &Rc<ClientConnection>,
        admission: Admission,
    ) -> ClientResponse {
        let received_head = client.head_received();
        if request.uri().path() == READINESS_PATH {
            return self.readiness(client);
        }
        let handled = self.forward(request, received_head, client, admission).await;
        handled.unwrap_or_else(|error| response::from_error(&error, client))
    }

    fn readiness(&self, client: &Rc<ClientConnection>) -> ClientResponse {
        if self.is_ready() {
            response::text(StatusCode::OK, "ready\n", client)
        } else {
            response::text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n", client)
        }
    }

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
            accounting.request_complete();
        }
        let received = Instant::now();
        self.wait_for_request_id(request.client_request_id()).await;
        // Nothing is awaited between here and the engine, so that the decision module has the same
        // settings.
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

    /// Reads and checks a request. One that is rejected for lack of memory counts in the metrics, as it
    /// was well-formed.
    async fn read(
        &self,
        request: Request<Incoming>,
        received_head: ReceivedHead,
    ) -> Result<ParsedRequest, RequestError> {
        let settings = self.engine.settings();
        let parsed = request::read(request, received_head, settings, &self.body_budget).await;
        if let Err(error @ RequestError::BodyCapacityExhausted { class }) = &parsed {
            self.engine.metrics().class_metrics(class).start_request().finish(error.status());
        }
        parsed
    }

    /// Returns once no other request with this client request id is in flight, or after
    /// [`DUPLICATE_ID_TIMEOUT`].
    async fn wait_for_request_id(&self, client_request_id: u64) {
        let started = Instant::now();
        while self.engine.is_client_id_in_use(client_request_id) && started.elapsed() < DUPLICATE_ID_TIMEOUT {
            tokio::time::sleep(DUPLICATE_ID_POLL_INTERVAL).await;
        }
    }

    /// How much of `timeout`, in seconds, is left to a request that was received at `received`. During a
    /// shutdown it ends when all responses must be out: the engine enforces that, and the decision
    /// module has to know it.
    fn time_left(&self, timeout: Time, received: Instant) -> Time {
        let timeout = timeout - received.elapsed().as_secs_f64();
        match self.lifecycle.shutdown() {
            Some(schedule) => timeout.min(schedule.time_left()),
            None => timeout,
        }
    }

    /// Submits a request to the engine, and waits for its final response. The response may come before
    /// the end of a streamed body.
    async fn submit(
        &self,
        submission: Submission,
        streamed_body: Option<Rc<StreamedRequestBody>>,
        accounting: &mut RequestAccounting<'_>,
    ) -> Result<FinalResponse, RequestError> {
        let Submission { client_request_id, request, forwarded, body_permit: _body_permit } = submission;
        let submitted = self.engine.submit(client_request_id, request, forwarded);
        let SubmittedRequest { id, response: mut receiver } =
            submitted.map_err(|ClientIdInUse| RequestError::DuplicateRequestId)?;
        let _guard = DisconnectGuard { engine: &self.engine, id };
        if let Some(body) = streamed_body {
            tokio::select! {
                biased;
                response = &mut receiver => return Ok(response.unwrap_or(FinalResponse::Failed)),
                end = body.wait_until_complete() => end?,
            }
            self.engine.complete_body(id);
            accounting.request_complete();
        }
        Ok(receiver.await.unwrap_or(FinalResponse::Failed))
    }
}

/// Notifies the engine, when dropped, that the client has disconnected. The engine ignores it if the
/// request has had its final response.
struct DisconnectGuard<'a> {
    engine: &'a Engine,
    id: RequestId,
}

impl Drop for DisconnectGuard<'_> {
    fn drop(&mut self) {
        self.engine.abandon(self.id);
    }
}

/// A request and its response, as the connection and the metrics see them.
struct RequestAccounting<'a> {
    client: &'a ClientConnection,
    class_metrics: ClassMetrics,
    /// Set once the request is complete.
    outstanding: Option<OutstandingRequest>,
}

impl<'a> RequestAccounting<'a> {
    fn new(client: &'a ClientConnection, class_metrics: ClassMetrics) -> Self {
        Self { client, class_metrics, outstanding: None }
    }

    /// The request is complete: it counts as outstanding from now on.
    fn request_complete(&mut self) {
        self.outstanding = Some(self.class_metrics.start_request());
        self.client.request_received();
    }

    /// The request in the metrics. It is counted even if the response came before the request was
    /// complete.
    fn into_outstanding(self) -> OutstandingRequest {
        self.outstanding.unwrap_or_else(|| self.class_metrics.start_request())
    }
}
