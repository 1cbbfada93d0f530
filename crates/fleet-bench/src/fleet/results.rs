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
    /// The counts of all callers.
    #[must_use]
    pub fn total(&self) -> Counts {
        let mut total = Counts::default();
        for service in &self.services {
            total += service.counts;
        }
        total
    }

    /// The result of one service, if it was simulated.
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

/// What the callers of a service observed.
#[derive(Debug)]
pub struct ServiceResult {
    /// The index of the service.
    pub service: usize,
    /// The counts of all its callers.
    pub counts: Counts,
    /// The propagation of each endpoint change that some caller was notified of.
    pub propagations: Vec<Propagation>,
    /// The coverage of its backends by the subsets of its callers.
    pub coverage: Coverage,
    /// The peak load of each backend that warmed up.
    pub slow_starts: Vec<SlowStartPeak>,
    /// The state of a caller's balancer.
    pub state: MeanPeakState,
    /// The recordings of some callers, if the service has a role.
    pub recordings: Vec<Recording>,
}

/// Time from the occurrence of an endpoint change until callers that were running all the time
/// were notified, in seconds.
#[derive(Clone, Copy, Debug)]
pub struct Propagation {
    /// Until half of the callers were.
    pub half: f32,
    /// Until 99% of them were.
    pub percent_99: f32,
    /// Until all were.
    pub all: f32,
}

/// The coverage of a service's backends by the subsets of its callers.
#[derive(Clone, Debug)]
pub struct Coverage {
    /// At each sample.
    pub samples: Vec<CoverageSample>,
    /// Backends that were at some time in service and in no subset for several samples in a row.
    pub long_unassigned: usize,
}

/// The backends in service at a sample, without those that callers need not know yet.
#[derive(Clone, Copy, Debug, Default)]
pub struct CoverageSample {
    /// All of them.
    pub in_service: usize,
    /// Those in no caller's subset.
    pub unassigned: usize,
}

impl std::ops::AddAssign for CoverageSample {
    fn add_assign(&mut self, other: Self) {
        self.in_service += other.in_service;
        self.unassigned += other.unassigned;
    }
}

/// The peak load of a backend while it was warming up.
#[derive(Clone, Copy, Debug, Default)]
pub struct SlowStartPeak {
    /// Attempts of all callers within one overload window.
    pub attempts: usize,
    /// The same over the budget of that window.
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
