//! Measures the cases of an axis, round by round.

use super::event_times::EventKind;
use super::plan::{Axis, AxisCase, Plan};
use super::simulation::Simulation;
use std::time::{Duration, Instant};
use tracing::info;

/// Measures of each case, with their units: processor times first.
pub const MEASURES: [&str; 12] = [
    "request, us",
    "response, us",
    "timer with retry, us",
    "timer without retry, us",
    "late timer, us",
    "all events per request, us",
    "changed endpoint, us",
    "full list, us",
    "first list, us",
    "settings change, us",
    "idle state, bytes",
    "loaded state, bytes",
];

/// The number of processor times among the measures.
const TIME_MEASURE_COUNT: usize = 10;

/// The samples of one case.
#[derive(Debug, Default)]
pub struct CaseSamples {
    /// The case's value on the axis.
    pub value: usize,
    /// Samples of each of the [`MEASURES`], one for each round; NaN in a round without such an event.
    pub measures: [Vec<f64>; MEASURES.len()],
    /// Mean number of open requests in the last round.
    pub open_requests: f64,
    /// Backends that got an attempt in the last round.
    pub backends_used: usize,
    /// Requests that were rejected or failed in all rounds.
    pub unserved: usize,
}

/// The samples of one axis.
#[derive(Debug)]
pub struct AxisSamples {
    /// The name of the axis.
    pub name: &'static str,
    /// The samples of the cases that were measured.
    pub cases: Vec<CaseSamples>,
    /// The rounds that were measured.
    pub rounds: usize,
    /// Whether all cases and rounds of the plan were measured within the time limit.
    pub complete: bool,
}

/// The real time limit of a run.
#[derive(Clone, Copy, Debug)]
pub struct TimeLimit {
    started: Instant,
    limit: Duration,
}

impl TimeLimit {
    /// Creates a limit in seconds that begins now.
    #[must_use]
    pub fn starting_now(seconds: u64) -> Self {
        Self { started: Instant::now(), limit: Duration::from_secs(seconds) }
    }

    fn is_reached(self) -> bool {
        self.started.elapsed() >= self.limit
    }
}

/// Measures an axis: all cases in turn, round by round, so that a load on the machine affects all
/// cases alike.
#[must_use]
pub fn measure_axis(axis: &Axis, plan: &Plan, limit: TimeLimit) -> AxisSamples {
    let mut cases: Vec<CaseMeasurement> = Vec::new();
    for &case in &axis.cases {
        if !limit.is_reached() {
            info!("{} at {}", axis.name, case.value);
            cases.push(CaseMeasurement::new(case, plan));
        }
    }
    let mut rounds = 0;
    while rounds < plan.rounds && !limit.is_reached() {
        for case in &mut cases {
            case.measure_round(plan);
        }
        rounds += 1;
    }
    let complete = cases.len() == axis.cases.len() && rounds == plan.rounds;
    let cases = cases.into_iter().map(|case| case.finish(plan)).collect();
    AxisSamples { name: axis.name, cases, rounds, complete }
}

/// The measurement of one case.
struct CaseMeasurement {
    case: AxisCase,
    simulation: Simulation,
    samples: CaseSamples,
}

impl CaseMeasurement {
    fn new(case: AxisCase, plan: &Plan) -> Self {
        let mut simulation = Simulation::new(case.case, plan.seed);
        simulation.warm_up(plan.warm_up);
        let samples = CaseSamples { value: case.value, ..CaseSamples::default() };
        Self { case, simulation, samples }
    }

    fn measure_round(&mut self, plan: &Plan) {
        let simulation = &mut self.simulation;
        let times = simulation.simulate_requests(plan.requests);
        self.samples.open_requests = times.mean_open_requests();
        self.samples.backends_used = simulation.backends_used();
        self.samples.unserved += times.unserved;
        let samples: [f64; TIME_MEASURE_COUNT] = [
            times.mean_microseconds(EventKind::Request),
            times.mean_microseconds(EventKind::Response),
            times.mean_microseconds(EventKind::TimerWithRetry),
            times.mean_microseconds(EventKind::TimerWithoutRetry),
            times.mean_microseconds(EventKind::LateTimer),
            times.microseconds_per_request(),
            // In pairs, so that the draining backend is back in service at the end.
            mean(plan.changes.next_multiple_of(2), || simulation.measure_endpoint_change()),
            mean(plan.lists, || simulation.measure_full_list()),
            mean(plan.lists, || simulation.measure_first_list(plan.seed)),
            // In pairs, so that the extra instance is gone at the end.
            mean(plan.lists.next_multiple_of(2), || simulation.measure_settings_change()),
        ];
        for (measure, sample) in self.samples.measures.iter_mut().zip(samples) {
            measure.push(sample);
        }
    }

    /// Ends the measurement with the size of the state: of a balancer that only has its endpoint list,
    /// and of the measured balancer.
    fn finish(mut self, plan: &Plan) -> CaseSamples {
        let idle = Simulation::new(self.case.case, plan.seed).state_bytes();
        let loaded = self.simulation.state_bytes();
        for (measure, bytes) in self.samples.measures[TIME_MEASURE_COUNT..].iter_mut().zip([idle, loaded]) {
            measure.push(bytes);
        }
        self.samples
    }
}

/// Returns the mean of repeated measurements.
fn mean(times: usize, mut measure: impl FnMut() -> f64) -> f64 {
    (0..times).map(|_| measure()).sum::<f64>() / times as f64
}
