//! The queue of calls that wait for admission, ordered by percentile rank.

use super::calls::CallKey;

/// The percentile rank of a request: the fraction of arriving requests, from 0 to 1, with a lower priority
/// per unit of work.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub(super) struct PercentileRank(pub f64);

#[derive(Clone, Copy, Debug)]
struct RankedCall {
    rank: PercentileRank,
    key: CallKey,
}

/// Queued calls ordered by percentile rank. Calls of equal rank are admitted in the order of their arrival.
#[derive(Debug, Default)]
pub(super) struct AdmissionQueue {
    /// The queued calls in ascending order of rank: the last one has the highest rank.
    entries: Vec<RankedCall>,
}

impl AdmissionQueue {
    /// Adds a call with its percentile rank.
    pub fn insert(&mut self, rank: PercentileRank, key: CallKey) {
        let position = self.entries.partition_point(|queued| queued.rank < rank);
        self.entries.insert(position, RankedCall { rank, key });
    }

    /// Returns the highest rank of all queued calls, or `None` if the queue is empty.
    pub fn highest_rank(&self) -> Option<PercentileRank> {
        self.entries.last().map(|highest| highest.rank)
    }

    /// Removes and returns the call of the highest rank.
    pub fn pop_highest(&mut self) -> Option<CallKey> {
        self.entries.pop().map(|highest| highest.key)
    }

    /// Removes a call that no longer waits for admission.
    pub fn remove(&mut self, key: CallKey) {
        self.entries.retain(|queued| queued.key != key);
    }
}
