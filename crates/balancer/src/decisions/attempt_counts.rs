//! The number of this balancer's attempts at each backend.

use crate::support::{BackendIndex, BackendMap};

/// The attempts at one backend.
#[derive(Clone, Copy, Debug, Default)]
struct AttemptCount {
    /// The number of attempts without an outcome whose request the backend has received completely.
    in_flight: usize,
    /// The number of attempts of unfinished calls, with or without an outcome.
    reference_count: usize,
}

/// The numbers of attempts by backend.
#[derive(Debug, Default)]
pub(super) struct AttemptCounts {
    counts: BackendMap<AttemptCount>,
}

impl AttemptCounts {
    /// Adds a backend without attempts.
    pub fn add_backend(&mut self, index: BackendIndex) {
        self.counts.insert(index, AttemptCount::default());
    }

    /// Returns the number of attempts in flight at a backend that has received their requests completely.
    pub fn in_flight(&self, index: BackendIndex) -> usize {
        self.counts[index].in_flight
    }

    /// Counts an attempt as in flight.
    pub fn increment_in_flight(&mut self, index: BackendIndex) {
        self.counts[index].in_flight += 1;
    }

    /// Counts an attempt as no longer in flight.
    pub fn decrement_in_flight(&mut self, index: BackendIndex) {
        let in_flight = &mut self.counts[index].in_flight;
        *in_flight = in_flight.saturating_sub(1);
    }

    /// Counts an attempt of an unfinished call.
    pub fn add_reference(&mut self, index: BackendIndex) {
        self.counts[index].reference_count += 1;
    }

    /// Removes the count of an attempt whose call has finished.
    pub fn remove_reference(&mut self, index: BackendIndex) {
        self.counts[index].reference_count -= 1;
    }

    /// Returns whether a backend has an attempt in flight or an attempt of an unfinished call.
    pub fn is_referenced(&self, index: BackendIndex) -> bool {
        let AttemptCount { in_flight, reference_count } = self.counts[index];
        in_flight > 0 || reference_count > 0
    }
}
