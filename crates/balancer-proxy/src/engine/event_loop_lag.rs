//! The event loop lag: the delay with which this process expires its timers. The lag estimates how long a
//! request waited on its socket before the process read it.

use balancer::Time;
use std::cell::Cell;

/// Upper bound on the estimate, in seconds.
const MAX_LAG_SECS: Time = 0.1;
/// Factor that lowers the estimate when a round of timers expires with a smaller delay than estimated.
const LAG_DECAY_FACTOR: f64 = 0.8;

/// An estimate, in seconds, of how late timers have recently expired. A request may have waited equally
/// long between its arrival and the read by this process.
#[derive(Debug, Default)]
pub(super) struct EventLoopLag(Cell<Time>);

impl EventLoopLag {
    /// Returns the current estimate, in seconds from 0 to [`MAX_LAG_SECS`].
    pub(super) fn get(&self) -> Time {
        self.0.get()
    }

    /// Records a round of timers. `lateness` is the longest delay of a timer in this round, in seconds.
    pub(super) fn record(&self, lateness: Time) {
        self.0.set(lateness.max(LAG_DECAY_FACTOR * self.0.get()).min(MAX_LAG_SECS));
    }
}

#[cfg(test)]
mod tests;
