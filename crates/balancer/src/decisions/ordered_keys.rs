//! Ordering keys: the requests of one key are processed one at a time, in the order of their arrival.
//!
//! The next call of a key waits while an earlier one is unfinished or has an attempt without an outcome,
//! and while the key rests after an attempt that may still be running at its backend.

use super::calls::{Call, CallKey};
use crate::interface::{AttemptId, AttemptNumber, Outcome, RequestId, Time};
use std::collections::{HashMap, VecDeque};

/// The number of queues at which idle ones are dropped for the first time.
const MIN_QUEUE_LIMIT: usize = 16;

/// The calls of one key.
#[derive(Debug, Default)]
struct KeyQueue {
    /// Calls without a final response, in the order of their arrival.
    calls: VecDeque<CallKey>,
    /// Attempts in flight of calls that have ended.
    orphaned_attempts: usize,
    /// The time until which the key rests, in seconds.
    rests_until: Time,
}

impl KeyQueue {
    fn is_idle(&self, now: Time) -> bool {
        self.calls.is_empty() && self.orphaned_attempts == 0 && self.rests_until <= now
    }
}

/// The call at the front of a queue, none of whose predecessors has an attempt in flight.
#[derive(Clone, Copy, Debug)]
pub(super) struct NextCall {
    /// The call.
    pub key: CallKey,
    /// The time until which the ordering key rests, in seconds.
    pub rests_until: Time,
}

/// The queues of all ordering keys.
#[derive(Debug)]
pub(super) struct OrderedKeys {
    queues: HashMap<u64, KeyQueue>,
    /// The number of queues at which idle ones are dropped.
    queue_limit: usize,
    /// The ordering key of each attempt in flight whose call has ended.
    orphans: HashMap<AttemptId, u64>,
}

impl Default for OrderedKeys {
    fn default() -> Self {
        Self { queues: HashMap::new(), queue_limit: MIN_QUEUE_LIMIT, orphans: HashMap::new() }
    }
}

impl OrderedKeys {
    /// Returns the number of calls of an ordering key without a final response.
    pub fn queue_len(&self, ordering_key: u64) -> usize {
        self.queues.get(&ordering_key).map_or(0, |queue| queue.calls.len())
    }

    /// Adds a call to the queue of its ordering key, and drops idle queues if there are many.
    pub fn enqueue(&mut self, ordering_key: u64, call: CallKey, now: Time) {
        if self.queues.len() >= self.queue_limit {
            self.queues.retain(|_, queue| !queue.is_idle(now));
            self.queue_limit = MIN_QUEUE_LIMIT.max(2 * self.queues.len());
        }
        self.queues.entry(ordering_key).or_default().calls.push_back(call);
    }

    /// Returns the next call of an ordering key, unless an attempt of an ended call is still in flight.
    pub fn next(&self, ordering_key: u64) -> Option<NextCall> {
        let queue = self.queues.get(&ordering_key).filter(|queue| queue.orphaned_attempts == 0)?;
        let key = *queue.calls.front()?;
        Some(NextCall { key, rests_until: queue.rests_until })
    }

    /// Removes an ended call from its queue. Its attempts in flight become orphans, and continue to block
    /// the ordering key.
    pub fn remove(&mut self, ordering_key: u64, key: CallKey, call: &Call) {
        let Some(queue) = self.queues.get_mut(&ordering_key) else { return };
        queue.calls.retain(|queued| *queued != key);
        for (attempt, sent) in call.numbered_attempts() {
            if sent.is_in_flight() {
                queue.orphaned_attempts += 1;
                self.orphans.insert(AttemptId { request: call.id(), number: attempt }, ordering_key);
            }
        }
    }

    /// Records that an attempt has ended. Returns its ordering key if the attempt was an orphan.
    pub fn settle_orphan(&mut self, request: RequestId, attempt: AttemptNumber) -> Option<u64> {
        let ordering_key = self.orphans.remove(&AttemptId { request, number: attempt })?;
        if let Some(queue) = self.queues.get_mut(&ordering_key) {
            queue.orphaned_attempts -= 1;
        }
        Some(ordering_key)
    }

    /// Lets an ordering key rest until a time, in seconds.
    pub fn rest(&mut self, ordering_key: u64, until: Time) {
        if let Some(queue) = self.queues.get_mut(&ordering_key) {
            queue.rests_until = until;
        }
    }
}

/// Returns whether an attempt with this outcome may still be running at its backend.
pub(super) fn may_still_run(outcome: Outcome) -> bool {
    matches!(outcome, Outcome::Timeout | Outcome::Reset | Outcome::Cancelled)
}
