//! The requests of a simulation, and their attempts.

use crate::event_queue::SimulationEvent;
use crate::simulated_backends::AttemptEnd;
use crate::simulation::{OpenRequest, Simulation};
use balancer::{
    AttemptId, AttemptNumber, BackendId, ClassIndex, EndedAttempt, Event, Outcome, Request, RequestId,
    TenantIndex, Time,
};
use rand::Rng;

/// The number of different ordering keys.
const ORDERING_KEY_COUNT: u64 = 6;
/// The fraction of attempts that are written at once on an idle connection.
const WRITTEN_AT_ONCE_FRACTION: f64 = 0.6;
/// The fraction of attempts whose connection is never established.
const NEVER_CONNECTED_FRACTION: f64 = 0.02;
/// The longest time until a connection is established, in seconds.
const MAX_CONNECT_DURATION: Time = 0.03;
/// The longest duration of a streamed body, in seconds.
const MAX_BODY_DURATION: Time = 0.2;
/// The fraction of error responses that are forwarded to the client.
const FINAL_ERROR_FRACTION: f64 = 0.4;

/// An attempt in flight.
#[derive(Clone, Copy, Debug)]
pub struct OpenAttempt {
    backend: BackendId,
    sent_at: Time,
    written_at: Time,
    outcome: Outcome,
}

impl Simulation<'_> {
    fn draw_bool(&mut self, probability: f64) -> bool {
        self.random.random::<f64>() < probability
    }

    /// Handles the arrival of a request, and schedules the next arrival.
    pub(crate) fn handle_arrival(&mut self) {
        let until_next = 2.0 * self.random.random::<f64>() / self.rate;
        if self.now + until_next < self.scenario.duration {
            self.event_queue.add(self.now + until_next, SimulationEvent::Arrival);
        }
        self.last_request_id += 1;
        let id = RequestId(self.last_request_id);
        let traffic = self.scenario.traffic;
        let class = ClassIndex(self.random.random_range(0..self.settings.classes.len()));
        let tenants = self.settings.tenants.len();
        let tenant = (tenants > 0).then(|| TenantIndex(self.random.random_range(0..tenants)));
        let key = self.draw_bool(0.9).then(|| self.random.random_range(0..ORDERING_KEY_COUNT));
        let timeout_fraction =
            traffic.min_timeout_fraction + (1.0 - traffic.min_timeout_fraction) * self.random.random::<f64>();
        let timeout = timeout_fraction * self.settings.class(class).max_timeout;
        let streaming_body = self.draw_bool(traffic.streamed_fraction);
        let body_duration = if streaming_body { self.schedule_body(id, timeout) } else { 0.0 };
        let body_received_at = self.now + body_duration;
        self.requests.insert(id, OpenRequest { body_received_at, timeout, attempts: 0 });
        if self.draw_bool(traffic.disconnecting_fraction) {
            let until_disconnect = timeout * self.random.random::<f64>();
            self.event_queue.add(self.now + until_disconnect, SimulationEvent::ClientDisconnects(id));
        }
        self.handle(Event::Request(Request { id, class, tenant, key, timeout, streaming_body }));
    }

    /// Schedules the transfer of the body of a request with this timeout, and returns the duration in
    /// seconds, which is infinite if no backend takes the body.
    fn schedule_body(&mut self, id: RequestId, timeout: Time) -> Time {
        let duration = MAX_BODY_DURATION * self.random.random::<f64>();
        if self.draw_bool(0.5) {
            self.event_queue.add(self.now + 0.5 * duration, SimulationEvent::BodyConsumed(id));
        }
        // Scenarios without such bodies draw nothing here, so that their digests stay the same.
        let stalled_fraction = self.scenario.traffic.stalled_fraction;
        if stalled_fraction > 0.0 && self.draw_bool(stalled_fraction) {
            self.event_queue.add(self.now + duration + timeout, SimulationEvent::BodyStalls(id));
            return Time::INFINITY;
        }
        self.event_queue.add(self.now + duration, SimulationEvent::BodyReceived(id));
        duration
    }

    /// Reports that no backend takes the body of a request, and ends the attempts of the request.
    pub(crate) fn stall_body(&mut self, id: RequestId) {
        let open_attempts: Vec<_> =
            self.attempts.keys().copied().filter(|attempt| attempt.request == id).collect();
        self.handle(Event::BodyStalled(id));
        for attempt in open_attempts {
            self.schedule_end_now(attempt, Outcome::NoConnection);
        }
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
        self.schedule_response(attempt, end, ends_at);
        let written_at = self.now + connect_duration;
        let open = OpenAttempt { backend, sent_at: self.now, written_at, outcome: end.outcome };
        self.attempts.insert(attempt, open);
    }

    fn draw_connect_duration(&mut self) -> Time {
        let draw: f64 = self.random.random();
        if draw < WRITTEN_AT_ONCE_FRACTION {
            0.0
        } else if draw > 1.0 - NEVER_CONNECTED_FRACTION {
            Time::INFINITY
        } else {
            MAX_CONNECT_DURATION * self.random.random::<f64>()
        }
    }

    fn schedule_response(&mut self, attempt: AttemptId, end: AttemptEnd, ends_at: Time) {
        let is_streamed = self.draw_bool(self.scenario.traffic.streamed_fraction);
        if is_streamed && end.outcome == Outcome::Success {
            let starts_at = ends_at - 0.3 * end.duration;
            self.event_queue.add(starts_at, SimulationEvent::ResponseStarts(attempt));
        }
        self.event_queue.add(ends_at, SimulationEvent::AttemptEnds(attempt));
    }

    pub(crate) fn handle_response_start(&mut self, attempt: AttemptId) {
        let AttemptId { request, number } = attempt;
        if self.attempts.contains_key(&attempt) && self.requests.remove(&request).is_some() {
            self.handle(Event::ResponseStarted { id: request, attempt: number });
        }
    }

    pub(crate) fn handle_attempt_end(&mut self, attempt: AttemptId) {
        let Some(ended) = self.attempts.remove(&attempt) else { return };
        self.backends.end_attempt(ended.backend);
        let has_response = matches!(ended.outcome, Outcome::Success | Outcome::Error);
        let is_final =
            ended.outcome == Outcome::Success || has_response && self.draw_bool(FINAL_ERROR_FRACTION);
        if is_final {
            self.requests.remove(&attempt.request);
        }
        let reports = has_response && !self.settings.health_checks_for_load_reports;
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
        self.schedule_end_now(attempt, Outcome::Cancelled);
    }

    /// Ends an attempt unless the request has been written completely.
    pub(crate) fn withdraw(&mut self, attempt: AttemptId) {
        if self.attempts.get(&attempt).is_some_and(|open| self.now < open.written_at) {
            self.schedule_end_now(attempt, Outcome::NotSent);
        }
    }

    fn schedule_end_now(&mut self, attempt: AttemptId, outcome: Outcome) {
        if let Some(open) = self.attempts.get_mut(&attempt) {
            open.outcome = outcome;
            self.event_queue.add(self.now, SimulationEvent::AttemptEnds(attempt));
        }
    }
}
