//! How late this process runs what is due: an estimate of how long a request waited to be read.

use balancer::Time;
use std::cell::Cell;

/// Upper bound of the estimate, in seconds.
const MAX_LAG_SECS: Time = 0.1;
/// Factor by which the estimate falls with each round of timers that was less late.
const LAG_DECAY: f64 = 0.8;

/// By how many seconds timers have recently expired too late. A request may have waited as long
/// between its arrival and the moment at which it was read.
#[derive(Default)]
pub(super) struct SchedulingLag(Cell<Time>);

impl SchedulingLag {
    /// The current estimate, in seconds.
    pub(super) fn get(&self) -> Time {
        self.0.get()
    }

    /// Records a round of timers, the latest of which expired `lateness` seconds after it was due.
    pub(super) fn record(&self, lateness: Time) {
        self.0.set(lateness.max(LAG_DECAY * self.0.get()).min(MAX_LAG_SECS));
    }
}
