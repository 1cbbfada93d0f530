//! The rate of events over an exponentially decaying window.

use crate::Time;

/// A count of events and the span that the count covers, both of which decay with the same time constant.
/// While the window is short, the rate is close to the plain mean since the start.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DecayingRate {
    /// The sum of the weights of all events. The weight of an event decays from 1.
    count: f64,
    /// The length of the window so far, in seconds, which approaches the time constant.
    span: Time,
    /// The time to which count and span have decayed, in seconds.
    updated_at: Time,
}

impl DecayingRate {
    /// Returns an empty window that begins at `now`.
    pub fn starting_at(now: Time) -> Self {
        Self { count: 0.0, span: 0.0, updated_at: now }
    }

    /// Decays the window up to `now`. The time constant is in seconds.
    pub fn decay(&mut self, now: Time, time_constant: Time) {
        let decay_factor = (-(now - self.updated_at).max(0.0) / time_constant).exp();
        self.count *= decay_factor;
        self.span = self.span * decay_factor + time_constant * (1.0 - decay_factor);
        self.updated_at = now;
    }

    /// Records one event at `now`. The time constant is in seconds.
    pub fn record(&mut self, now: Time, time_constant: Time) {
        self.decay(now, time_constant);
        self.count += 1.0;
    }

    /// Returns the events per second at the latest decay, or 0 if no time has passed since the start.
    pub fn per_second(&self) -> f64 {
        if self.span > 0.0 { self.count / self.span } else { 0.0 }
    }

    /// Returns the length of the window so far, in seconds.
    pub fn span(&self) -> Time {
        self.span
    }
}
