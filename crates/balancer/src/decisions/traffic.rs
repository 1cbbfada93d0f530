//! The traffic of this balancer: the rates of sends and successful responses, and the expected latencies.

use super::retransmission::MAX_T1_FRACTION;
use crate::interface::{ClassIndex, Settings, Time};
use crate::support::{DecayingRate, LatencyEstimate};

/// The time constant of rates, in T1s of the class with the longest objective: the paper's weight with
/// slots of T1 / 25.
const RATE_TIME_CONSTANT_T1S: f64 = 20.0;
/// The weight of a sample in the expected latency of a class, once there are many.
const LATENCY_WEIGHT: f64 = 0.02;
/// The fraction of that weight which a sample has under overload. Otherwise T1 would follow the waits of
/// the overload, and the overload would no longer be detected.
const OVERLOADED_WEIGHT_FRACTION: f64 = 0.05;
/// The fraction of the latency objective at which samples are capped. Otherwise a balancer that starts in
/// an overload would take its waits for the expected latency.
const MAX_EXPECTED_LATENCY_FRACTION: f64 = 0.25;
/// The fraction of the time constant for which sends must have been observed before they tell how many
/// calls are in flight on average.
const MIN_OBSERVED_FRACTION: f64 = 0.5;

/// Whether the balancer was overloaded when a latency was observed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LoadState {
    /// The calls in flight are within chance of the expected number.
    Normal,
    /// The calls in flight exceed the expected number.
    Overloaded,
}

/// The rates of sends and successful responses, and the latencies of successful attempts.
#[derive(Debug)]
pub(super) struct Traffic {
    /// The time constant of the rates, in seconds.
    time_constant: Time,
    /// The calls dispatched.
    sent: DecayingRate,
    /// The attempts that were answered successfully.
    served: DecayingRate,
    /// By class; the last one is for calls of classes that no longer exist.
    latencies: Vec<LatencyEstimate>,
    /// Over all classes.
    overall_latency: LatencyEstimate,
}

impl Traffic {
    /// Returns the state before any traffic.
    pub fn starting_at(now: Time) -> Self {
        Self {
            time_constant: 0.0,
            sent: DecayingRate::starting_at(now),
            served: DecayingRate::starting_at(now),
            latencies: Vec::new(),
            overall_latency: LatencyEstimate::default(),
        }
    }

    /// Adopts new classes. `previous` has the index of each class in the settings before, if it was
    /// there; such a class keeps its expected latency.
    pub fn apply_settings(&mut self, settings: &Settings, previous: &[Option<ClassIndex>]) {
        let unknown = LatencyEstimate::default();
        let latencies = previous.iter().map(|class| class.map_or(unknown, |class| self.latencies[class.0]));
        self.latencies = latencies.chain([unknown]).collect();
        // Rates are divided by a span that approaches the time constant, which must not be 0 whatever the
        // settings are.
        let least = settings.quantum.max(f64::EPSILON);
        let longest = settings.classes.iter().map(|class| class.latency_objective).fold(least, f64::max);
        self.time_constant = RATE_TIME_CONSTANT_T1S * MAX_T1_FRACTION * longest;
    }

    /// Returns the time constant of the rates, in seconds.
    pub fn time_constant(&self) -> Time {
        self.time_constant
    }

    /// Records that a call was dispatched.
    pub fn record_send(&mut self, now: Time) {
        self.sent.record(now, self.time_constant);
    }

    /// Records that an attempt was answered successfully.
    pub fn record_success(&mut self, now: Time) {
        self.served.record(now, self.time_constant);
    }

    /// Records the latency of a successful attempt of a class with an `objective`, both in seconds.
    pub fn record_latency(&mut self, class: ClassIndex, latency: Time, objective: Time, load: LoadState) {
        let latency = latency.min(MAX_EXPECTED_LATENCY_FRACTION * objective);
        for estimate in [&mut self.latencies[class.0], &mut self.overall_latency] {
            let weight = sample_weight(estimate.samples() + 1.0, load);
            estimate.record(latency, weight);
        }
    }

    /// Returns the calls dispatched per second.
    pub fn sends_per_second(&mut self, now: Time) -> f64 {
        self.sent.decay(now, self.time_constant);
        self.sent.per_second()
    }

    /// Returns the attempts per second that are answered successfully.
    pub fn successes_per_second(&mut self, now: Time) -> f64 {
        self.served.decay(now, self.time_constant);
        self.served.per_second()
    }

    /// Returns the latency estimate of a class.
    pub fn latency(&self, class: ClassIndex) -> &LatencyEstimate {
        &self.latencies[class.0]
    }

    /// Returns the expected latency of a class, in seconds; 0 if none has been observed.
    pub fn expected_latency(&self, class: ClassIndex) -> Time {
        self.latencies[class.0].mean()
    }

    /// Returns the expected latency over all classes, in seconds; 0 if none has been observed.
    pub fn overall_expected_latency(&self) -> Time {
        self.overall_latency.mean()
    }

    /// Returns the calls in flight that the send rate and the expected latency explain, by Little's law.
    pub fn expected_calls_in_flight(&mut self, now: Time) -> f64 {
        self.sends_per_second(now) * self.overall_latency.mean()
    }

    /// Returns the calls in flight on average as of the latest send, by Little's law, once sends have been
    /// observed for long enough.
    pub fn observed_calls_in_flight(&self) -> Option<f64> {
        let is_observed = self.sent.span() > MIN_OBSERVED_FRACTION * self.time_constant;
        is_observed.then(|| self.sent.per_second() * self.overall_latency.mean())
    }
}

/// Returns the weight of the latest of `samples` samples. The first ones count as in a plain mean.
fn sample_weight(samples: f64, load: LoadState) -> f64 {
    let is_plain_mean = samples <= 1.0 / LATENCY_WEIGHT;
    let fraction =
        if load == LoadState::Overloaded && !is_plain_mean { OVERLOADED_WEIGHT_FRACTION } else { 1.0 };
    LATENCY_WEIGHT.max(1.0 / samples) * fraction
}
