//! The traffic of this balancer: the rates of sends and successful responses, and the expected latencies.

use super::retransmission::MAX_T1_FRACTION;
use crate::interface::{ClassIndex, Settings, Time};
use crate::support::{DecayingRate, LatencyEstimate};

/// The time constant of rates, as a multiple of T1 for the class with the longest latency objective. It
/// corresponds to the weight in the paper on which [`retransmission`](super::retransmission) is based, with
/// slots of T1 / 25.
const RATE_TIME_CONSTANT_T1_MULTIPLE: f64 = 20.0;
/// The weight of a new sample in a latency estimate, once there are many samples.
const LATENCY_SAMPLE_WEIGHT: f64 = 0.02;
/// The fraction of [`LATENCY_SAMPLE_WEIGHT`] that a sample has under overload. With the full weight, T1
/// would follow the waits in the overload, and the overload would no longer be detected.
const OVERLOADED_WEIGHT_FRACTION: f64 = 0.05;
/// The fraction of the latency objective at which latency samples are capped. Without a cap, a balancer
/// that starts during an overload would record the waits as the expected latency.
const MAX_EXPECTED_LATENCY_FRACTION: f64 = 0.25;
/// The least observation time of sends before the average number of calls in flight can be estimated, as a
/// fraction of the time constant.
const MIN_OBSERVATION_FRACTION: f64 = 0.5;

/// Whether the balancer was overloaded when a latency was observed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LoadState {
    /// The calls in flight are within random variation of the expected number.
    Normal,
    /// The calls in flight exceed the expected number.
    Overloaded,
}

/// The rates of sends and successful responses, and the latencies of successful attempts.
#[derive(Debug)]
pub(super) struct Traffic {
    /// The time constant of the rates, in seconds.
    time_constant: Time,
    /// The rate of dispatched calls.
    send_rate: DecayingRate,
    /// The rate of attempts that were answered successfully.
    success_rate: DecayingRate,
    /// The latency estimate of each class. The last estimate is for calls of classes that no longer exist.
    class_latencies: Vec<LatencyEstimate>,
    /// The latency estimate over all classes.
    overall_latency: LatencyEstimate,
}

impl Traffic {
    /// Returns the state without any traffic.
    pub fn starting_at(now: Time) -> Self {
        Self {
            time_constant: 0.0,
            send_rate: DecayingRate::starting_at(now),
            success_rate: DecayingRate::starting_at(now),
            class_latencies: Vec::new(),
            overall_latency: LatencyEstimate::default(),
        }
    }

    /// Applies the classes of new settings. `previous_indices` has, for each new class, its index in the
    /// previous settings, or `None` if the class is new. A class that existed before keeps its expected
    /// latency.
    pub fn apply_settings(&mut self, settings: &Settings, previous_indices: &[Option<ClassIndex>]) {
        let unobserved = LatencyEstimate::default();
        let class_latencies = previous_indices
            .iter()
            .map(|class| class.map_or(unobserved, |class| self.class_latencies[class.0]));
        self.class_latencies = class_latencies.chain([unobserved]).collect();
        // Rates are divided by a time span that approaches the time constant. The time constant must
        // therefore not be 0 under any settings.
        let min_objective = settings.clock_resolution.max(f64::EPSILON);
        let longest_objective =
            settings.classes.iter().map(|class| class.latency_objective).fold(min_objective, f64::max);
        self.time_constant = RATE_TIME_CONSTANT_T1_MULTIPLE * MAX_T1_FRACTION * longest_objective;
    }

    /// Returns the time constant of the rates, in seconds.
    pub fn time_constant(&self) -> Time {
        self.time_constant
    }

    /// Records that a call was dispatched.
    pub fn record_send(&mut self, now: Time) {
        self.send_rate.record(now, self.time_constant);
    }

    /// Records that an attempt was answered successfully.
    pub fn record_success(&mut self, now: Time) {
        self.success_rate.record(now, self.time_constant);
    }

    /// Records the latency of a successful attempt of a class with this latency `objective`, both in
    /// seconds.
    pub fn record_latency(&mut self, class: ClassIndex, latency: Time, objective: Time, load: LoadState) {
        let latency = latency.min(MAX_EXPECTED_LATENCY_FRACTION * objective);
        for estimate in [&mut self.class_latencies[class.0], &mut self.overall_latency] {
            let weight = sample_weight(estimate.samples() + 1.0, load);
            estimate.record(latency, weight);
        }
    }

    /// Returns the number of calls dispatched per second.
    pub fn sends_per_second(&mut self, now: Time) -> f64 {
        self.send_rate.decay(now, self.time_constant);
        self.send_rate.per_second()
    }

    /// Returns the number of attempts per second that are answered successfully.
    pub fn successes_per_second(&mut self, now: Time) -> f64 {
        self.success_rate.decay(now, self.time_constant);
        self.success_rate.per_second()
    }

    /// Returns the latency estimate of a class.
    pub fn latency(&self, class: ClassIndex) -> &LatencyEstimate {
        &self.class_latencies[class.0]
    }

    /// Returns the expected latency of a class, in seconds, or 0 without observations.
    pub fn expected_latency(&self, class: ClassIndex) -> Time {
        self.class_latencies[class.0].mean()
    }

    /// Returns the expected latency over all classes, in seconds, or 0 without observations.
    pub fn overall_expected_latency(&self) -> Time {
        self.overall_latency.mean()
    }

    /// Returns the number of calls in flight that is expected from the send rate and the expected latency,
    /// by Little's law.
    pub fn expected_calls_in_flight(&mut self, now: Time) -> f64 {
        self.sends_per_second(now) * self.overall_latency.mean()
    }

    /// Returns the average number of calls in flight as of the latest send, by Little's law, or `None`
    /// until sends have been observed for long enough.
    pub fn observed_calls_in_flight(&self) -> Option<f64> {
        let is_observed_long_enough = self.send_rate.span() > MIN_OBSERVATION_FRACTION * self.time_constant;
        is_observed_long_enough.then(|| self.send_rate.per_second() * self.overall_latency.mean())
    }
}

/// Returns the weight of the latest of `samples` samples. The first samples have the weights of a plain
/// mean.
fn sample_weight(samples: f64, load: LoadState) -> f64 {
    let is_plain_mean = samples <= 1.0 / LATENCY_SAMPLE_WEIGHT;
    let fraction =
        if load == LoadState::Overloaded && !is_plain_mean { OVERLOADED_WEIGHT_FRACTION } else { 1.0 };
    LATENCY_SAMPLE_WEIGHT.max(1.0 / samples) * fraction
}
