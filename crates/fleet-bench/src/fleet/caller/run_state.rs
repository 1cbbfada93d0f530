//! The state that all parts of a caller share while the caller is simulated.

use super::accounting::Accounting;
use super::event_queue::EventQueue;
use rand::rngs::SmallRng;

/// The virtual clock, the random draws and the observations of one caller.
pub struct RunState<'a> {
    /// The virtual clock with the pending events.
    pub queue: EventQueue,
    /// The random number generator of all draws, in the order of the events.
    pub rng: SmallRng,
    /// The observations.
    pub accounting: Accounting<'a>,
}
