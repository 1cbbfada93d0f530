//! The results of a phase, service by service.

use super::counts::Counts;
use super::plan::Phase;
use super::recording::Recording;

/// The result of a phase.
#[derive(Debug)]
pub struct PhaseResult {
    /// The phase.
    pub phase: Phase,
    /// The services that were simulated, the most called first.
    pub services: Vec<ServiceResult>,
    /// The machines that had an outage.
    pub outages: OutageCounts,
}

impl PhaseResult {
    /// Returns the sum of the counts of all callers.
    #[must_use]
    pub fn total_counts(&self) -> Counts {
        let mut total = Counts::default();
        for service in &self.services {
            total += service.counts;
        }
        total
    }

    /// Returns the result of one service; `None` if the service was not simulated.
    #[must_use]
    pub fn service(&self, index: usize) -> Option<&ServiceResult> {
        self.services.iter().find(|result| result.service == index)
    }
}

/// Machines by the kind of their outage.
#[derive(Clone, Copy, Debug)]
pub struct OutageCounts {
    /// Machines that were restarted.
    pub restarted: usize,
    /// Machines that crashed.
    pub crashed: usize,
}

/// Results of the callers of a service.
#[derive(Debug)]
pub struct ServiceResult {
    /// The index of the service.
    pub service: usize,
    /// The sum of the counts of all callers.
    pub counts: Counts,
    /// The propagation of each endpoint change that some caller was notified of.
    pub propagations: Vec<Propagation>,
    /// The coverage of the backends by the subsets of the callers.
    pub coverage: Coverage,
    /// The peak load of each backend that warmed up.
    pub slow_starts: Vec<SlowStartPeak>,
    /// The state of a caller's balancer.
    pub mean_peak_state: MeanPeakState,
    /// The recordings of some callers, if the service has a role.
    pub recordings: Vec<Recording>,
}

/// Time from the occurrence of an endpoint change until callers that were running all the time
/// were notified, in seconds.
#[derive(Clone, Copy, Debug)]
pub struct Propagation {
    /// Time until half of the callers were notified.
    pub half_notified: f32,
    /// Time until 99% of the callers were notified.
    pub percent_99_notified: f32,
    /// Time until all callers were notified.
    pub all_notified: f32,
}

/// The coverage of a service's backends by the subsets of its callers.
#[derive(Clone, Debug)]
pub struct Coverage {
    /// Coverage at each sample.
    pub samples: Vec<CoverageSample>,
    /// Backends that were at some time in service and in no subset for several samples in a row.
    pub long_unassigned: usize,
}

/// The backends in service at a sample, without started backends of which callers need not be notified
/// yet.
#[derive(Clone, Copy, Debug, Default)]
pub struct CoverageSample {
    /// Number of all backends in service.
    pub in_service: usize,
    /// Number of backends in service that are in no caller's subset.
    pub unassigned: usize,
}

impl std::ops::AddAssign for CoverageSample {
    fn add_assign(&mut self, other: Self) {
        self.in_service += other.in_service;
        self.unassigned += other.unassigned;
    }
}

/// The peak load of a backend in slow start.
#[derive(Clone, Copy, Debug, Default)]
pub struct SlowStartPeak {
    /// Attempts of all callers within one overload window.
    pub attempts: usize,
    /// The attempts divided by the budget of that window.
    pub budget_ratio: f64,
}

/// Sizes of a balancer's state: means over the callers of the peak of each.
#[derive(Clone, Copy, Debug, Default)]
pub struct MeanPeakState {
    /// Backends in the endpoint table.
    pub backends: f64,
    /// Backends in the subset.
    pub subset: f64,
    /// Open requests.
    pub open_requests: f64,
}
