//! The simulated backends. Each backend serves every request, and reports the rate of its requests.

use crate::fleet::{BACKEND_COUNT, Fleet, backend_index};
use balancer::{BackendId, LoadReport, Time};
use rand::Rng;
use rand::rngs::SmallRng;

/// The time constant of the request rates that backends report, in seconds.
const REPORTED_RATE_TIME_CONSTANT: Time = 2.0;
/// The mean duration of a request, as a multiple of the time between two requests at full load.
const MEAN_CONCURRENCY: f64 = 2.0;

/// The request rate that a backend reports, with exponential decay.
#[derive(Clone, Copy, Debug)]
struct ReportedRate {
    requests_per_second: f64,
    updated_at: Time,
}

impl ReportedRate {
    /// Counts a response at `now`, and returns the new rate in requests per second.
    fn record(&mut self, now: Time) -> f64 {
        let decay = (-(now - self.updated_at) / REPORTED_RATE_TIME_CONSTANT).exp();
        self.requests_per_second = self.requests_per_second * decay + 1.0 / REPORTED_RATE_TIME_CONSTANT;
        self.updated_at = now;
        self.requests_per_second
    }
}

/// All backends of a fleet.
#[derive(Debug)]
pub struct SimulatedBackends {
    has_load_reports: bool,
    capacity: f64,
    reported_rates: Vec<ReportedRate>,
}

impl SimulatedBackends {
    /// Creates the backends of a fleet, which have served nothing so far.
    pub fn new(fleet: &Fleet) -> Self {
        let updated_at = fleet.balancer_start_time();
        let initial_rate = ReportedRate { requests_per_second: 0.0, updated_at };
        Self {
            has_load_reports: fleet.has_load_reports,
            capacity: fleet.capacity,
            reported_rates: vec![initial_rate; BACKEND_COUNT],
        }
    }

    /// Draws the duration of a request, in seconds.
    pub fn draw_duration(&self, random: &mut SmallRng) -> Time {
        let mean_duration = MEAN_CONCURRENCY / self.capacity;
        mean_duration * (0.5 + random.random::<f64>())
    }

    /// Counts a response of a backend, and returns the load report if backends send any.
    pub fn respond(&mut self, now: Time, backend: BackendId) -> Option<LoadReport> {
        let rate = self.reported_rates[backend_index(backend)].record(now);
        let report = LoadReport { service_time: None, requests_per_second: Some(rate) };
        self.has_load_reports.then_some(report)
    }
}
