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
    /// Numbers of machines that had an outage.
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

/// Numbers of machines by the kind of their outage.
#[derive(Clone, Copy, Debug)]
pub struct OutageCounts {
    /// Number of machines that were restarted.
    pub restarted: usize,
    /// Number of machines that crashed.
    pub crashed: usize,
}

/// Results of the callers of a service.
#[derive(Debug)]
pub struct ServiceResult {
    /// The index of the service.
    pub service: usize,
    /// The sum of the counts of all callers.
    pub counts: Counts,
    /// The propagation of each endpoint change that reached at least one caller.
    pub propagations: Vec<Propagation>,
    /// The coverage of the backends by the subsets of the callers.
    pub coverage: Coverage,
    /// The peak load of each backend that warmed up.
    pub slow_starts: Vec<SlowStartPeak>,
    /// The peak state of a caller's balancer, as a mean over the callers.
    pub mean_peak_state: MeanPeakState,
    /// The recordings of some callers, if the service has a role.
    pub recordings: Vec<Recording>,
}

/// Time from an endpoint change until callers were notified, in seconds. Only callers that were running
/// all the time in between are included.
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
    /// Number of backends that were in service and in no subset for at least `LONG_UNASSIGNED_SAMPLES`
    /// consecutive samples.
    pub long_unassigned: usize,
}

/// Numbers of backends in service at a sample. A backend that has just started is excluded until the
/// callers count as notified of its start.
#[derive(Clone, Copy, Debug, Default)]
pub struct CoverageSample {
    /// Number of backends in service.
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
    /// The number of attempts divided by the budget of the window.
    pub budget_ratio: f64,
}

/// Peak sizes of a balancer's state, as means over the callers.
#[derive(Clone, Copy, Debug, Default)]
pub struct MeanPeakState {
    /// Number of backends in the endpoint table.
    pub backends: f64,
    /// Number of backends in the subset.
    pub subset: f64,
    /// Number of open requests.
    pub open_requests: f64,
}
