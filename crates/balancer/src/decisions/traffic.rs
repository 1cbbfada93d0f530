//! What is learned of the traffic of this balancer: send and success rates, and the usual latencies.

use super::retransmission::MAX_T1_FRACTION;
use crate::interface::{Settings, Time};
use crate::state::{ArrivalRates, Balancer, LatencyEstimate};

/// Memory of the send rate, in T1s of the longest class: the paper's weight, slots of T1 / 25.
const RATE_MEMORY_T1S: f64 = 20.0;
/// Weight of a sample in the usual latency of a class, once there are many.
pub(super) const LATENCY_WEIGHT: f64 = 0.02;
/// Part of that weight under pressure: a T1 that followed the waits of an overload would hide it.
const PRESSED_WEIGHT: f64 = 0.05;
/// No latency beyond this part of the objective is usual: a balancer that starts in an overload would
/// learn it.
const MAX_USUAL_LATENCY: f64 = 0.25;

impl Balancer {
    /// Applies new classes. A class that had an index in the `previous` settings keeps what was learned.
    pub(super) fn apply_classes(&mut self, settings: &Settings, previous: &[Option<usize>]) {
        let fresh = ArrivalRates::starting_at(self.now);
        let arrivals = previous.iter().map(|class| class.map_or(fresh, |i| self.arrivals[i]));
        self.arrivals = arrivals.collect();
        let unknown = LatencyEstimate::default();
        let latency = previous.iter().map(|class| class.map_or(unknown, |i| self.traffic.latency[i]));
        self.traffic.latency = latency.chain([unknown]).collect();
        // Never zero, whatever the settings hold: rates are counts over this.
        let least = settings.quantum.max(f64::EPSILON);
        let longest = settings.classes.iter().map(|class| class.latency_objective).fold(least, f64::max);
        self.traffic.memory = RATE_MEMORY_T1S * MAX_T1_FRACTION * longest;
    }

    /// Learns from the latency of a successful attempt, in seconds.
    pub(super) fn record_latency(&mut self, learned_class: usize, latency: Time, objective: Time) {
        let is_calm = self.pressure() <= 0.0;
        let latency = latency.min(MAX_USUAL_LATENCY * objective);
        for estimate in [&mut self.traffic.latency[learned_class], &mut self.traffic.overall_latency] {
            let weight = sample_weight(estimate.samples + 1.0, is_calm);
            estimate.record(latency, weight);
        }
    }
}

/// The weight of the latest of `samples` samples: that of a plain mean at first.
fn sample_weight(samples: f64, is_calm: bool) -> f64 {
    let is_pressed = !is_calm && samples > 1.0 / LATENCY_WEIGHT;
    let part = if is_pressed { PRESSED_WEIGHT } else { 1.0 };
    LATENCY_WEIGHT.max(1.0 / samples) * part
}
