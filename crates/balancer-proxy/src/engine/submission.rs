//! The methods of the engine that accept requests, start the timeouts of streamed requests, and end
//! requests early when their clients disconnect or the process ends.

use super::Engine;
use super::requests::{FinalResponse, OpenRequest};
use super::timers::Timer;
use crate::control::used_request_ids::{RequestIdUsed, UsedRequestIds};
use crate::upstream::forwarded_request::ForwardedRequest;
use balancer::{AttemptId, Effect, Event, Request, RequestId, Time};
use std::rc::Rc;
use std::time::Instant;
use thiserror::Error;
use tokio::sync::oneshot;

/// Time in seconds by which the timeout given to the decision module is shorter than the timeout of the
/// client. The final response needs this time to reach the client.
const DECISION_MARGIN_SECS: Time = 0.006;
/// Time in seconds before the client's timeout at which the engine fails a request that the decision
/// module has not decided on.
const RESPONSE_MARGIN_SECS: Time = 0.5 * DECISION_MARGIN_SECS;

/// A request that the engine has accepted.
pub struct SubmittedRequest {
    /// The id that the engine assigned to the request.
    pub id: RequestId,
    /// The receiver of the final response.
    pub response: oneshot::Receiver<FinalResponse>,
}

/// The error for a request with the same client request id as another one that is open or may have run.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("the client's request id is in use or has been used")]
pub struct ClientRequestIdInUse;

impl Engine {
    /// Returns whether a request with this client request id is open in this process, or may have run in any
    /// process that shares the address.
    #[must_use]
    pub fn is_client_request_id_in_use(&self, client_request_id: u64) -> bool {
        let state = self.dispatcher.state();
        state.requests.is_client_request_id_in_use(client_request_id)
            || state.requests.used_request_ids().contains(client_request_id)
    }

    /// Accepts a request, and assigns its [`Request::id`]. `client_request_id` is the id that the client
    /// gave the request. The final response comes within `request.timeout` seconds. The request is rejected
    /// at once if the maximum number of open requests is reached.
    ///
    /// # Errors
    ///
    /// Returns [`ClientRequestIdInUse`] if another open request has the same client request id, or if such a
    /// request may have run and must not run twice.
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
        let claims_id = settings.balancer.classes[request.class.0].effect != Effect::Safe;
        if claims_id {
            let claim = state.requests.used_request_ids().claim(client_request_id);
            claim.map_err(|RequestIdUsed| ClientRequestIdInUse)?;
        }
        let now = self.dispatcher.clock.now();
        // The client's timeout started when the client sent the request, which may have waited to be read.
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
                claims_id,
                may_have_run: false,
                settings,
            },
        );
        if deadline.is_finite() {
            self.dispatcher.timers.set(deadline, Timer::RequestDeadline(id));
        }
        if request.streaming_body {
            self.dispatcher.timers.set(now + timeout, Timer::BodyStall(id));
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

    /// Replaces the ids of the requests that may have run, before the first request arrives.
    pub fn set_used_request_ids(&self, used_request_ids: UsedRequestIds) {
        self.dispatcher.state().requests.set_used_request_ids(used_request_ids);
    }

    /// Limits the deadlines of all requests, including later ones, to `shutdown_deadline`, because the
    /// process is shutting down.
    pub fn set_shutdown_deadline(&self, shutdown_deadline: Instant) {
        let start = self.dispatcher.clock.start_instant();
        let deadline = shutdown_deadline.saturating_duration_since(start).as_secs_f64();
        let limited_requests = self.dispatcher.state().requests.set_shutdown_deadline(deadline);
        for id in limited_requests {
            self.dispatcher.timers.set(deadline, Timer::RequestDeadline(id));
        }
    }

    /// Ends a request whose client has disconnected. Does nothing if the request is not open.
    pub fn abandon(&self, id: RequestId) {
        let mut state = self.dispatcher.state();
        let Some(usage) = state.request_usage(id) else {
            return;
        };
        state.requests.abandon(id);
        self.dispatcher.handle(state, Event::ClientDisconnected(id));
        // The module has ended the attempts that can still be kept from running.
        self.dispatcher.state().release_if_unused(&usage);
    }
}
