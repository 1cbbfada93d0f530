//! The way of requests into the engine: accepts them, starts the timeout of streamed requests, and ends
//! requests early when their clients disconnect or the process ends.

use super::Engine;
use super::requests::{FinalResponse, OpenRequest};
use super::timers::Timer;
use crate::upstream::forwarded_request::ForwardedRequest;
use balancer::{AttemptId, Event, Request, RequestId, Time};
use std::rc::Rc;
use std::time::Instant;
use thiserror::Error;
use tokio::sync::oneshot;

/// Time in seconds by which the timeout given to the decision module is shorter than that of the
/// client: the final response needs this time on its way to the client.
const DECISION_MARGIN_SECS: Time = 0.006;
/// Time in seconds before the client's timeout at which the engine fails a request on which the
/// decision module has not decided.
const RESPONSE_MARGIN_SECS: Time = 0.5 * DECISION_MARGIN_SECS;

/// A request that the engine has accepted.
pub struct SubmittedRequest {
    /// The id that the engine assigned to the request.
    pub id: RequestId,
    /// Receives the final response.
    pub response: oneshot::Receiver<FinalResponse>,
}

/// The error of a request whose client gave it the id of another open request.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("the client's request id is in use")]
pub struct ClientRequestIdInUse;

impl Engine {
    /// Returns whether a request to which its client gave this id is open.
    #[must_use]
    pub fn is_client_request_id_in_use(&self, client_request_id: u64) -> bool {
        self.dispatcher.state().requests.is_client_request_id_in_use(client_request_id)
    }

    /// Accepts a request to which its client gave `client_request_id`, and assigns its [`Request::id`]. The
    /// final response comes within `request.timeout` seconds, and at once if as many requests are open
    /// as the settings allow.
    ///
    /// # Errors
    ///
    /// Returns [`ClientRequestIdInUse`] if another open request has the same id of its client.
    pub fn submit(
        &self,
        client_request_id: u64,
        mut request: Request,
        forwarded: ForwardedRequest,
    ) -> Result<SubmittedRequest, ClientRequestIdInUse> {
        let (sender, receiver) = oneshot::channel();
        let mut state = self.dispatcher.state();
        if state.requests.is_client_request_id_in_use(client_request_id) {
            return Err(ClientRequestIdInUse);
        }
        let id = state.requests.next_id();
        request.id = id;
        let submitted = SubmittedRequest { id, response: receiver };
        let settings = self.settings();
        if state.requests.len() >= settings.proxy.max_open_requests {
            let _ = sender.send(FinalResponse::Rejected(None)); // cannot fail: the receiver exists
            return Ok(submitted);
        }
        let now = self.dispatcher.clock.now();
        // The client's timeout started when it sent the request, which may then have waited to be read.
        request.timeout -= self.event_loop_lag.get();
        let timeout = request.timeout - RESPONSE_MARGIN_SECS;
        request.timeout -= DECISION_MARGIN_SECS;
        let deadline = state.requests.insert(
            id,
            OpenRequest {
                client_request_id,
                response: sender,
                forwarded: Rc::new(forwarded),
                deadline: if request.streaming_body { Time::INFINITY } else { now + timeout },
                timeout,
                attempts_sent: 0,
                settings,
            },
        );
        if deadline.is_finite() {
            self.dispatcher.timers.set(deadline, Timer::RequestDeadline(id));
        }
        self.dispatcher.handle(state, Event::Request(request));
        Ok(submitted)
    }

    /// Starts the timeout of a streamed request whose body has been received completely. Does nothing
    /// if the request is not open.
    pub fn complete_body(&self, id: RequestId) {
        let mut state = self.dispatcher.state();
        let Some(request) = state.requests.start_timeout(id, self.dispatcher.clock.now()) else {
            return;
        };
        let deadline = request.deadline;
        self.dispatcher.timers.set(deadline, Timer::RequestDeadline(id));
        for number in request.sent_attempt_numbers() {
            let attempt = AttemptId { request: id, number };
            self.dispatcher.timers.set(deadline, Timer::AttemptDeadline(attempt));
        }
        self.dispatcher.handle(state, Event::BodyReceived(id));
    }

    /// Gives all requests, including those that arrive later, their final responses by
    /// `shutdown_deadline`, at which the process ends.
    pub fn set_shutdown_deadline(&self, shutdown_deadline: Instant) {
        let start = self.dispatcher.clock.start_instant();
        let deadline = shutdown_deadline.saturating_duration_since(start).as_secs_f64();
        let moved_earlier = self.dispatcher.state().requests.set_shutdown_deadline(deadline);
        for id in moved_earlier {
            self.dispatcher.timers.set(deadline, Timer::RequestDeadline(id));
        }
    }

    /// Ends a request whose client has disconnected. Does nothing if the request is not open.
    pub fn abandon(&self, id: RequestId) {
        let mut state = self.dispatcher.state();
        if state.requests.abandon(id) {
            self.dispatcher.handle(state, Event::ClientDisconnected(id));
        }
    }
}
