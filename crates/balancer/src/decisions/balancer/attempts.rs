//! The order of decisions when an attempt is made, and when a timer of a call fires.

use super::Balancer;
use crate::decisions::attempts::{self, Attempt, PermittedAttempt};
use crate::decisions::calls::CallKey;
use crate::decisions::decision_context::DecisionContext;
use crate::decisions::placement::{BackendPicker, Constraints, Placement};
use crate::decisions::retransmission::retry_probability;
use crate::decisions::scope::Scope;
use crate::decisions::timer::Timer;
use crate::interface::{Action, Endpoint, Time};
use crate::support::BackendIndex;
use rand::Rng;

/// The state of an attempt in flight that its backend has not answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum UnansweredAttempt {
    /// The attempt may still be answered. Its latency is at least the wait so far.
    Waiting,
    /// The attempt has failed, because the deadline of its call has passed.
    TimedOut,
}

impl Balancer {
    /// Returns the limits of the next attempt of a call, or `None` if the call must not be sent.
    pub(super) fn permitted_attempt(&self, key: CallKey) -> Option<PermittedAttempt> {
        attempts::next_attempt(&self.calls[key], self.now, self.settings.clock_resolution)
    }

    /// Sends the next attempt of a call, if an attempt is permitted and a backend is available. Returns
    /// whether an attempt was sent.
    pub(super) fn send(&mut self, key: CallKey, actions: &mut Vec<Action>) -> bool {
        let Some(PermittedAttempt { scope, write_deadline }) = self.permitted_attempt(key) else {
            return false;
        };
        let Some(index) = self.place(key, scope) else { return false };
        if !self.calls[key].body().is_receiving {
            self.backends.record_request_received(index, self.now);
        }
        self.backends.record_send(index);
        let Endpoint { id: backend, cell, zone, .. } = *self.backends.endpoint(index);
        let call = &mut self.calls[key];
        call.add_attempt(Attempt { backend: index, cell, zone, sent_at: self.now, outcome: None });
        actions.push(Action::Send {
            id: call.id(),
            backend,
            timeout: call.deadline() - self.now,
            write_within: write_deadline - self.now,
        });
        self.calls.clear_unaccepted_attempt(key);
        self.schedule_health_check(actions);
        true
    }

    fn place(&mut self, key: CallKey, scope: Scope) -> Option<BackendIndex> {
        let call = &mut self.calls[key];
        let tried: Vec<_> = call.attempts().iter().map(|attempt| attempt.backend).collect();
        let alternative = call.take_alternative();
        let mut context = DecisionContext {
            now: self.now,
            settings: &self.settings,
            traffic: &mut self.traffic,
            random: &mut self.random,
        };
        let mut picker = BackendPicker { backends: &mut self.backends, context: &mut context };
        let constraints = Constraints { scope, tried: &tried };
        let Placement { backend, alternative } = picker.place(alternative, constraints)?;
        if let Some(alternative) = alternative {
            self.calls[key].set_alternative(alternative);
        }
        Some(backend)
    }

    /// Requests a health check, if one is due after a send and the settings require health checks for load
    /// reports.
    fn schedule_health_check(&mut self, actions: &mut Vec<Action>) {
        let due = self.backends.next_health_check();
        if let Some(backend) = due.filter(|_| self.settings.health_checks_for_load_reports) {
            actions.push(Action::HealthCheck(backend));
        }
    }

    /// Sets the next retry timer of a call, if the call has a further one.
    pub(super) fn set_retry_timer(&mut self, key: CallKey, actions: &mut Vec<Action>) {
        if let Some(at) = self.calls[key].schedule_retry_timer(&mut self.random) {
            actions.push(Action::SetTimer { at, token: Timer::Retry(key).into() });
        }
    }

    /// Retries a call whose retry timer has fired, with the present retry probability and if an attempt is
    /// permitted.
    ///
    /// When the first timer fires and the backend has answered other calls since the send, the backend
    /// works and the call merely takes long. Such a call is not retried: hedged attempts would double the
    /// work of the longest calls, and overload a busy fleet. When the second timer fires, 3 T1 after the
    /// dispatch, the call may be retried in any case: its connection may be stalled, or its backend may
    /// have stopped responding in the meantime.
    pub(super) fn on_retry_timer(&mut self, key: CallKey, actions: &mut Vec<Action>) {
        self.calls[key].record_retry_timer_firing();
        self.set_retry_timer(key, actions);
        let backend_responds = self.record_unanswered_attempts(key, UnansweredAttempt::Waiting);
        let skips_first_retry = backend_responds && self.calls[key].retry_timer().has_fired_once();
        let probability = self.retry_probability(key);
        if !skips_first_retry
            && self.permitted_attempt(key).is_some()
            && self.random.random::<f64>() < probability
        {
            self.send(key, actions);
        }
        let call = &self.calls[key];
        if !call.retry_timer().is_set() && !call.has_attempt_in_flight() {
            self.finish_unserved(key, actions);
        }
    }

    /// Returns the present probability of a retry.
    ///
    /// The overload level lowers the probability of hedged attempts, which double the work of a request,
    /// and of retries after a rejection by a busy backend. The overload level does not apply to a call that
    /// got no connection: the call has caused no work, and has been admitted already.
    fn retry_probability(&mut self, key: CallKey) -> f64 {
        let has_reached_no_backend = self.calls[key].has_reached_no_backend();
        let overload_level = if has_reached_no_backend { 0.0 } else { self.overload_level() };
        let t1 = self.calls[key].retry_timer().t1();
        let sends_per_second = self.traffic.sends_per_second(self.now);
        retry_probability(t1, self.calls.unanswered(), sends_per_second, overload_level)
    }

    /// Ends a call at its deadline. The failure of a backend that hangs is recorded here, because the call no
    /// longer exists when the timeout of its attempt is reported.
    pub(super) fn on_deadline(&mut self, key: CallKey, actions: &mut Vec<Action>) {
        self.record_unanswered_attempts(key, UnansweredAttempt::TimedOut);
        self.finish_unserved(key, actions);
    }

    /// Records the wait of each attempt in flight of a call, as a latency or as a failure depending on
    /// `state`. Skips an attempt whose backend has responded to another call since the send, and returns
    /// whether there is such an attempt.
    fn record_unanswered_attempts(&mut self, key: CallKey, state: UnansweredAttempt) -> bool {
        let mut backend_responds = false;
        let call = &self.calls[key];
        let expected = self.traffic.expected_latency(call.current_class());
        let outliers = self.backends.outliers_mut();
        for attempt in call.attempts().iter().filter(|attempt| attempt.is_in_flight()) {
            let Attempt { backend, sent_at, .. } = *attempt;
            let waited: Time = self.now - sent_at;
            if outliers.has_succeeded_since(backend, sent_at) {
                backend_responds = true;
                continue;
            }
            match state {
                UnansweredAttempt::Waiting => outliers.record_wait(backend, waited, expected, self.now),
                UnansweredAttempt::TimedOut => outliers.record_failure(backend, waited, expected, self.now),
            }
        }
        backend_responds
    }
}
