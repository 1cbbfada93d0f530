//! The calls without a final response.

mod call;
mod call_stage;

pub(super) use call::Call;
pub(super) use call_stage::CallStage;

use crate::interface::{RequestId, Settings, Time};
use slotmap::SlotMap;
use std::collections::HashMap;
use std::ops::{Index, IndexMut};

/// The key of a call in the table. Keys are never reused.
pub(super) type CallKey = slotmap::DefaultKey;

/// The numbers of calls in the states that affect decisions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct StateCounts {
    /// The calls that wait for admission or for their ordering key.
    queued: usize,
    /// The dispatched calls whose body is still being received.
    receiving: usize,
    /// The calls whose latest attempt was rejected or got no connection, and that wait for a retry.
    with_unaccepted_attempt: usize,
}

impl StateCounts {
    /// Returns the counts for one call: 1 for each state of the call, and 0 otherwise.
    fn of(call: &Call) -> Self {
        Self {
            queued: usize::from(call.stage == CallStage::Queued),
            receiving: usize::from(call.stage == CallStage::Dispatched && call.body.is_receiving),
            with_unaccepted_attempt: usize::from(call.latest_attempt_unaccepted),
        }
    }

    fn add(&mut self, other: Self) {
        self.queued += other.queued;
        self.receiving += other.receiving;
        self.with_unaccepted_attempt += other.with_unaccepted_attempt;
    }

    fn subtract(&mut self, other: Self) {
        self.queued -= other.queued;
        self.receiving -= other.receiving;
        self.with_unaccepted_attempt -= other.with_unaccepted_attempt;
    }
}

/// All calls without a final response, and the number of calls in each state that affects decisions.
#[derive(Debug, Default)]
pub(super) struct CallTable {
    calls: SlotMap<CallKey, Call>,
    by_id: HashMap<RequestId, CallKey>,
    counts: StateCounts,
}

impl CallTable {
    /// Returns the number of calls.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Returns the number of dispatched calls whose request has been received completely.
    pub fn unanswered(&self) -> usize {
        self.by_id.len() - self.counts.queued - self.counts.receiving
    }

    /// Returns the number of calls whose latest attempt was rejected or got no connection, and that wait
    /// for a retry.
    pub fn with_unaccepted_attempt(&self) -> usize {
        self.counts.with_unaccepted_attempt
    }

    /// Returns the key of the call with this request id.
    pub fn key_of(&self, id: RequestId) -> Option<CallKey> {
        self.by_id.get(&id).copied()
    }

    /// Returns whether the table has a call with this key. A call is in the table until it ends.
    pub fn contains(&self, key: CallKey) -> bool {
        self.calls.contains_key(key)
    }

    /// Adds a call in the given stage, and returns its key.
    pub fn insert(&mut self, mut call: Call, stage: CallStage) -> CallKey {
        let id = call.id;
        call.stage = stage;
        self.counts.add(StateCounts::of(&call));
        let key = self.calls.insert(call);
        self.by_id.insert(id, key);
        key
    }

    /// Removes an ended call.
    pub fn remove(&mut self, key: CallKey) -> Option<Call> {
        let call = self.calls.remove(key)?;
        self.by_id.remove(&call.id);
        self.counts.subtract(StateCounts::of(&call));
        Some(call)
    }

    /// Changes the state of a call, and updates the counts.
    fn change(&mut self, key: CallKey, change: impl FnOnce(&mut Call)) {
        let call = &mut self.calls[key];
        self.counts.subtract(StateCounts::of(call));
        change(call);
        self.counts.add(StateCounts::of(call));
    }

    /// Records that a call is no longer queued at `now`, and sets a new T1 in seconds.
    pub fn leave_queue(&mut self, key: CallKey, now: Time, t1: Time) {
        self.change(key, |call| call.leave_queue(now, t1));
    }

    /// Records that a call has been dispatched.
    pub fn record_dispatch(&mut self, key: CallKey) {
        self.change(key, |call| call.stage = CallStage::Dispatched);
    }

    /// Records that the body of a call is no longer being received.
    pub fn stop_receiving(&mut self, key: CallKey) {
        self.change(key, |call| call.body.is_receiving = false);
    }

    /// Records that the latest attempt of a call was rejected or got no connection.
    pub fn record_unaccepted_attempt(&mut self, key: CallKey) {
        self.change(key, |call| call.latest_attempt_unaccepted = true);
    }

    /// Records that a call has been sent, and no longer waits for a retry after a rejection or a missing
    /// connection.
    pub fn clear_unaccepted_attempt(&mut self, key: CallKey) {
        self.change(key, |call| call.latest_attempt_unaccepted = false);
    }

    /// Updates the indices of classes and tenants in all calls after a change from the settings `old` to
    /// `new`.
    pub fn remap_indices(&mut self, old: &Settings, new: &Settings) {
        for call in self.calls.values_mut() {
            call.remap_indices(old, new);
        }
    }
}

impl Index<CallKey> for CallTable {
    type Output = Call;

    fn index(&self, key: CallKey) -> &Call {
        &self.calls[key]
    }
}

impl IndexMut<CallKey> for CallTable {
    fn index_mut(&mut self, key: CallKey) -> &mut Call {
        &mut self.calls[key]
    }
}
