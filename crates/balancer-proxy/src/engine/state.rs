//! The state of the engine, and how requests and attempts end.
//!
//! Owns the decision module with its pending events, the open requests, the running attempts and the
//! backends. Whatever ends an attempt comes here, so that the module is notified of it once, and the
//! client of a request gets the first response.

use super::attempts::{AttemptId, RunningAttempts, WriteProgress};
use super::decisions::Decisions;
use super::endpoints::Endpoints;
use super::requests::{FinalResponse, OpenRequests};
use crate::clock::Clock;
use crate::upstream::attempt::AttemptResult;
use balancer::{BackendId, EndedAttempt, Event, Outcome, RequestId, Settings};

/// What events and actions change.
pub(super) struct State {
    clock: Clock,
    pub(super) decisions: Decisions,
    pub(super) requests: OpenRequests,
    pub(super) attempts: RunningAttempts,
    pub(super) endpoints: Endpoints,
}

impl State {
    pub(super) fn new(clock: Clock, seed: u64, settings: Settings, max_backend_connections: usize) -> Self {
        Self {
            clock,
            decisions: Decisions::new(clock.now(), seed, settings),
            requests: OpenRequests::new(),
            attempts: RunningAttempts::default(),
            endpoints: Endpoints::new(max_backend_connections),
        }
    }

    /// Ends an attempt, unless it has ended before: notifies the module, and gives the client the
    /// response if it is the first one.
    pub(super) fn end_attempt(&mut self, id: AttemptId, result: AttemptResult) {
        let Some(sent) = self.attempts.remove(id) else {
            return;
        };
        if self.requests.get(id.request).is_some_and(|request| request.forwarded.is_consumed()) {
            self.decisions.push(Event::BodyConsumed(id.request));
        }
        if let Some(response) = result.response {
            self.requests.respond(id.request, FinalResponse::Success(response));
        }
        self.decisions.push(Event::AttemptEnded(EndedAttempt {
            id: id.request,
            backend: sent.backend,
            attempt: id.number,
            outcome: result.outcome,
            duration: self.clock.now() - sent.sent_at,
            request_finished: !self.requests.contains(id.request),
            report: result.report,
        }));
    }

    /// Notifies the module that an attempt which it asked for was not sent.
    pub(super) fn report_not_sent(&mut self, id: RequestId, backend: BackendId) {
        self.decisions.push(Event::AttemptEnded(EndedAttempt {
            id,
            backend,
            attempt: self.requests.get(id).map_or(0, |request| request.attempts_sent),
            outcome: Outcome::NotSent,
            duration: 0.0,
            request_finished: !self.requests.contains(id),
            report: None,
        }));
    }

    /// Aborts an attempt.
    pub(super) fn cancel(&mut self, id: AttemptId) {
        match self.attempts.write_progress(id) {
            Some(WriteProgress::Incomplete) => self.abort(id, Outcome::NotSent),
            Some(WriteProgress::Complete) => self.abort(id, Outcome::Cancelled),
            None => {} // it has ended before
        }
    }

    /// Aborts an attempt that has not been written completely; any other goes on.
    pub(super) fn withdraw(&mut self, id: AttemptId) {
        if self.attempts.write_progress(id) == Some(WriteProgress::Incomplete) {
            self.abort(id, Outcome::NotSent);
        }
    }

    /// Aborts an attempt that has not been written completely in time; any other goes on.
    pub(super) fn write_deadline_expired(&mut self, id: AttemptId) {
        if self.attempts.write_progress(id) == Some(WriteProgress::Incomplete) {
            self.abort(id, Outcome::NoConnection);
        }
    }

    /// Aborts an attempt that has no response in time.
    pub(super) fn attempt_deadline_expired(&mut self, id: AttemptId) {
        match self.attempts.write_progress(id) {
            Some(WriteProgress::Incomplete) => self.abort(id, Outcome::NoConnection),
            Some(WriteProgress::Complete) => self.abort(id, Outcome::Timeout),
            None => {} // it has ended before
        }
    }

    /// Fails a request that the module has not decided on in time, so that its client gets a response.
    pub(super) fn request_deadline_expired(&mut self, id: RequestId) {
        if self.requests.respond(id, FinalResponse::Failed) {
            self.decisions.push(Event::ClientDisconnected(id));
        }
    }

    fn abort(&mut self, id: AttemptId, outcome: Outcome) {
        self.end_attempt(id, AttemptResult::without_response(outcome));
    }
}
