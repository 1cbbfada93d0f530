//! The state of the engine, and how requests and attempts end.
//!
//! Owns the decision module with its pending events, the open requests, the running attempts and the
//! backends. Each end of an attempt passes through [`EngineState`], so that the module is notified of the end
//! once, and the client of a request gets the first response.

use super::attempts::{RunningAttempts, WriteProgress};
use super::decision_module::DecisionModule;
use super::endpoints::Endpoints;
use super::requests::{FinalResponse, OpenRequest, OpenRequests};
use crate::clock::Clock;
use crate::upstream::attempt::AttemptResult;
use balancer::{AttemptId, AttemptNumber, BackendId, EndedAttempt, Event, Outcome, RequestId, Settings};

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

    /// Ends an attempt, unless the attempt has ended before: notifies the module, and gives the client
    /// the response if this is the first one of the request.
    pub(super) fn end_attempt(&mut self, id: AttemptId, result: AttemptResult) {
        let Some(sent) = self.attempts.remove(id) else {
            return;
        };
        if self.requests.get(id.request).is_some_and(|request| request.forwarded.is_consumed()) {
            self.decision_module.push(Event::BodyConsumed(id.request));
        }
        if let Some(response) = result.response {
            self.requests.respond(id.request, FinalResponse::Success(response));
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

    /// Notifies the module that an attempt for which it asked was not sent.
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

    /// Aborts an attempt, unless the attempt has ended before.
    pub(super) fn cancel(&mut self, id: AttemptId) {
        match self.attempts.write_progress(id) {
            Some(WriteProgress::Incomplete) => self.abort(id, Outcome::NotSent),
            Some(WriteProgress::Complete) => self.abort(id, Outcome::Cancelled),
            None => {}
        }
    }

    /// Aborts an attempt that has not been written completely; any other attempt goes on.
    pub(super) fn withdraw(&mut self, id: AttemptId) {
        if self.attempts.write_progress(id) == Some(WriteProgress::Incomplete) {
            self.abort(id, Outcome::NotSent);
        }
    }

    /// Aborts an attempt that has not been written completely by its write deadline, which passes now;
    /// any other attempt goes on.
    pub(super) fn expire_write_deadline(&mut self, id: AttemptId) {
        if self.attempts.write_progress(id) == Some(WriteProgress::Incomplete) {
            self.abort(id, Outcome::NoConnection);
        }
    }

    /// Aborts an attempt that is still running at its deadline, which passes now.
    pub(super) fn expire_attempt_deadline(&mut self, id: AttemptId) {
        match self.attempts.write_progress(id) {
            Some(WriteProgress::Incomplete) => self.abort(id, Outcome::NoConnection),
            Some(WriteProgress::Complete) => self.abort(id, Outcome::Timeout),
            None => {}
        }
    }

    /// Fails a request that is still open at its deadline, which passes now. The module has not decided
    /// in time, and learns of the end as if the client had disconnected.
    pub(super) fn expire_request_deadline(&mut self, id: RequestId) {
        if self.requests.respond(id, FinalResponse::Failed) {
            self.decision_module.push(Event::ClientDisconnected(id));
        }
    }

    fn abort(&mut self, id: AttemptId, outcome: Outcome) {
        self.end_attempt(id, AttemptResult::without_response(outcome));
    }
}
