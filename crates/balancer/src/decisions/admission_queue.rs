//! The calls that wait for admission.

use super::calls::CallKey;

/// The fraction of the arriving requests that have less priority for their work than a request, from 0 to
/// 1.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub(super) struct Rank(pub f64);

#[derive(Clone, Copy, Debug)]
struct RankedCall {
    rank: Rank,
    key: CallKey,
}

/// Calls in the order of their ranks. Among equal ranks the first to arrive is admitted first.
#[derive(Debug, Default)]
pub(super) struct AdmissionQueue {
    /// In ascending order, so that the best rank is last.
    entries: Vec<RankedCall>,
}

impl AdmissionQueue {
    /// Adds a call with its rank.
    pub fn insert(&mut self, rank: Rank, key: CallKey) {
        let position = self.entries.partition_point(|entry| entry.rank < rank);
        self.entries.insert(position, RankedCall { rank, key });
    }

    /// Returns the best rank of all calls that wait.
    pub fn best_rank(&self) -> Option<Rank> {
        self.entries.last().map(|best| best.rank)
    }

    /// Removes and returns the call of the best rank.
    pub fn pop_best(&mut self) -> Option<CallKey> {
        self.entries.pop().map(|best| best.key)
    }

    /// Removes a call that no longer waits.
    pub fn remove(&mut self, key: CallKey) {
        self.entries.retain(|entry| entry.key != key);
    }
}
