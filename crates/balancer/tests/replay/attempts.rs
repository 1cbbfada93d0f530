//! The requests of a simulation, and their attempts.

use crate::agenda::Occurrence;
use crate::simulated_backends::AttemptEnd;
use crate::simulation::{OpenRequest, Simulation};
use balancer::{
    AttemptId, AttemptNumber, BackendId, ClassIndex, EndedAttempt, Event, Outcome, Request, RequestId,
    TenantIndex, Time,
};
use rand::Rng;

/// The number of ordering keys in use.
const ORDERING_KEYS: u64 = 6;
/// The fraction of attempts that are written at once on an idle connection.
const WRITTEN_AT_ONCE: f64 = 0.6;
/// The fraction of attempts whose connection is never established.
const NEVER_CONNECTED: f64 = 0.02;
/// The longest time until a connection is established, in seconds.
const MAX_CONNECT_DURATION: Time = 0.03;
/// The longest duration of a streamed body, in seconds.
const MAX_BODY_DURATION: Time = 0.2;
/// The fraction of error responses that are passed on to the client.
const FINAL_ERRORS: f64 = 0.4;

/// An attempt in flight.
#[derive(Clone, Copy, Debug)]
pub struct OpenAttempt {
    backend: BackendId,
    sent_at: Time,
    written_at: Time,
    outcome: Outcome,
}

impl Simulation<'_> {
    fn is_drawn(&mut self, probability: f64) -> bool {
        self.random.random::<f64>() < probability
    }

    /// Handles the arrival of a request, and plans the next arrival.
    pub(crate) fn request_arrives(&mut self) {
        let until_next = 2.0 * self.random.random::<f64>() / self.rate;
        if self.now + until_next < self.scenario.duration {
            self.agenda.add(self.now + until_next, Occurrence::Arrival);
        }
        self.last_request += 1;
        let id = RequestId(self.last_request);
        let traffic = self.scenario.traffic;
        let class = ClassIndex(self.random.random_range(0..self.settings.classes.len()));
        let tenants = self.settings.tenants.len();
        let tenant = (tenants > 0).then(|| TenantIndex(self.random.random_range(0..tenants)));
        let key = self.is_drawn(0.9).then(|| self.random.random_range(0..ORDERING_KEYS));
        let timeout_fraction =
            traffic.least_timeout + (1.0 - traffic.least_timeout) * self.random.random::<f64>();
        let timeout = timeout_fraction * self.settings.class(class).max_timeout;
        let streaming_body = self.is_drawn(traffic.streamed);
        let body_duration = if streaming_body { self.plan_body(id) } else { 0.0 };
        let body_received_at = self.now + body_duration;
        self.requests.insert(id, OpenRequest { body_received_at, timeout, attempts: 0 });
        if self.is_drawn(traffic.disconnecting) {
            let until_disconnect = timeout * self.random.random::<f64>();
            self.agenda.add(self.now + until_disconnect, Occurrence::ClientDisconnects(id));
        }
        self.handle(Event::Request(Request { id, class, tenant, key, timeout, streaming_body }));
    }

    /// Plans the transfer of the body of a request, and returns the duration in seconds.
    fn plan_body(&mut self, id: RequestId) -> Time {
        let duration = MAX_BODY_DURATION * self.random.random::<f64>();
        if self.is_drawn(0.5) {
            self.agenda.add(self.now + 0.5 * duration, Occurrence::BodyConsumed(id));
        }
        self.agenda.add(self.now + duration, Occurrence::BodyReceived(id));
        duration
    }

    pub(crate) fn send_attempt(
        &mut self,
        request: RequestId,
        backend: BackendId,
        timeout: Time,
        write_within: Time,
    ) {
        let Some(open) = self.requests.get_mut(&request) else {
            panic!("{request:?} is sent after its final response");
        };
        let number = AttemptNumber(open.attempts);
        open.attempts += 1;
        let body_received_at = self.now.max(open.body_received_at);
        let timeout = timeout.min(open.timeout);
        let connect_duration = self.draw_connect_duration();
        let mut end = self.backends.begin_attempt(backend, timeout, &mut self.random);
        let mut ends_at = body_received_at + end.duration;
        if connect_duration > write_within {
            end.outcome = Outcome::NotSent;
            ends_at = self.now + write_within;
        }
        let attempt = AttemptId { request, number };
        self.plan_response(attempt, end, ends_at);
        let written_at = self.now + connect_duration;
        let open = OpenAttempt { backend, sent_at: self.now, written_at, outcome: end.outcome };
        self.attempts.insert(attempt, open);
    }

    fn draw_connect_duration(&mut self) -> Time {
        let draw: f64 = self.random.random();
        if draw < WRITTEN_AT_ONCE {
            0.0
        } else if draw > 1.0 - NEVER_CONNECTED {
            Time::INFINITY
        } else {
            MAX_CONNECT_DURATION * self.random.random::<f64>()
        }
    }

    fn plan_response(&mut self, attempt: AttemptId, end: AttemptEnd, ends_at: Time) {
        let is_streamed = self.is_drawn(self.scenario.traffic.streamed);
        if is_streamed && end.outcome == Outcome::Success {
            let starts_at = ends_at - 0.3 * end.duration;
            self.agenda.add(starts_at, Occurrence::ResponseStarts(attempt));
        }
        self.agenda.add(ends_at, Occurrence::AttemptEnds(attempt));
    }

    pub(crate) fn response_starts(&mut self, attempt: AttemptId) {
        let AttemptId { request, number } = attempt;
        if self.attempts.contains_key(&attempt) && self.requests.remove(&request).is_some() {
            self.handle(Event::ResponseStarted { id: request, attempt: number });
        }
    }

    pub(crate) fn attempt_ends(&mut self, attempt: AttemptId) {
        let Some(ended) = self.attempts.remove(&attempt) else { return };
        self.backends.end_attempt(ended.backend);
        let is_answered = matches!(ended.outcome, Outcome::Success | Outcome::Error);
        let is_final = ended.outcome == Outcome::Success || is_answered && self.is_drawn(FINAL_ERRORS);
        if is_final {
            self.requests.remove(&attempt.request);
        }
        let reports = is_answered && !self.settings.health_checks_for_load_reports;
        let report = if reports { self.backends.report(ended.backend, &mut self.random) } else { None };
        self.handle(Event::AttemptEnded(EndedAttempt {
            id: attempt.request,
            backend: ended.backend,
            attempt: attempt.number,
            outcome: ended.outcome,
            duration: self.now - ended.sent_at,
            request_finished: is_final,
            report,
        }));
    }

    pub(crate) fn cancel(&mut self, attempt: AttemptId) {
        self.end_early(attempt, Outcome::Cancelled);
    }

    /// Ends an attempt unless all of the request has been written.
    pub(crate) fn withdraw(&mut self, attempt: AttemptId) {
        if self.attempts.get(&attempt).is_some_and(|open| self.now < open.written_at) {
            self.end_early(attempt, Outcome::NotSent);
        }
    }

    fn end_early(&mut self, attempt: AttemptId, outcome: Outcome) {
        if let Some(open) = self.attempts.get_mut(&attempt) {
            open.outcome = outcome;
            self.agenda.add(self.now, Occurrence::AttemptEnds(attempt));
        }
    }
}
