//! The parts of the balancer that a decision about backends uses.

use super::traffic::Traffic;
use crate::interface::{Settings, Time};
use rand::rngs::SmallRng;

/// The parts of the balancer that decisions about backends use, for the duration of one decision.
pub(super) struct DecisionContext<'a> {
    /// The time of the decision, in seconds.
    pub now: Time,
    /// The settings in force.
    pub settings: &'a Settings,
    /// The rates and expected latencies.
    pub traffic: &'a mut Traffic,
    /// The source of all random draws.
    pub random: &'a mut SmallRng,
}
