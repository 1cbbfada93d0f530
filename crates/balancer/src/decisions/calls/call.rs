//! One call without a final response.

use super::call_stage::CallStage;
use crate::decisions::attempts::Attempt;
use crate::decisions::retransmission::RetryTimer;
use crate::interface::{
    AttemptNumber, ClassIndex, Outcome, Request, RequestClass, RequestId, Settings, TenantIndex, Time,
};
use crate::support::BackendIndex;
use rand::rngs::SmallRng;
use std::sync::Arc;

/// The progress of a request's body.
#[derive(Clone, Copy, Debug)]
pub(in crate::decisions) struct BodyProgress {
    /// Whether the body is streamed, and cannot be sent to two backends at once.
    pub is_streamed: bool,
    /// Whether the body is still being received.
    pub is_receiving: bool,
    /// Whether more of the body has been forwarded than is buffered, which rules out another attempt.
    pub is_consumed: bool,
}

/// A request without a final response.
#[derive(Debug)]
pub(in crate::decisions) struct Call {
    pub(super) id: RequestId,
    /// The settings in force at the arrival, which apply to the call until its end.
    settings: Arc<Settings>,
    /// The index of the class in the settings in force at the arrival.
    class: ClassIndex,
    /// The index of the class in the settings now in force, under which latencies are recorded.
    current_class: ClassIndex,
    /// The index of the tenant in the settings now in force.
    tenant: Option<TenantIndex>,
    /// The time of the arrival, or of the dispatch if the call was queued, in seconds.
    dispatched_at: Time,
    /// The time at which the final response is due, in seconds; infinite while the body is being received.
    deadline: Time,
    /// The time from the complete receipt of the body to the deadline, in seconds.
    timeout: Time,
    retry_timer: RetryTimer,
    /// The attempts in the order of the sends.
    attempts: Vec<Attempt>,
    ordering_key: Option<u64>,
    pub(super) stage: CallStage,
    pub(super) body: BodyProgress,
    /// Whether the latest attempt was rejected or got no connection, and the call waits for a retry.
    pub(super) latest_attempt_unaccepted: bool,
    /// The backend that was sampled for the latest placement but not chosen. The next retry is sent to this
    /// backend.
    alternative: Option<BackendIndex>,
}

impl Call {
    /// Returns a call without attempts that arrives at `now`. `timeout` and `t1` are in seconds.
    pub fn new(request: &Request, settings: Arc<Settings>, now: Time, timeout: Time, t1: Time) -> Self {
        let is_receiving = request.streaming_body;
        Self {
            id: request.id,
            settings,
            class: request.class,
            current_class: request.class,
            tenant: request.tenant,
            dispatched_at: now,
            deadline: if is_receiving { Time::INFINITY } else { now + timeout },
            timeout,
            retry_timer: RetryTimer::new(t1),
            attempts: Vec::new(),
            ordering_key: None,
            stage: CallStage::Ready,
            body: BodyProgress { is_streamed: is_receiving, is_receiving, is_consumed: false },
            latest_attempt_unaccepted: false,
            alternative: None,
        }
    }

    /// Sets the ordering key, or `None` if the class of the call is not ordered by key.
    pub fn with_ordering_key(mut self, ordering_key: Option<u64>) -> Self {
        self.ordering_key = ordering_key;
        self
    }

    /// Returns the id of the request.
    pub fn id(&self) -> RequestId {
        self.id
    }

    /// Returns the settings in force at the arrival.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Returns the class of the call in the settings in force at its arrival.
    pub fn request_class(&self) -> &RequestClass {
        self.settings.class(self.class)
    }

    /// Returns the index of the class in the settings now in force. If the class no longer exists, the
    /// index is the number of classes.
    pub fn current_class(&self) -> ClassIndex {
        self.current_class
    }

    /// Returns the index of the tenant in the settings now in force, if the call has one.
    pub fn tenant(&self) -> Option<TenantIndex> {
        self.tenant
    }

    /// Returns the deadline in seconds, or infinity while the body is being received.
    pub fn deadline(&self) -> Time {
        self.deadline
    }

    /// Returns the time from the complete receipt of the body to the deadline, in seconds.
    pub fn timeout(&self) -> Time {
        self.timeout
    }

    /// Returns the time until the deadline, in seconds, or the whole timeout while the body is being
    /// received.
    pub fn time_left(&self, now: Time) -> Time {
        if self.body.is_receiving { self.timeout } else { self.deadline - now }
    }

    /// Sets the deadline of a call whose body has been received completely at `now`.
    pub fn start_timeout(&mut self, now: Time) {
        self.deadline = now + self.timeout;
    }

    /// Sets the deadline of a call whose timeout has passed by `now`, while its body was being received.
    pub fn end_timeout(&mut self, now: Time) {
        self.deadline = now;
    }

    /// Returns the progress of the body.
    pub fn body(&self) -> BodyProgress {
        self.body
    }

    /// Records that more of the body has been forwarded than is buffered.
    pub fn record_body_consumed(&mut self) {
        self.body.is_consumed = true;
    }

    /// Returns the retry timers.
    pub fn retry_timer(&self) -> &RetryTimer {
        &self.retry_timer
    }

    /// Records that a retry timer has fired.
    pub fn record_retry_timer_firing(&mut self) {
        self.retry_timer.record_firing();
    }

    /// Schedules the next retry timer, if the timer would fire before the deadline and a further attempt is
    /// allowed. Returns the time at which the timer fires, in seconds.
    pub fn schedule_retry_timer(&mut self, random: &mut SmallRng) -> Option<Time> {
        let at = self.retry_timer.next_time(self.dispatched_at, random);
        let is_set = at < self.deadline && self.attempts.len() < self.settings.max_attempts;
        self.retry_timer.record_schedule(is_set);
        is_set.then_some(at)
    }

    /// Returns the attempts in the order of the sends.
    pub fn attempts(&self) -> &[Attempt] {
        &self.attempts
    }

    /// Returns the attempts with their numbers, in the order of the sends.
    pub fn numbered_attempts(&self) -> impl Iterator<Item = (AttemptNumber, &Attempt)> {
        self.attempts.iter().enumerate().map(|(number, attempt)| (AttemptNumber(number), attempt))
    }

    /// Adds an attempt.
    pub fn add_attempt(&mut self, attempt: Attempt) {
        self.attempts.push(attempt);
    }

    /// Records the outcome of the attempt with this number.
    pub fn record_outcome(&mut self, number: AttemptNumber, outcome: Outcome) {
        if let Some(attempt) = self.attempts.get_mut(number.0) {
            attempt.outcome = Some(outcome);
        }
    }

    /// Returns whether an attempt is in flight.
    pub fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(Attempt::is_in_flight)
    }

    /// Returns whether every attempt ended because no connection was established.
    pub fn has_reached_no_backend(&self) -> bool {
        self.attempts.iter().all(|attempt| attempt.outcome == Some(Outcome::NoConnection))
    }

    /// Returns the ordering key, or `None` if the class of the call is not ordered by key.
    pub fn ordering_key(&self) -> Option<u64> {
        self.ordering_key
    }

    /// Returns whether the call waits for admission or for its ordering key. Such a call has no attempt.
    pub fn is_queued(&self) -> bool {
        self.stage == CallStage::Queued
    }

    /// Sets the backend to which the next retry is sent.
    pub fn set_alternative(&mut self, backend: BackendIndex) {
        self.alternative = Some(backend);
    }

    /// Removes and returns the backend to which the next retry is sent, if there is one.
    pub fn take_alternative(&mut self) -> Option<BackendIndex> {
        self.alternative.take()
    }

    /// Ends the wait of a queued call at `now`, and sets a new T1 in seconds.
    pub(super) fn leave_queue(&mut self, now: Time, t1: Time) {
        self.stage = CallStage::Ready;
        self.dispatched_at = now;
        self.retry_timer.set_t1(t1);
    }

    /// Updates the indices of class and tenant after a change from the settings `old` to `new`.
    pub(super) fn remap_indices(&mut self, old: &Settings, new: &Settings) {
        let class = new.class_index(&self.request_class().name);
        self.current_class = class.unwrap_or(ClassIndex(new.classes.len()));
        self.tenant = self.tenant.and_then(|tenant| new.tenant_index(&old.tenant(tenant).name));
    }
}
