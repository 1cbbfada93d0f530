//! The order of decisions from the arrival of a request to its dispatch.

use super::Balancer;
use crate::decisions::admission::{effective_timeout, max_admission_wait, min_time_left, retry_after};
use crate::decisions::admission_queue::PercentileRank;
use crate::decisions::calls::{Call, CallKey, CallStage};
use crate::decisions::retransmission::first_interval;
use crate::decisions::timer::Timer;
use crate::interface::{Action, ClassIndex, Request, RequestId, Time};

impl Balancer {
    pub(super) fn on_request(&mut self, request: Request, actions: &mut Vec<Action>) {
        let timeout = effective_timeout(&request, &self.settings);
        let rank = self.record_arrival(&request);
        let t1 = self.t1(request.class, timeout);
        let ordering_key = request.key.filter(|_| self.settings.class(request.class).ordered_by_key);
        let must_wait = !self.admits(rank);
        let is_too_late = timeout <= self.min_timeout(request.class, ordering_key);
        if is_too_late || must_wait && ordering_key.is_some() {
            return actions.push(self.rejection(request.id, t1));
        }
        let call = Call::new(&request, self.settings.clone(), self.now, timeout, t1);
        let call = call.with_ordering_key(ordering_key);
        let is_queued = must_wait || ordering_key.is_some();
        let stage = if is_queued { CallStage::Queued } else { CallStage::Ready };
        let key = self.calls.insert(call, stage);
        if !request.streaming_body {
            self.set_deadline_timer(key, actions);
        }
        if must_wait {
            return self.queue_for_admission(key, rank, actions);
        }
        match ordering_key {
            Some(ordering_key) => self.queue_by_key(ordering_key, key, actions),
            None => self.dispatch(key, actions),
        }
    }

    /// Counts a request, and returns its rank among the arriving requests.
    fn record_arrival(&mut self, request: &Request) -> PercentileRank {
        let Request { class, tenant, .. } = *request;
        let quota = self.quotas.status(tenant, self.now);
        self.admission.record_arrival(class, quota, self.now, self.traffic.time_constant());
        self.admission.percentile_rank(
            class,
            quota,
            self.now,
            &self.settings,
            &self.traffic,
            &mut self.random,
        )
    }

    /// Returns the timeout, in seconds, up to which a request is rejected because its response would come
    /// too late. The requests ahead in the queue of the ordering key are processed one at a time, so that
    /// each of them adds the least time left at the dispatch of a call.
    fn min_timeout(&self, class: ClassIndex, ordering_key: Option<u64>) -> Time {
        let requests_ahead = ordering_key.map_or(0, |key| self.ordered_keys.queue_len(key));
        min_time_left(class, &self.traffic) * (requests_ahead + 1) as f64
    }

    /// Returns T1 for a call of a class with `time_left` until its deadline, both in seconds.
    fn t1(&self, class: ClassIndex, time_left: Time) -> Time {
        first_interval(self.traffic.latency(class), time_left, self.settings.clock_resolution)
    }

    /// Returns whether a request of this rank is admitted. The overload level is the fraction of requests
    /// that are not admitted, lowest ranks first; the same level lowers the probability of a retry. Load is
    /// shed at the entry tier only, because no work has been done for a request there yet.
    fn admits(&mut self, rank: PercentileRank) -> bool {
        !self.settings.tier.is_entry() || rank >= PercentileRank(self.overload_level())
    }

    /// Returns the rejection of a request that its client may safely retry. The response asks the client to
    /// wait for T1 before the retry, if clients honour `Retry-After`.
    pub(super) fn rejection(&self, id: RequestId, t1: Time) -> Action {
        Action::Reject { id, retry_after: retry_after(t1, &self.settings) }
    }

    fn set_deadline_timer(&self, key: CallKey, actions: &mut Vec<Action>) {
        let at = self.calls[key].deadline();
        actions.push(Action::SetTimer { at, token: Timer::Deadline(key).into() });
    }

    fn queue_for_admission(&mut self, key: CallKey, rank: PercentileRank, actions: &mut Vec<Action>) {
        self.admission.queue_mut().insert(rank, key);
        let at = self.now + max_admission_wait(self.calls[key].timeout());
        actions.push(Action::SetTimer { at, token: Timer::QueueWait(key).into() });
    }

    fn queue_by_key(&mut self, ordering_key: u64, key: CallKey, actions: &mut Vec<Action>) {
        self.ordered_keys.enqueue(ordering_key, key, self.now);
        self.dispatch_next(ordering_key, actions);
    }

    /// Dispatches the next queued call of an ordering key. While the key is blocked after an attempt that
    /// may still be running, sets a timer for the end of that time instead.
    pub(super) fn dispatch_next(&mut self, ordering_key: u64, actions: &mut Vec<Action>) {
        let next = self.ordered_keys.next(ordering_key);
        let Some(next) = next.filter(|next| self.calls[next.key].is_queued()) else { return };
        if self.now < next.blocked_until {
            let token = Timer::QueueWait(next.key).into();
            return actions.push(Action::SetTimer { at: next.blocked_until, token });
        }
        self.dispatch_queued(next.key, actions);
    }

    /// Dispatches the calls that wait for admission, highest rank first, until one is not admitted.
    ///
    /// Calls wait because the overload level may fall within a few responses: with four calls in flight, one
    /// call more or less decides whether the balancer counts as overloaded. Most clients retry a rejected
    /// request at once, and would be rejected again.
    pub(super) fn admit_queued(&mut self, actions: &mut Vec<Action>) {
        while let Some(highest_rank) = self.admission.queue().highest_rank()
            && self.admits(highest_rank)
            && let Some(key) = self.admission.queue_mut().pop_highest()
        {
            self.dispatch_queued(key, actions);
        }
    }

    pub(super) fn on_queue_wait_timer(&mut self, key: CallKey, actions: &mut Vec<Action>) {
        let call = &self.calls[key];
        if let Some(ordering_key) = call.ordering_key() {
            return self.dispatch_next(ordering_key, actions);
        }
        if call.is_queued() {
            // The overload lasted for the whole wait. No work has been done for the call yet, so that a retry
            // by the client repeats no work.
            self.finish_unserved(key, actions);
        }
    }

    /// Dispatches a queued call, or finishes the call if too little time is left.
    fn dispatch_queued(&mut self, key: CallKey, actions: &mut Vec<Action>) {
        let call = &self.calls[key];
        let class = call.current_class();
        let time_left = call.time_left(self.now);
        self.calls.leave_queue(key, self.now, self.t1(class, time_left));
        if time_left <= min_time_left(class, &self.traffic) {
            return self.finish_unserved(key, actions);
        }
        self.dispatch(key, actions);
    }

    /// Dispatches a call: counts the call as sent, and makes its first attempt.
    fn dispatch(&mut self, key: CallKey, actions: &mut Vec<Action>) {
        self.calls.record_dispatch(key);
        self.set_retry_timer(key, actions);
        self.traffic.record_send(self.now);
        self.quotas.consume(self.calls[key].tenant());
        let calls_in_flight = self.traffic.observed_calls_in_flight();
        self.backends.grow_subset(&self.settings, calls_in_flight, self.now);
        if !self.send(key, actions) && !self.calls[key].retry_timer().is_set() {
            self.finish_unserved(key, actions);
        }
    }

    /// Starts the timeout of a call whose body has been received completely.
    pub(super) fn on_body_received(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(key) = self.key_of_receiving(id) else { return };
        self.stop_receiving(key);
        self.calls[key].start_timeout(self.now);
        self.set_deadline_timer(key, actions);
    }

    /// Ends the timeout of a call whose body no backend takes. Attempts that fail from now on count against
    /// their backends, because the client does not delay them. The call ends with the last of its attempts.
    pub(super) fn on_body_stalled(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(key) = self.key_of_receiving(id) else { return };
        self.stop_receiving(key);
        self.calls[key].end_timeout(self.now);
        if !self.calls[key].has_attempt_in_flight() {
            self.finish_unserved(key, actions);
        }
    }

    /// Returns the key of the call with this id, if its body is still being received.
    fn key_of_receiving(&self, id: RequestId) -> Option<CallKey> {
        self.calls.key_of(id).filter(|key| self.calls[*key].body().is_receiving)
    }

    pub(super) fn on_body_consumed(&mut self, id: RequestId) {
        if let Some(key) = self.calls.key_of(id) {
            self.calls[key].record_body_consumed();
        }
    }

    /// Records that the body of a call is no longer being received. The attempts of the call count as in
    /// flight only from now on, because a backend cannot respond before it has received the body.
    pub(super) fn stop_receiving(&mut self, key: CallKey) {
        self.calls.stop_receiving(key);
        for attempt in self.calls[key].attempts().iter().filter(|attempt| attempt.is_in_flight()) {
            self.backends.record_request_received(attempt.backend, self.now);
        }
    }
}
