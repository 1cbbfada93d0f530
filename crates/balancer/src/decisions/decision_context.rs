//! The state of the balancer that decisions about backends use.

use super::traffic::Traffic;
use crate::interface::{Settings, Time};
use rand::rngs::SmallRng;

/// The state of the balancer that a decision about backends uses, borrowed for that decision.
pub(super) struct DecisionContext<'a> {
    /// The time of the decision, in seconds.
    pub now: Time,
    /// The settings in force.
    pub settings: &'a Settings,
    /// The traffic rates and expected latencies.
    pub traffic: &'a mut Traffic,
    /// The random number generator of all decisions.
    pub random: &'a mut SmallRng,
}
