//! What is learned of the traffic of a balancer.

use super::decaying_rate::DecayingRate;
use super::latency_estimate::LatencyEstimate;
use crate::Time;

/// Send and success rates, and the usual latencies of successful attempts.
#[derive(Debug)]
pub(crate) struct Traffic {
    /// Time constant of the rates, in seconds.
    pub memory: Time,
    /// Calls begun.
    pub sent: DecayingRate,
    /// Calls answered.
    pub served: DecayingRate,
    /// By class; the last is for calls of classes that no longer exist.
    pub latency: Vec<LatencyEstimate>,
    /// Over all classes.
    pub overall_latency: LatencyEstimate,
}

impl Traffic {
    /// No traffic so far, from `now` on.
    pub fn starting_at(now: Time) -> Self {
        Self {
            memory: 0.0,
            sent: DecayingRate::starting_at(now),
            served: DecayingRate::starting_at(now),
            latency: Vec::new(),
            overall_latency: LatencyEstimate::default(),
        }
    }
}
