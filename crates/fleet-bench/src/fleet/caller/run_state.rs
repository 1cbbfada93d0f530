//! The state that all parts of a caller share during the simulation.

use super::accounting::Accounting;
use super::event_queue::EventQueue;
use rand::rngs::SmallRng;

/// The virtual clock, the random number generator and the observations of one caller.
pub struct RunState<'a> {
    /// The virtual clock with the pending events.
    pub queue: EventQueue,
    /// The random number generator, which is used in the order of the events.
    pub rng: SmallRng,
    /// The observations of the caller.
    pub accounting: Accounting<'a>,
}
