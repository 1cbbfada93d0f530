//! The order of decisions when an attempt is made, and when a timer of a call fires.

use super::Balancer;
use crate::decisions::attempts::{self, Attempt, PermittedAttempt};
use crate::decisions::calls::CallKey;
use crate::decisions::decision_context::DecisionContext;
use crate::decisions::placement::{Constraints, Placement, Placer};
use crate::decisions::retransmission::retry_probability;
use crate::decisions::scope::Scope;
use crate::decisions::timer::Timer;
use crate::interface::{Action, Endpoint, Time};
use crate::support::BackendIndex;
use rand::Rng;

/// The conclusion from the silence of a backend for an attempt in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Silence {
    /// The attempt may still be answered, and has taken as long as it has waited so far.
    Waiting,
    /// The attempt has failed, as the time of its call is up.
    Failed,
}

impl Balancer {
    /// Returns the bounds of the next attempt of a call, or None if the call must not be sent.
    pub(super) fn permitted_attempt(&self, key: CallKey) -> Option<PermittedAttempt> {
        attempts::next_attempt(&self.calls[key], self.now, self.settings.quantum)
    }

    /// Sends a call, the first time or again, if an attempt is permitted and a backend can be found.
    /// Returns whether an attempt was sent.
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
        self.calls.clear_lack_of_capacity(key);
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
        let mut placer = Placer { backends: &mut self.backends, context: &mut context };
        let constraints = Constraints { scope, tried: &tried };
        let Placement { backend, alternative } = placer.place(alternative, constraints)?;
        if let Some(alternative) = alternative {
            self.calls[key].set_alternative(alternative);
        }
        Some(backend)
    }

    /// Requests a health check, if one is due after a send and the settings ask for load reports by them.
    fn schedule_health_check(&mut self, actions: &mut Vec<Action>) {
        let due = self.backends.next_health_check();
        if let Some(backend) = due.filter(|_| self.settings.health_checks_for_load_reports) {
            actions.push(Action::HealthCheck(backend));
        }
    }

    /// Sets the next doubling timer of a call, if there is one.
    pub(super) fn set_retry_timer(&mut self, key: CallKey, actions: &mut Vec<Action>) {
        if let Some(at) = self.calls[key].schedule_retry_timer(&mut self.random) {
            actions.push(Action::SetTimer { at, token: Timer::Retry(key).into() });
        }
    }

    /// Retries a call whose doubling timer has fired with the present probability, if an attempt is
    /// permitted.
    ///
    /// A backend that has answered other calls since is alive, and the call merely long: a hedged attempt
    /// would double the work of the longest calls, which overloads a busy fleet. That holds for one
    /// timer. A call that is in flight for 3 T1 may never be answered, as its connection may stand still,
    /// or its backend may have fallen silent since.
    pub(super) fn on_retry_timer(&mut self, key: CallKey, actions: &mut Vec<Action>) {
        self.calls[key].record_retry_timer_firing();
        self.set_retry_timer(key, actions);
        let is_alive = self.observe_silence(key, Silence::Waiting);
        let is_merely_long = is_alive && self.calls[key].retry_timer().has_fired_once();
        let probability = self.retry_probability(key);
        if !is_merely_long
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
    /// The overload level lowers the probability of hedged attempts, which cost work twice, and of
    /// retries that busy backends rejected. A call that got no connection has cost no work, and counts
    /// among the admitted calls already.
    fn retry_probability(&mut self, key: CallKey) -> f64 {
        let has_reached_no_backend = self.calls[key].has_reached_no_backend();
        let overload_level = if has_reached_no_backend { 0.0 } else { self.overload_level() };
        let t1 = self.calls[key].retry_timer().t1();
        let sends_per_second = self.traffic.sends_per_second(self.now);
        retry_probability(t1, self.calls.unanswered(), sends_per_second, overload_level)
    }

    /// Fails a call whose time is up. The time-out of its attempt finds the call gone, so that a backend
    /// which hangs has to be noticed here.
    pub(super) fn on_deadline(&mut self, key: CallKey, actions: &mut Vec<Action>) {
        self.observe_silence(key, Silence::Failed);
        self.finish_unserved(key, actions);
    }

    /// Records the latency of the attempts in flight at backends that have answered nothing since the
    /// sends. Returns whether another backend of the call has answered since, and so is alive.
    fn observe_silence(&mut self, key: CallKey, silence: Silence) -> bool {
        let mut is_alive = false;
        let call = &self.calls[key];
        let expected = self.traffic.expected_latency(call.current_class());
        let outliers = self.backends.outliers_mut();
        for attempt in call.attempts().iter().filter(|attempt| attempt.is_in_flight()) {
            let Attempt { backend, sent_at, .. } = *attempt;
            let waited: Time = self.now - sent_at;
            if outliers.has_succeeded_since(backend, sent_at) {
                is_alive = true;
                continue;
            }
            match silence {
                Silence::Waiting => outliers.record_wait(backend, waited, expected, self.now),
                Silence::Failed => outliers.record_failure(backend, waited, expected, self.now),
            }
        }
        is_alive
    }
}
