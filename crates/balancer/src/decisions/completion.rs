//! The end of attempts and calls. Each call gets exactly one final response, unless its client has
//! disconnected.

use crate::interface::*;
use crate::state::{Attempt, BackendIndex, Balancer, Call, CallKey};

impl Balancer {
    /// An attempt has ended: updates its backend, its ordering key, and its call if that is unfinished.
    pub(super) fn on_attempt_ended(&mut self, ended: EndedAttempt, actions: &mut Vec<Action>) {
        let key = self.calls.key_of(ended.id);
        if let Some(index) = self.backends.index_of(ended.backend) {
            self.count_ended_attempt(index, key, &ended);
            self.on_load_report(ended.backend, ended.report);
            self.close_idle_if_draining(index, actions);
            if let Some(key) = key {
                self.learn_from_outcome(index, key, &ended);
            }
        }
        // An attempt of an ended call may have held up its ordering key.
        let orphan_key = self.key_queues.settle_orphan(ended.id, ended.attempt);
        let ordering_key = key.map_or(orphan_key, |key| self.calls[key].ordering_key);
        if let Some(ordering_key) = ordering_key {
            self.rest_ordering_key(ordering_key, ended.outcome);
        }
        match (key, orphan_key) {
            (Some(key), _) => self.on_outcome(key, &ended, actions),
            (None, Some(orphan_key)) => self.advance(orphan_key, actions),
            (None, None) => {}
        }
    }

    fn count_ended_attempt(&mut self, index: BackendIndex, key: Option<CallKey>, ended: &EndedAttempt) {
        let is_receiving = key.is_some_and(|key| self.calls[key].body.is_receiving);
        let backend = &mut self.backends[index];
        backend.in_flight = backend.in_flight.saturating_sub(usize::from(!is_receiving));
        if matches!(ended.outcome, Outcome::Success | Outcome::Error | Outcome::Rejected | Outcome::Reset) {
            backend.last_active_at = self.now;
        }
    }

    fn learn_from_outcome(&mut self, index: BackendIndex, key: CallKey, ended: &EndedAttempt) {
        let call = &self.calls[key];
        let learned_class = call.learned_class;
        match ended.outcome {
            Outcome::Success => self.learn_from_success(index, key, ended.duration),
            Outcome::Cancelled | Outcome::NotSent => {}
            _ if call.body.is_receiving => {}
            _ => self.learn_failure(index, learned_class, ended.duration),
        }
    }

    fn learn_from_success(&mut self, index: BackendIndex, key: CallKey, duration: Time) {
        self.backends[index].last_success_at = self.now;
        self.traffic.served.record(self.now, self.traffic.memory);
        let call = &self.calls[key];
        if call.body.is_streamed {
            return; // how long a body took says nothing of its backend
        }
        let learned_class = call.learned_class;
        let objective = call.request_class().latency_objective;
        self.learn_success(index, learned_class, duration);
        self.record_latency(learned_class, duration, objective);
    }

    /// Ends the call, or leaves it to its next timer if it has one and may be sent then.
    fn on_outcome(&mut self, key: CallKey, ended: &EndedAttempt, actions: &mut Vec<Action>) {
        if let Some(attempt) = self.calls[key].attempts.get_mut(ended.attempt) {
            attempt.outcome = Some(ended.outcome);
        }
        if ended.request_finished {
            return self.finish(key, Some(ended.attempt), actions);
        }
        if self.calls[key].has_attempt_in_flight() {
            return; // a hedged attempt may still be answered
        }
        if matches!(ended.outcome, Outcome::Rejected | Outcome::NoConnection) {
            self.calls.set_lacks_capacity(key, true);
        }
        if !self.calls[key].retry_timer.is_set || self.permitted_attempt(key).is_none() {
            self.finish_unserved(key, actions);
        }
    }

    /// Gives the final response to a call that was not served: a rejection if trying it again is
    /// harmless, else a failure.
    pub(super) fn finish_unserved(&mut self, key: CallKey, actions: &mut Vec<Action>) {
        let call = &self.calls[key];
        let id = call.id;
        let is_harmless = match call.request_class().effect {
            Effect::Safe | Effect::Idempotent { group: IdempotencyGroup::All, .. } => true,
            _ => !call.attempts.iter().any(Attempt::may_have_run),
        };
        actions.push(if is_harmless {
            Action::Reject { id, retry_after: self.retry_after(call.retry_timer.t1) }
        } else {
            Action::Fail { id }
        });
        self.finish(key, None, actions);
    }

    /// Finishes a call from outside: its response has started, or its client has disconnected.
    pub(super) fn finish_by_id(&mut self, id: RequestId, answered: Option<usize>, actions: &mut Vec<Action>) {
        if let Some(key) = self.calls.key_of(id) {
            self.finish(key, answered, actions);
        }
    }

    /// Drops a call, and ends its attempts but for the one that was `answered`.
    fn finish(&mut self, key: CallKey, answered: Option<usize>, actions: &mut Vec<Action>) {
        if self.calls[key].body.is_receiving {
            self.count_as_received(key);
        }
        let Some(call) = self.calls.remove(key) else { return };
        self.end_attempts(&call, answered, actions);
        if call.is_waiting {
            self.waiting_queue.remove(key);
        }
        if let Some(ordering_key) = call.ordering_key {
            self.key_queues.remove(ordering_key, key, &call);
            self.advance(ordering_key, actions);
        }
    }

    /// Attempts that have been written completely end only where cancellation is allowed, those that still
    /// wait for their connection always.
    fn end_attempts(&mut self, call: &Call, answered: Option<usize>, actions: &mut Vec<Action>) {
        let id = call.id;
        for (attempt, sent) in call.attempts.iter().enumerate() {
            self.backends[sent.backend].references -= 1;
            if sent.is_in_flight() && answered != Some(attempt) {
                let may_cancel = call.settings.cancellation_allowed;
                let withdraw = Action::Withdraw { id, attempt };
                actions.push(if may_cancel { Action::Cancel { id, attempt } } else { withdraw });
            }
        }
    }
}
