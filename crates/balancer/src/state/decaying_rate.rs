//! The rate of events over an exponentially decaying window.

use crate::Time;

/// A count of events and the span that it covers, both of which decay with the same time constant. Until
/// the window has filled, the rate is the plain mean since the start.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DecayingRate {
    /// Events in the window, by their remaining weight.
    count: f64,
    /// Length of the window so far, in seconds; it approaches the time constant.
    pub span: Time,
    /// When count and span were last brought up to date, in seconds.
    pub at: Time,
}

impl DecayingRate {
    /// An empty window that begins at `now`.
    pub fn starting_at(now: Time) -> Self {
        Self { at: now, ..Self::default() }
    }

    /// Brings the window up to `now`, with `memory` seconds as the time constant.
    pub fn decay(&mut self, now: Time, memory: Time) {
        let keep = (-(now - self.at).max(0.0) / memory).exp();
        self.count *= keep;
        self.span = self.span * keep + memory * (1.0 - keep);
        self.at = now;
    }

    /// Records one event at `now`.
    pub fn record(&mut self, now: Time, memory: Time) {
        self.decay(now, memory);
        self.count += 1.0;
    }

    /// Events a second; 0 before any time has passed.
    pub fn per_second(&self) -> f64 {
        if self.span > 0.0 { self.count / self.span } else { 0.0 }
    }
}

/// The rates at which the requests of a class arrive.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ArrivalRates {
    /// Requests within the quota of their tenants.
    pub within_quota: DecayingRate,
    /// Requests over it.
    pub over_quota: DecayingRate,
}

impl ArrivalRates {
    /// Empty windows that begin at `now`.
    pub fn starting_at(now: Time) -> Self {
        let rate = DecayingRate::starting_at(now);
        Self { within_quota: rate, over_quota: rate }
    }
}
