//! Measures the cases of an axis in rounds.

use super::event_times::EventKind;
use super::plan::{Axis, AxisCase, Plan};
use super::simulation::Simulation;
use std::time::{Duration, Instant};
use tracing::info;

/// Names and units of the measures of each case. The processor times come first.
pub const MEASURE_NAMES: [&str; 12] = [
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

/// Number of processor times in [`MEASURE_NAMES`].
const TIME_MEASURE_COUNT: usize = 10;

/// The samples of one case.
#[derive(Debug, Default)]
pub struct CaseSamples {
    /// Value of the case on the axis.
    pub value: usize,
    /// Samples of each measure in [`MEASURE_NAMES`], one for each round. A sample is NaN if the round had no
    /// such event.
    pub measures: [Vec<f64>; MEASURE_NAMES.len()],
    /// Mean number of open requests in the last round.
    pub open_requests: f64,
    /// Number of backends that received an attempt in the last round.
    pub backends_used: usize,
    /// Number of requests that were rejected or failed, summed over all rounds.
    pub unserved: usize,
}

/// The samples of one axis.
#[derive(Debug)]
pub struct AxisSamples {
    /// The name of the axis.
    pub name: &'static str,
    /// The samples of the cases that were measured.
    pub cases: Vec<CaseSamples>,
    /// Number of rounds that were measured.
    pub rounds: usize,
    /// Whether all cases and rounds of the plan were measured within the time limit.
    pub complete: bool,
}

/// The limit of the real time of a run.
#[derive(Clone, Copy, Debug)]
pub struct TimeLimit {
    started: Instant,
    limit: Duration,
}

impl TimeLimit {
    /// Creates a limit that is reached this many seconds from now.
    #[must_use]
    pub fn starting_now(seconds: u64) -> Self {
        Self { started: Instant::now(), limit: Duration::from_secs(seconds) }
    }

    fn is_reached(self) -> bool {
        self.started.elapsed() >= self.limit
    }
}

/// Measures an axis in rounds. Each round measures all cases in turn, so that a temporary load on the
/// machine affects all cases alike.
#[must_use]
pub fn measure_axis(axis: &Axis, plan: &Plan, limit: TimeLimit) -> AxisSamples {
    let mut cases: Vec<CaseMeasurement> = Vec::new();
    for &case in &axis.cases {
        if !limit.is_reached() {
            info!("axis `{}`: warming up the case {}", axis.name, case.value);
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

/// The running measurement of one case.
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
            // The number of changes is even, so that the draining backend is in service again at the end.
            mean(plan.changes.next_multiple_of(2), || simulation.measure_endpoint_change()),
            mean(plan.lists, || simulation.measure_full_list()),
            mean(plan.lists, || simulation.measure_first_list(plan.seed)),
            // The number of changes is even, so that the extra instance is removed again at the end.
            mean(plan.lists.next_multiple_of(2), || simulation.measure_settings_change()),
        ];
        for (measure, sample) in self.samples.measures.iter_mut().zip(samples) {
            measure.push(sample);
        }
    }

    /// Adds the size of the state of a new balancer, which only has its endpoint list, and of the measured
    /// balancer. Returns the samples of the case.
    fn finish(mut self, plan: &Plan) -> CaseSamples {
        let idle = Simulation::new(self.case.case, plan.seed).state_bytes();
        let loaded = self.simulation.state_bytes();
        for (measure, bytes) in self.samples.measures[TIME_MEASURE_COUNT..].iter_mut().zip([idle, loaded]) {
            measure.push(bytes);
        }
        self.samples
    }
}

/// Returns the mean of `times` measurements.
fn mean(times: usize, mut measure: impl FnMut() -> f64) -> f64 {
    (0..times).map(|_| measure()).sum::<f64>() / times as f64
}
