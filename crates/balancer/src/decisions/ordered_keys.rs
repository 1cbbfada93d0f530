//! Ordering keys: requests with the same key are processed one at a time, in the order of their arrival.
//!
//! The next call of a key waits while an earlier call is unfinished or has an attempt without an outcome.
//! The key is also blocked for [`key_block_duration`](crate::interface::Settings::key_block_duration) after
//! the end of an attempt that may still be running at its backend.

use super::calls::{Call, CallKey};
use crate::interface::{AttemptId, AttemptNumber, Outcome, RequestId, Time};
use std::collections::{HashMap, VecDeque};

/// The least number of queues at which idle queues are removed.
const MIN_REMOVAL_THRESHOLD: usize = 16;

/// The queue of one ordering key.
#[derive(Debug, Default)]
struct KeyQueue {
    /// The calls without a final response, in the order of their arrival.
    calls: VecDeque<CallKey>,
    /// The number of attempts in flight whose calls have ended.
    ended_call_attempt_count: usize,
    /// The time until which the key is blocked, in seconds.
    blocked_until: Time,
}

impl KeyQueue {
    fn is_idle(&self, now: Time) -> bool {
        self.calls.is_empty() && self.ended_call_attempt_count == 0 && self.blocked_until <= now
    }
}

/// The call at the front of a queue whose earlier calls have no attempt in flight.
#[derive(Clone, Copy, Debug)]
pub(super) struct NextCall {
    /// The key of the call in the call table.
    pub key: CallKey,
    /// The time until which the ordering key is blocked, in seconds.
    pub blocked_until: Time,
}

/// The queues of all ordering keys.
#[derive(Debug)]
pub(super) struct OrderedKeys {
    queues: HashMap<u64, KeyQueue>,
    /// The number of queues at which idle queues are removed.
    removal_threshold: usize,
    /// The ordering key of each attempt in flight whose call has ended.
    ended_call_attempts: HashMap<AttemptId, u64>,
}

impl Default for OrderedKeys {
    fn default() -> Self {
        Self {
            queues: HashMap::new(),
            removal_threshold: MIN_REMOVAL_THRESHOLD,
            ended_call_attempts: HashMap::new(),
        }
    }
}

impl OrderedKeys {
    /// Returns the number of calls of an ordering key that have no final response.
    pub fn queue_len(&self, ordering_key: u64) -> usize {
        self.queues.get(&ordering_key).map_or(0, |queue| queue.calls.len())
    }

    /// Adds a call to the queue of its ordering key. Removes idle queues first if there are many queues.
    pub fn enqueue(&mut self, ordering_key: u64, call: CallKey, now: Time) {
        if self.queues.len() >= self.removal_threshold {
            self.queues.retain(|_, queue| !queue.is_idle(now));
            self.removal_threshold = MIN_REMOVAL_THRESHOLD.max(2 * self.queues.len());
        }
        self.queues.entry(ordering_key).or_default().calls.push_back(call);
    }

    /// Returns the next call of an ordering key, or `None` if the queue is empty or an attempt of an ended
    /// call is still in flight.
    pub fn next(&self, ordering_key: u64) -> Option<NextCall> {
        let queue = self.queues.get(&ordering_key).filter(|queue| queue.ended_call_attempt_count == 0)?;
        let key = *queue.calls.front()?;
        Some(NextCall { key, blocked_until: queue.blocked_until })
    }

    /// Removes an ended call from its queue. The attempts in flight of the call still block the ordering
    /// key until they end.
    pub fn remove(&mut self, ordering_key: u64, key: CallKey, call: &Call) {
        let Some(queue) = self.queues.get_mut(&ordering_key) else { return };
        queue.calls.retain(|queued| *queued != key);
        for (attempt, sent) in call.numbered_attempts() {
            if sent.is_in_flight() {
                queue.ended_call_attempt_count += 1;
                self.ended_call_attempts
                    .insert(AttemptId { request: call.id(), number: attempt }, ordering_key);
            }
        }
    }

    /// Removes an attempt that has ended later than its call. Returns the ordering key of the attempt, or
    /// `None` if no such attempt is recorded.
    pub fn remove_attempt_of_ended_call(
        &mut self,
        request: RequestId,
        attempt: AttemptNumber,
    ) -> Option<u64> {
        let ordering_key = self.ended_call_attempts.remove(&AttemptId { request, number: attempt })?;
        if let Some(queue) = self.queues.get_mut(&ordering_key) {
            queue.ended_call_attempt_count -= 1;
        }
        Some(ordering_key)
    }

    /// Blocks an ordering key until a time, in seconds.
    pub fn block_until(&mut self, ordering_key: u64, until: Time) {
        if let Some(queue) = self.queues.get_mut(&ordering_key) {
            queue.blocked_until = until;
        }
    }
}

/// Returns whether an attempt with this outcome may still be running at its backend.
pub(super) fn may_still_run(outcome: Outcome) -> bool {
    matches!(outcome, Outcome::Timeout | Outcome::Reset | Outcome::Cancelled)
}
