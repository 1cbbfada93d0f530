//! Admission: requests are counted, ranked, and rejected where they would come to nothing. At the entry
//! tier those of least priority for their work wait while pressure is high, and are shed if it lasts.

use crate::interface::*;
use crate::state::{Balancer, Call, CallKey, Timer};
use rand::Rng;

/// A call that has less than this part of the usual latency left would be given up half done.
const MIN_TIME_LEFT: f64 = 0.6;
/// Under pressure a request waits at the entry for up to this part of its timeout before it is rejected:
/// where few calls are in flight the excess comes and goes within a few responses.
const MAX_ADMISSION_WAIT: f64 = 0.25;
/// Clock quanta that a response needs to be out before the client gives up, as timers fire once a quantum.
const RESPONSE_QUANTA: f64 = 2.0;

impl Balancer {
    pub(super) fn on_request(&mut self, request: Request, actions: &mut Vec<Action>) {
        let timeout = self.useful_timeout(&request);
        let class = request.class;
        let ordering_key = request.key.filter(|_| self.settings.classes[class].ordered_by_key);
        let over_quota = self.count_arrival(class, request.tenant);
        let t1 = self.t1(class, timeout);
        let ahead = ordering_key.map_or(0, |key| self.key_queues.len(key));
        let min_timeout = self.min_time_left(class) * (ahead + 1) as f64;
        let rank = self.rank(class, over_quota);
        let must_wait = !self.admits(rank);
        if timeout <= min_timeout || must_wait && ordering_key.is_some() {
            return actions.push(Action::Reject { id: request.id, retry_after: self.retry_after(t1) });
        }
        let mut call = Call::new(&request, self.settings.clone(), self.now, timeout, t1);
        call.ordering_key = ordering_key;
        call.is_waiting = must_wait || ordering_key.is_some();
        let key = self.calls.insert(call);
        if !request.streaming_body {
            self.set_deadline_timer(key, actions);
        }
        if must_wait {
            return self.wait_for_admission(key, rank, actions);
        }
        match ordering_key {
            Some(ordering_key) => self.enqueue_by_key(ordering_key, key, actions),
            None => self.begin(key, actions),
        }
    }

    /// The time in which a response to the request is of use. The response must be out before the client
    /// gives up. Where a late one is worth nothing, waiting for it only keeps backends busy.
    fn useful_timeout(&self, request: &Request) -> Time {
        let class = &self.settings.classes[request.class];
        let timeout = request.timeout - RESPONSE_QUANTA * self.settings.quantum;
        if class.late_priority_weight <= 0.0 { timeout.min(class.latency_objective) } else { timeout }
    }

    /// The least time left, in seconds, with which a call is begun.
    pub(super) fn min_time_left(&self, learned_class: usize) -> Time {
        MIN_TIME_LEFT * self.traffic.latency[learned_class].mean
    }

    pub(super) fn set_deadline_timer(&self, key: CallKey, actions: &mut Vec<Action>) {
        let at = self.calls[key].deadline;
        actions.push(Action::SetTimer { at, token: Timer::Deadline(key).into() });
    }

    fn wait_for_admission(&mut self, key: CallKey, rank: f64, actions: &mut Vec<Action>) {
        self.waiting_queue.insert(rank, key);
        let at = self.now + MAX_ADMISSION_WAIT * self.calls[key].timeout;
        actions.push(Action::SetTimer { at, token: Timer::Turn(key).into() });
    }

    /// Begins a call: from now on it counts as sent, and its first attempt is made.
    fn begin(&mut self, key: CallKey, actions: &mut Vec<Action>) {
        self.calls.receiving += usize::from(self.calls[key].body.is_receiving);
        self.set_retry_timer(key, actions);
        self.traffic.sent.record(self.now, self.traffic.memory);
        if let Some(quota) = self.calls[key].tenant.and_then(|tenant| self.quotas.get_mut(tenant)) {
            quota.consume();
        }
        self.grow_subset();
        if !self.send(key, actions) && !self.calls[key].retry_timer.is_set {
            self.finish_unserved(key, actions);
        }
    }

    /// The body of a call has been received completely: its backend has it to process from now on, and its
    /// time runs.
    pub(super) fn on_body_received(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let receiving = |key: &CallKey| self.calls[*key].body.is_receiving;
        let Some(key) = self.calls.key_of(id).filter(receiving) else { return };
        self.count_as_received(key);
        let call = &mut self.calls[key];
        call.body.is_receiving = false;
        call.deadline = self.now + call.timeout;
        self.set_deadline_timer(key, actions);
    }

    pub(super) fn on_body_consumed(&mut self, id: RequestId) {
        if let Some(key) = self.calls.key_of(id) {
            self.calls[key].body.is_consumed = true;
        }
    }

    /// A backend that only receives a body is not at work on it, and can't respond: its calls in flight
    /// are those that have been received completely.
    pub(super) fn count_as_received(&mut self, key: CallKey) {
        let is_begun = !self.calls[key].is_waiting;
        self.calls.receiving -= usize::from(is_begun);
        for attempt in self.calls[key].attempts.iter().filter(|attempt| attempt.is_in_flight()) {
            self.backends[attempt.backend].begin_call(self.now);
        }
    }

    /// Begins a call that has waited for its turn.
    pub(super) fn take_turn(&mut self, key: CallKey, actions: &mut Vec<Action>) {
        let Call { learned_class, timeout, deadline, body, .. } = self.calls[key];
        let time_left = if body.is_receiving { timeout } else { deadline - self.now };
        let t1 = self.t1(learned_class, time_left);
        self.calls.waiting -= 1;
        let call = &mut self.calls[key];
        call.is_waiting = false;
        call.begun_at = self.now;
        call.retry_timer.t1 = t1;
        if time_left <= self.min_time_left(learned_class) {
            return self.finish_unserved(key, actions);
        }
        self.begin(key, actions);
    }

    /// A call may have its turn for its ordering key, or has waited long enough for admission.
    pub(super) fn on_turn(&mut self, key: CallKey, actions: &mut Vec<Action>) {
        let call = &self.calls[key];
        if let Some(ordering_key) = call.ordering_key {
            return self.advance(ordering_key, actions);
        }
        if call.is_waiting {
            // The pressure has lasted: rejected at once, and before any work was done.
            self.finish_unserved(key, actions);
        }
    }

    /// Sheds load at the entry, where no work has been done yet: with the pressure that lowers the
    /// probability of a retry, requests of low rank wait, and are rejected if it lasts.
    fn admits(&mut self, rank: f64) -> bool {
        self.settings.tier > 0 || rank >= self.pressure()
    }

    /// The part of the arriving requests that have less priority for their work than one of this class;
    /// among equals it is drawn at random.
    fn rank(&mut self, class: usize, over_quota: bool) -> f64 {
        let own = self.priority_per_work(class, over_quota);
        let mut below = 0.0;
        let mut equal = 0.0;
        let mut all = 0.0;
        for (other, arrivals) in self.arrivals.iter().enumerate() {
            for (mut rate, over) in [(arrivals.within_quota, false), (arrivals.over_quota, true)] {
                rate.decay(self.now, self.traffic.memory);
                let priority = self.priority_per_work(other, over);
                all += rate.per_second();
                if priority < own {
                    below += rate.per_second();
                } else if priority == own {
                    equal += rate.per_second();
                }
            }
        }
        (below + equal * self.random.random::<f64>()) / all.max(f64::MIN_POSITIVE)
    }

    fn priority_per_work(&self, class: usize, over_quota: bool) -> f64 {
        let part = if over_quota { self.settings.over_quota_weight } else { 1.0 };
        let work = self.traffic.latency[class].mean.max(self.settings.quantum);
        part * self.settings.classes[class].priority_weight / work
    }

    /// Begins calls that wait at the entry, the best first, as far as the pressure admits them. Guards
    /// against rejections by chance: with four calls in flight one more or less is the difference between
    /// calm and overload, and clients that are rejected mostly come back at once, to be rejected again. It
    /// does harm where the pressure lasts: what is rejected in the end has then waited for nothing, which
    /// is why the wait is a small part of the timeout.
    pub(super) fn admit_waiting(&mut self, actions: &mut Vec<Action>) {
        while let Some(best_rank) = self.waiting_queue.best_rank()
            && self.admits(best_rank)
            && let Some(best) = self.waiting_queue.pop_best()
        {
            self.take_turn(best, actions);
        }
    }

    /// When a client that is rejected should retry, where clients honour it.
    pub(super) fn retry_after(&self, t1: Time) -> Option<Time> {
        Some(t1.min(self.settings.max_retry_after)).filter(|wait| *wait > 0.0)
    }
}
