//! The calls that wait for admission, by rank.

use super::call::CallKey;

/// Calls in the order of their ranks; among equals the first to arrive is admitted first.
#[derive(Debug, Default)]
pub(crate) struct WaitingQueue {
    /// Ranks and calls, the best last.
    entries: Vec<RankedCall>,
}

#[derive(Clone, Copy, Debug)]
struct RankedCall {
    rank: f64,
    key: CallKey,
}

impl WaitingQueue {
    /// Adds a call with its rank.
    pub fn insert(&mut self, rank: f64, key: CallKey) {
        let place = self.entries.partition_point(|entry| entry.rank < rank);
        self.entries.insert(place, RankedCall { rank, key });
    }

    /// The best rank of all that wait.
    pub fn best_rank(&self) -> Option<f64> {
        self.entries.last().map(|best| best.rank)
    }

    /// Takes out the call of the best rank.
    pub fn pop_best(&mut self) -> Option<CallKey> {
        self.entries.pop().map(|best| best.key)
    }

    /// Removes a call that no longer waits.
    pub fn remove(&mut self, key: CallKey) {
        self.entries.retain(|entry| entry.key != key);
    }
}
