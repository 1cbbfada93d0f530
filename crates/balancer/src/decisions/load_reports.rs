//! Load reports: the service time of each backend, the request rate of the fleet, and the health checks
//! that obtain load reports where responses contain none.

use crate::interface::{LoadReport, Time};
use crate::support::{BackendIndex, BackendMap, SmoothedMean};

/// The weight of a new report in the service time of its backend.
const BACKEND_REPORT_WEIGHT: f64 = 0.3;
/// The weight of a new report in the means over all backends.
const FLEET_REPORT_WEIGHT: f64 = 0.02;
/// The number of sends between two health checks, where load reports come with health checks only.
const SENDS_PER_HEALTH_CHECK: usize = 3;

/// Whether a backend that reports its load is in slow start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WarmUpState {
    /// The backend has its full capacity.
    Warm,
    /// The backend is in slow start and serves fewer requests than at full capacity.
    WarmingUp,
}

/// The means of the load reports, for each backend and over all backends.
#[derive(Debug, Default)]
pub(super) struct LoadReports {
    /// The service time of each backend, in seconds.
    service_times: BackendMap<SmoothedMean>,
    /// The mean service time of all backends, in seconds.
    fleet_service_time: SmoothedMean,
    /// The mean number of requests per second that a warm backend serves.
    fleet_request_rate: SmoothedMean,
    /// The number of attempts sent so far.
    send_count: usize,
}

impl LoadReports {
    /// Adds a backend without reports.
    pub fn add_backend(&mut self, index: BackendIndex) {
        self.service_times.insert(index, SmoothedMean::default());
    }

    /// Records the load report of a backend. Values that are absent or not positive are skipped.
    pub fn record(&mut self, index: BackendIndex, state: WarmUpState, report: LoadReport) {
        let rate = report.requests_per_second.filter(|rate| *rate > 0.0);
        if let Some(rate) = rate.filter(|_| state == WarmUpState::Warm) {
            self.fleet_request_rate.update(rate, FLEET_REPORT_WEIGHT);
        }
        if let Some(service_time) = report.service_time.filter(|time| *time > 0.0) {
            self.service_times[index].update(service_time, BACKEND_REPORT_WEIGHT);
            self.fleet_service_time.update(service_time, FLEET_REPORT_WEIGHT);
        }
    }

    /// Returns the ratio of the service time of a backend to the mean of the fleet, or 1 if either is
    /// unknown.
    pub fn relative_service_time(&self, index: BackendIndex) -> f64 {
        let service_time: Option<Time> = self.service_times[index].get();
        let fleet_service_time: Option<Time> = self.fleet_service_time.get();
        match service_time.zip(fleet_service_time) {
            Some((backend, fleet)) => backend / fleet,
            None => 1.0,
        }
    }

    /// Returns the mean number of requests per second that a warm backend serves for all balancers, or
    /// `None` if no warm backend has reported its rate.
    pub fn requests_per_second_per_backend(&self) -> Option<f64> {
        self.fleet_request_rate.get()
    }

    /// Counts a send. Returns the member to check, in round-robin order, if a health check is due after
    /// this send.
    pub fn count_send(&mut self, members: &[BackendIndex]) -> Option<BackendIndex> {
        self.send_count += 1;
        if !self.send_count.is_multiple_of(SENDS_PER_HEALTH_CHECK) || members.is_empty() {
            return None;
        }
        let check_number = self.send_count / SENDS_PER_HEALTH_CHECK;
        Some(members[check_number % members.len()])
    }
}
