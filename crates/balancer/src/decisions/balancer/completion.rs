//! The order of decisions when an attempt or a call ends. Each call gets exactly one final response,
//! unless its client has disconnected.

use super::Balancer;
use crate::decisions::attempts::is_safe_to_retry;
use crate::decisions::calls::{Call, CallKey};
use crate::decisions::ordered_keys::may_still_run;
use crate::decisions::traffic::LoadState;
use crate::interface::{Action, AttemptNumber, EndedAttempt, Outcome, RequestId, Time};
use crate::support::BackendIndex;

impl Balancer {
    /// Updates the backend and the ordering key of an attempt that has ended, and the call of the attempt
    /// if the call is unfinished.
    pub(super) fn on_attempt_ended(&mut self, ended: EndedAttempt, actions: &mut Vec<Action>) {
        let key = self.calls.key_of(ended.id);
        if let Some(index) = self.backends.index_of(ended.backend) {
            self.record_attempt_end(index, key, &ended);
            self.backends.record_load_report(ended.backend, ended.report, self.now);
            self.close_idle_if_draining(index, actions);
            if let Some(key) = key {
                self.observe_outcome(index, key, &ended);
            }
        }
        // An attempt of an ended call may have blocked its ordering key.
        let ended_call_ordering_key = self.ordered_keys.remove_attempt_of_ended_call(ended.id, ended.attempt);
        let ordering_key = key.map_or(ended_call_ordering_key, |key| self.calls[key].ordering_key());
        if let Some(ordering_key) = ordering_key.filter(|_| may_still_run(ended.outcome)) {
            // Times are rounded to the clock resolution. Adding the resolution ensures that the key is
            // blocked for the full duration.
            let until = self.now + self.settings.key_block_duration + self.settings.clock_resolution;
            self.ordered_keys.block_until(ordering_key, until);
        }
        match (key, ended_call_ordering_key) {
            (Some(key), _) => self.on_outcome(key, &ended, actions),
            (None, Some(ended_call_ordering_key)) => self.dispatch_next(ended_call_ordering_key, actions),
            (None, None) => {}
        }
    }

    fn record_attempt_end(&mut self, index: BackendIndex, key: Option<CallKey>, ended: &EndedAttempt) {
        let is_receiving = key.is_some_and(|key| self.calls[key].body().is_receiving);
        if !is_receiving {
            self.backends.record_attempt_end(index);
        }
        let has_responded =
            matches!(ended.outcome, Outcome::Success | Outcome::Error | Outcome::Rejected | Outcome::Reset);
        if has_responded {
            self.backends.outliers_mut().record_activity(index, self.now);
        }
    }

    /// Updates outlier detection by the outcome of an attempt, and the traffic statistics by a success.
    fn observe_outcome(&mut self, index: BackendIndex, key: CallKey, ended: &EndedAttempt) {
        let call = &self.calls[key];
        match ended.outcome {
            Outcome::Success => self.observe_success(index, key, ended.duration),
            Outcome::Cancelled | Outcome::NotSent => {}
            _ if call.body().is_receiving => {}
            _ => {
                let expected = self.traffic.expected_latency(call.current_class());
                self.backends.outliers_mut().record_failure(index, ended.duration, expected, self.now);
            }
        }
    }

    /// Records a successful attempt and its latency, in seconds. The latency of a streamed request is not
    /// recorded, because it depends on the client rather than the backend.
    fn observe_success(&mut self, index: BackendIndex, key: CallKey, latency: Time) {
        self.backends.outliers_mut().record_success(index, self.now);
        self.traffic.record_success(self.now);
        let call = &self.calls[key];
        if call.body().is_streamed {
            return;
        }
        let class = call.current_class();
        let objective = call.request_class().latency_objective;
        let expected = self.traffic.expected_latency(class);
        self.backends.outliers_mut().record_latency(index, latency, expected, self.now);
        let is_overloaded = self.overload_level() > 0.0;
        let load = if is_overloaded { LoadState::Overloaded } else { LoadState::Normal };
        self.traffic.record_latency(class, latency, objective, load);
    }

    /// Records the outcome of an attempt. Ends its call if the attempt gave the final response, or if no
    /// attempt is in flight and the call cannot be retried when its next retry timer fires.
    fn on_outcome(&mut self, key: CallKey, ended: &EndedAttempt, actions: &mut Vec<Action>) {
        self.calls[key].record_outcome(ended.attempt, ended.outcome);
        if ended.request_finished {
            return self.finish(key, Some(ended.attempt), actions);
        }
        if self.calls[key].has_attempt_in_flight() {
            return; // another attempt may still be answered
        }
        if matches!(ended.outcome, Outcome::Rejected | Outcome::NoConnection) {
            self.calls.record_unaccepted_attempt(key);
        }
        if !self.calls[key].retry_timer().is_set() || self.permitted_attempt(key).is_none() {
            self.finish_unserved(key, actions);
        }
    }

    /// Ends a call that was not served. The final response is a rejection if the client may safely retry, and
    /// a failure otherwise.
    pub(super) fn finish_unserved(&mut self, key: CallKey, actions: &mut Vec<Action>) {
        let call = &self.calls[key];
        let id = call.id();
        if is_safe_to_retry(call) {
            actions.push(self.rejection(id, call.retry_timer().t1()));
        } else {
            actions.push(Action::Fail { id });
        }
        self.finish(key, None, actions);
    }

    pub(super) fn on_response_started(
        &mut self,
        id: RequestId,
        attempt: AttemptNumber,
        actions: &mut Vec<Action>,
    ) {
        if let Some(key) = self.calls.key_of(id) {
            self.finish(key, Some(attempt), actions);
        }
    }

    pub(super) fn on_client_disconnected(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        if let Some(key) = self.calls.key_of(id) {
            self.finish(key, None, actions);
        }
    }

    /// Removes a call, and ends its attempts in flight except for the `answered` one, which gave the final
    /// response.
    fn finish(&mut self, key: CallKey, answered: Option<AttemptNumber>, actions: &mut Vec<Action>) {
        if self.calls[key].body().is_receiving {
            self.stop_receiving(key);
        }
        let Some(call) = self.calls.remove(key) else { return };
        self.end_attempts(&call, answered, actions);
        if call.is_queued() {
            self.admission.queue_mut().remove(key);
        }
        if let Some(ordering_key) = call.ordering_key() {
            self.ordered_keys.remove(ordering_key, key, &call);
            self.dispatch_next(ordering_key, actions);
        }
    }

    /// Ends the attempts in flight of a finished call. Where cancellation is not allowed, the attempts are
    /// withdrawn, which ends only those that have not been written completely.
    fn end_attempts(&mut self, call: &Call, answered: Option<AttemptNumber>, actions: &mut Vec<Action>) {
        let id = call.id();
        for (attempt, sent) in call.numbered_attempts() {
            self.backends.record_call_end(sent.backend);
            if !sent.is_in_flight() || answered == Some(attempt) {
                continue;
            }
            actions.push(if call.settings().cancellation_allowed {
                Action::Cancel { id, attempt }
            } else {
                Action::Withdraw { id, attempt }
            });
        }
    }
}
