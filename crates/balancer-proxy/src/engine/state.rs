//! The state of the engine, with the operations that end requests and attempts.
//!
//! [`EngineState`] owns the decision module with its pending events, the open requests, the running attempts
//! and the backends. Every attempt ends through [`EngineState`], which notifies the module of the end once,
//! and sends the client the first response to its request.

use super::attempts::{RunningAttempts, WriteProgress};
use super::decision_module::DecisionModule;
use super::endpoints::Endpoints;
use super::requests::{FinalResponse, OpenRequest, OpenRequests};
use crate::clock::Clock;
use crate::upstream::attempt::AttemptResult;
use balancer::{AttemptId, AttemptNumber, BackendId, EndedAttempt, Event, Outcome, RequestId, Settings};

/// The use of the id that a client gave a request.
pub(super) struct RequestUsage {
    client_request_id: u64,
    /// Whether the request has claimed the id.
    claims_id: bool,
    /// Whether an attempt has been written completely and was not rejected.
    may_have_run: bool,
    /// The attempts of the request.
    attempts: Vec<AttemptId>,
}

/// The state that events and actions change.
pub(super) struct EngineState {
    clock: Clock,
    pub(super) decision_module: DecisionModule,
    pub(super) requests: OpenRequests,
    pub(super) attempts: RunningAttempts,
    pub(super) endpoints: Endpoints,
}

impl EngineState {
    /// Creates the state without requests and backends. At most `max_backend_connections` connections
    /// to backends will be open at once.
    pub(super) fn new(clock: Clock, seed: u64, settings: Settings, max_backend_connections: usize) -> Self {
        Self {
            clock,
            decision_module: DecisionModule::new(clock.now(), seed, settings),
            requests: OpenRequests::new(),
            attempts: RunningAttempts::default(),
            endpoints: Endpoints::new(max_backend_connections),
        }
    }

    /// Ends an attempt: notifies the module, and sends the client the response if it is the first one to
    /// the request. Does nothing if the attempt has already ended.
    pub(super) fn end_attempt(&mut self, id: AttemptId, result: AttemptResult) {
        let write_progress = self.attempts.write_progress(id);
        let Some(sent) = self.attempts.remove(id) else {
            return;
        };
        // A backend may respond before the last byte of a streamed body has been written.
        let is_executed = result.response.is_some();
        let may_be_executed =
            write_progress == Some(WriteProgress::Complete) && result.outcome != Outcome::Rejected;
        if let Some(request) = self.requests.get_mut(id.request) {
            request.may_have_run |= is_executed || may_be_executed;
        }
        if self.requests.get(id.request).is_some_and(|request| request.forwarded.is_consumed()) {
            self.decision_module.push(Event::BodyConsumed(id.request));
        }
        if let Some(response) = result.response {
            self.respond(id.request, FinalResponse::Success(response));
        }
        self.decision_module.push(Event::AttemptEnded(EndedAttempt {
            id: id.request,
            backend: sent.backend,
            attempt: id.number,
            outcome: result.outcome,
            duration: self.clock.now() - sent.sent_at,
            request_finished: !self.requests.contains(id.request),
            report: result.report,
        }));
    }

    /// Notifies the module that an attempt that it requested was not sent.
    pub(super) fn report_not_sent(&mut self, id: RequestId, backend: BackendId) {
        self.decision_module.push(Event::AttemptEnded(EndedAttempt {
            id,
            backend,
            attempt: self.requests.get(id).map_or(AttemptNumber::default(), OpenRequest::next_attempt_number),
            outcome: Outcome::NotSent,
            duration: 0.0,
            request_finished: !self.requests.contains(id),
            report: None,
        }));
    }

    /// Aborts an attempt. Does nothing if the attempt has already ended.
    pub(super) fn cancel(&mut self, id: AttemptId) {
        match self.attempts.write_progress(id) {
            Some(WriteProgress::Incomplete) => self.abort(id, Outcome::NotSent),
            Some(WriteProgress::Complete) => self.abort(id, Outcome::Cancelled),
            None => {}
        }
    }

    /// Aborts an attempt if its request has not been written completely. Otherwise the attempt continues.
    pub(super) fn withdraw(&mut self, id: AttemptId) {
        if self.attempts.write_progress(id) == Some(WriteProgress::Incomplete) {
            self.abort(id, Outcome::NotSent);
        }
    }

    /// Aborts an attempt at its write deadline if its request has not been written completely. Otherwise
    /// the attempt continues.
    pub(super) fn expire_write_deadline(&mut self, id: AttemptId) {
        if self.attempts.write_progress(id) == Some(WriteProgress::Incomplete) {
            self.abort(id, Outcome::NoConnection);
        }
    }

    /// Aborts an attempt that is still running at its deadline.
    pub(super) fn expire_attempt_deadline(&mut self, id: AttemptId) {
        match self.attempts.write_progress(id) {
            Some(WriteProgress::Incomplete) => self.abort(id, Outcome::NoConnection),
            Some(WriteProgress::Complete) => self.abort(id, Outcome::Timeout),
            None => {}
        }
    }

    /// Ends the attempts of a request whose body no backend takes, and notifies the module, which responds to
    /// the client.
    pub(super) fn end_stalled_request(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let sent_attempts = request.sent_attempt_numbers();
        self.decision_module.push(Event::BodyStalled(id));
        for number in sent_attempts {
            self.expire_attempt_deadline(AttemptId { request: id, number });
        }
    }

    /// Fails a request that is still open at its deadline because the module has not decided in time. The
    /// module is notified of the end as a disconnect of the client.
    pub(super) fn expire_request_deadline(&mut self, id: RequestId) {
        if self.respond(id, FinalResponse::Failed) {
            self.decision_module.push(Event::ClientDisconnected(id));
        }
    }

    /// Closes a request with its final response. Returns whether the request was open; otherwise the response
    /// is dropped.
    pub(super) fn respond(&mut self, id: RequestId, response: FinalResponse) -> bool {
        let Some(usage) = self.request_usage(id) else {
            return false;
        };
        self.release_if_unused(&usage);
        self.requests.respond(id, response)
    }

    /// Returns the use of an open request's id, or `None` if the request is not open.
    pub(super) fn request_usage(&self, id: RequestId) -> Option<RequestUsage> {
        let request = self.requests.get(id)?;
        let attempts: Vec<_> =
            request.sent_attempt_numbers().map(|number| AttemptId { request: id, number }).collect();
        let is_written =
            |attempt: &AttemptId| self.attempts.write_progress(*attempt) == Some(WriteProgress::Complete);
        let may_have_run = request.may_have_run || attempts.iter().any(is_written);
        let OpenRequest { client_request_id, claims_id, .. } = *request;
        Some(RequestUsage { client_request_id, claims_id, may_have_run, attempts })
    }

    /// Allows another request to use the id of a request, unless one of the attempts may have run or is still
    /// running.
    pub(super) fn release_if_unused(&self, usage: &RequestUsage) {
        let is_running =
            usage.attempts.iter().any(|attempt| self.attempts.write_progress(*attempt).is_some());
        if usage.claims_id && !usage.may_have_run && !is_running {
            self.requests.used_request_ids().release(usage.client_request_id);
        }
    }

    fn abort(&mut self, id: AttemptId, outcome: Outcome) {
        self.end_attempt(id, AttemptResult::without_response(outcome));
    }
}
