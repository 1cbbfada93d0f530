//! The simulated backends: the durations and outcomes of attempts, and the load reports.

use crate::scenario::{Behaviour, Reporting, Traffic};
use balancer::{BackendId, LoadReport, Outcome, Time};
use rand::Rng;
use rand::rngs::SmallRng;
use std::collections::BTreeMap;

/// The number of concurrent attempts that a backend serves without slowing down.
const FULL_SPEED_CONCURRENCY: usize = 4;
/// The number of concurrent attempts beyond which a backend rejects further attempts.
const MAX_CONCURRENCY: usize = 30;
/// The outcomes of attempts that fail at a backend that serves requests.
const FAILED_OUTCOMES: [Outcome; 4] =
    [Outcome::Error, Outcome::Rejected, Outcome::NoConnection, Outcome::Reset];

/// The end of an attempt that is neither cancelled nor withdrawn.
#[derive(Clone, Copy, Debug)]
pub struct AttemptEnd {
    /// The outcome of the attempt.
    pub outcome: Outcome,
    /// The duration of the attempt, in seconds.
    pub duration: Time,
}

#[derive(Debug)]
struct SimulatedBackend {
    behaviour: Behaviour,
    in_flight: usize,
}

/// All simulated backends. A backend whose behaviour was never set serves requests with a latency factor of
/// 1.
#[derive(Debug)]
pub struct SimulatedBackends {
    backends: BTreeMap<BackendId, SimulatedBackend>,
    traffic: Traffic,
    reporting: Reporting,
}

impl SimulatedBackends {
    /// Creates backends that serve this traffic.
    pub fn new(traffic: Traffic, reporting: Reporting) -> Self {
        Self { backends: BTreeMap::new(), traffic, reporting }
    }

    /// Changes the behaviour of a backend.
    pub fn set_behaviour(&mut self, id: BackendId, behaviour: Behaviour) {
        self.backend(id).behaviour = behaviour;
    }

    /// Begins an attempt, and draws the end of the attempt within `timeout` seconds.
    pub fn begin_attempt(&mut self, id: BackendId, timeout: Time, random: &mut SmallRng) -> AttemptEnd {
        let Traffic { service_time, failing_fraction, .. } = self.traffic;
        let fails = random.random::<f64>() < failing_fraction;
        let failure = FAILED_OUTCOMES[random.random_range(0..FAILED_OUTCOMES.len())];
        let spread: f64 = random.random();
        let backend = self.backend(id);
        let slowdown = (backend.in_flight as f64 / FULL_SPEED_CONCURRENCY as f64).max(1.0);
        backend.in_flight += 1;
        let end = match backend.behaviour {
            Behaviour::Hangs => AttemptEnd { outcome: Outcome::Timeout, duration: Time::INFINITY },
            Behaviour::Fails(outcome) => AttemptEnd { outcome, duration: service_time * spread },
            _ if backend.in_flight > MAX_CONCURRENCY => {
                AttemptEnd { outcome: Outcome::Rejected, duration: service_time * spread }
            }
            _ if fails => AttemptEnd { outcome: failure, duration: service_time * (0.25 + 0.5 * spread) },
            Behaviour::Serves { latency_factor } => {
                let work = service_time * latency_factor * (0.4 + 1.8 * spread * spread);
                AttemptEnd { outcome: Outcome::Success, duration: work * slowdown }
            }
        };
        if end.duration < timeout { end } else { AttemptEnd { outcome: Outcome::Timeout, duration: timeout } }
    }

    /// Ends an attempt.
    pub fn end_attempt(&mut self, id: BackendId) {
        self.backend(id).in_flight -= 1;
    }

    /// Draws the load report of a backend.
    pub fn report(&mut self, id: BackendId, random: &mut SmallRng) -> Option<LoadReport> {
        let service_time = self.traffic.service_time * (0.8 + 0.4 * random.random::<f64>());
        let rate = self.traffic.rate * (0.8 + 0.4 * random.random::<f64>());
        let latency_factor = match self.backend(id).behaviour {
            Behaviour::Serves { latency_factor } => latency_factor,
            Behaviour::Hangs | Behaviour::Fails(_) => 1.0,
        };
        let service_time = Some(service_time * latency_factor);
        match self.reporting {
            Reporting::Nothing => None,
            Reporting::ServiceTimes => Some(LoadReport { service_time, requests_per_second: None }),
            Reporting::ServiceTimesAndRates => {
                Some(LoadReport { service_time, requests_per_second: Some(rate) })
            }
        }
    }

    fn backend(&mut self, id: BackendId) -> &mut SimulatedBackend {
        let normal = SimulatedBackend { behaviour: Behaviour::Serves { latency_factor: 1.0 }, in_flight: 0 };
        self.backends.entry(id).or_insert(normal)
    }
}
