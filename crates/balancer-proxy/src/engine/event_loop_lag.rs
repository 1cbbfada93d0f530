//! The delay with which this process expires its timers, which estimates how long a request waited to be
//! read.

use balancer::Time;
use std::cell::Cell;

/// Upper bound on the estimate, in seconds.
const MAX_LAG_SECS: Time = 0.1;
/// Factor by which a round of timers that expired less late than estimated lowers the estimate.
const LAG_DECAY_FACTOR: f64 = 0.8;

/// An estimate, in seconds, of how late timers have recently expired. A request may have waited as long
/// between its arrival and the moment at which this process read it.
#[derive(Debug, Default)]
pub(super) struct EventLoopLag(Cell<Time>);

impl EventLoopLag {
    /// Returns the current estimate, in seconds from 0 to [`MAX_LAG_SECS`].
    pub(super) fn get(&self) -> Time {
        self.0.get()
    }

    /// Records a round of timers, of which the most belated one expired `lateness` seconds too late.
    pub(super) fn record(&self, lateness: Time) {
        self.0.set(lateness.max(LAG_DECAY_FACTOR * self.0.get()).min(MAX_LAG_SECS));
    }
}

#[cfg(test)]
mod tests;
