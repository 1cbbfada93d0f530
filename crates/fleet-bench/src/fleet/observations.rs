//! Observations of one caller during a phase.

use super::counts::Counts;
use super::recording::Recording;
use balancer::Time;

/// Interval at which the state of the balancers is sampled, in seconds.
pub const SAMPLE_INTERVAL_SECONDS: Time = 1.0;

/// Sizes of a balancer's state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StateSize {
    /// Number of backends in the endpoint table.
    pub backends: usize,
    /// Number of backends in the subset.
    pub subset: usize,
    /// Number of open requests.
    pub open_requests: usize,
}

impl StateSize {
    /// Returns the maximum of each size in the two states.
    #[must_use]
    pub fn max(self, other: Self) -> Self {
        Self {
            backends: self.backends.max(other.backends),
            subset: self.subset.max(other.subset),
            open_requests: self.open_requests.max(other.open_requests),
        }
    }
}

/// A backend that was in the subset at a sample.
#[derive(Clone, Copy, Debug)]
pub struct SubsetMember {
    /// The index of the sample.
    pub sample: u32,
    /// The index of the backend in the service.
    pub backend: u32,
}

/// An attempt to a backend that was warming up.
#[derive(Clone, Copy, Debug)]
pub struct SlowStartAttempt {
    /// The index of the backend in the service.
    pub backend: u32,
    /// Time of the send, in seconds.
    pub sent_at: Time,
}

/// The observations of one caller.
#[derive(Debug, Default)]
pub struct CallerObservations {
    /// Counts in the window.
    pub counts: Counts,
    /// For each endpoint change, the time from the change until this caller was notified, in seconds.
    /// `None` if the caller was not running all the time in between.
    pub update_delays: Vec<Option<f32>>,
    /// The members of the balancer's subset at each sample.
    pub subset_members: Vec<SubsetMember>,
    /// The attempts to backends that were warming up.
    pub slow_start_attempts: Vec<SlowStartAttempt>,
    /// The number of attempts to each backend in the second half of the warm-up.
    pub warm_up_attempts: Vec<u32>,
    /// The maximum of each state size over all samples.
    pub peak_state: StateSize,
    /// The events of the balancer, if the caller is recorded.
    pub recording: Option<Recording>,
}
