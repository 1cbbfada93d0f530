//! Outlier detection: the latency of each backend relative to the expected one, and which backends are far
//! slower than the best.

use crate::interface::Time;
use crate::support::{BackendIndex, BackendMap};

/// A member whose relative latency is this many times that of the best member is an outlier. The calls in
/// flight at an outlier are no sign of a load that the fleet cannot carry.
const OUTLIER_RATIO: f64 = 2.5;
/// The relative latency of a backend that is as fast as expected, or of which nothing has been observed.
const EXPECTED_RELATIVE_LATENCY: f64 = 1.0;
/// The weight of a sample in the relative latency of a backend.
const SAMPLE_WEIGHT: f64 = 0.2;
/// The relative latency that a failed attempt counts as, and the greatest that any sample counts as.
const FAILURE_RELATIVE_LATENCY: f64 = 8.0;
/// A failure within this fraction of the expected latency is fast, which a loaded backend is not.
const FAST_FAILURE_FRACTION: f64 = 0.5;
/// The weight of a fast failure. A backend that fails fast is idle in between, and without a greater
/// weight it would be chosen again.
const FAST_FAILURE_WEIGHT: f64 = 0.5;
/// The time constant over which the relative latency of a backend returns to 1, as a fraction of the time
/// constant of the send rate.
const RELATIVE_LATENCY_TIME_CONSTANT_FRACTION: f64 = 0.5;

/// The latency of a backend relative to the expected one of the class; 1 is the expected latency.
#[derive(Clone, Copy, Debug)]
struct RelativeLatency {
    /// The ratio at the latest update.
    ratio: f64,
    /// The time of the latest update, in seconds.
    updated_at: Time,
}

impl RelativeLatency {
    fn expected(now: Time) -> Self {
        Self { ratio: EXPECTED_RELATIVE_LATENCY, updated_at: now }
    }
}

/// The observations of one backend.
#[derive(Clone, Copy, Debug)]
struct Observations {
    relative_latency: RelativeLatency,
    /// The time of the latest successful response, in seconds; minus infinity before the first.
    last_success_at: Time,
    /// The time of the latest response, or of the first call after the backend was idle, in seconds.
    last_active_at: Time,
}

impl Observations {
    fn none(now: Time) -> Self {
        Self {
            relative_latency: RelativeLatency::expected(now),
            last_success_at: Time::NEG_INFINITY,
            last_active_at: now,
        }
    }
}

/// The observed latencies and responses of all backends.
#[derive(Debug, Default)]
pub(super) struct OutlierDetection {
    observations: BackendMap<Observations>,
    /// The time constant over which relative latencies return to 1, in seconds.
    time_constant: Time,
}

impl OutlierDetection {
    /// Adopts the time constant of the send rate, in seconds.
    pub fn set_rate_time_constant(&mut self, rate_time_constant: Time) {
        self.time_constant = RELATIVE_LATENCY_TIME_CONSTANT_FRACTION * rate_time_constant;
    }

    /// Adds a backend of which nothing has been observed.
    pub fn add_backend(&mut self, index: BackendIndex, now: Time) {
        self.observations.insert(index, Observations::none(now));
    }

    /// Forgets the relative latency of a backend that has been restarted.
    pub fn reset_latency(&mut self, index: BackendIndex, now: Time) {
        self.observations[index].relative_latency = RelativeLatency::expected(now);
    }

    /// Records that a backend responded, or got a call after it had been idle.
    pub fn record_activity(&mut self, index: BackendIndex, now: Time) {
        self.observations[index].last_active_at = now;
    }

    /// Records that a backend answered an attempt successfully.
    pub fn record_response(&mut self, index: BackendIndex, now: Time) {
        self.observations[index].last_success_at = now;
    }

    /// Returns whether a backend has answered an attempt successfully after `time`, in seconds.
    pub fn has_responded_since(&self, index: BackendIndex, time: Time) -> bool {
        self.observations[index].last_success_at > time
    }

    /// Returns whether a backend was active within the latest time constant.
    pub fn was_recently_active(&self, index: BackendIndex, now: Time) -> bool {
        self.observations[index].last_active_at > now - self.time_constant
    }

    /// Records a latency relative to the expected one, both in seconds. Skipped while no latency is
    /// expected.
    pub fn record_latency(&mut self, index: BackendIndex, latency: Time, expected: Time, now: Time) {
        if expected > 0.0 {
            self.record_relative_latency(index, latency / expected, SAMPLE_WEIGHT, now);
        }
    }

    /// Records that an attempt has been in flight for `waited` seconds, where `expected` is the expected
    /// latency. The latency will be at least the wait, so that a wait tells something only if it exceeds the
    /// latency that the backend is known for. Otherwise a wait just before the response would make the
    /// backend look faster than it is.
    pub fn record_wait(&mut self, index: BackendIndex, waited: Time, expected: Time, now: Time) {
        if waited > self.relative_latency(index, now) * expected {
            self.record_latency(index, waited, expected, now);
        }
    }

    /// Records that an attempt failed after `duration` seconds, where `expected` is the expected latency.
    pub fn record_failure(&mut self, index: BackendIndex, duration: Time, expected: Time, now: Time) {
        let is_fast = duration < FAST_FAILURE_FRACTION * expected;
        let weight = if is_fast { FAST_FAILURE_WEIGHT } else { SAMPLE_WEIGHT };
        self.record_relative_latency(index, FAILURE_RELATIVE_LATENCY, weight, now);
    }

    fn record_relative_latency(&mut self, index: BackendIndex, sample: f64, weight: f64, now: Time) {
        let previous = self.relative_latency(index, now);
        let ratio = previous + weight * (sample.min(FAILURE_RELATIVE_LATENCY) - previous);
        self.observations[index].relative_latency = RelativeLatency { ratio, updated_at: now };
    }

    /// Returns the relative latency of a backend. The ratio returns to 1 over time, so that a slow
    /// backend is tried again.
    pub fn relative_latency(&self, index: BackendIndex, now: Time) -> f64 {
        let RelativeLatency { ratio, updated_at } = self.observations[index].relative_latency;
        let age = (now - updated_at) / self.time_constant;
        EXPECTED_RELATIVE_LATENCY + (ratio - EXPECTED_RELATIVE_LATENCY) * (-age).exp()
    }

    /// Returns the relative latency of a backend, or the time for which the backend has been silent with
    /// calls in flight relative to the `expected` latency in seconds, if that is more.
    ///
    /// The calls of a backend that stands still, for example in a pause or behind one costly call, end
    /// too late to lower its share, and until then new calls would pile up. A backend that is merely busy
    /// goes on answering, however many calls wait. Where responses are rare and long, all members are
    /// silent alike, and the penalty has no effect on the choice among them.
    pub fn latency_penalty(&self, index: BackendIndex, in_flight: usize, expected: Time, now: Time) -> f64 {
        let relative_latency = self.relative_latency(index, now);
        if in_flight == 0 || expected <= 0.0 {
            return relative_latency;
        }
        let silence = (now - self.observations[index].last_active_at) / expected;
        relative_latency.max(silence.min(FAILURE_RELATIVE_LATENCY))
    }

    /// Returns the relative latency beyond which a backend is an outlier: a multiple of that of the best
    /// member which is `warm`, or of the best of all `members` if none is warm. A backend at the expected
    /// latency is no outlier however fast the best is: that may be all that is known of the backend.
    ///
    /// A member in slow start gets few calls and is fast. Compared with one, all others would look like
    /// outliers in an overload.
    pub fn threshold(
        &self,
        warm: impl Iterator<Item = BackendIndex>,
        members: impl Iterator<Item = BackendIndex>,
        now: Time,
    ) -> f64 {
        let best = self.least_relative_latency(warm, now);
        let best = best.or_else(|| self.least_relative_latency(members, now));
        (OUTLIER_RATIO * best.unwrap_or(f64::INFINITY)).max(EXPECTED_RELATIVE_LATENCY)
    }

    fn least_relative_latency(&self, backends: impl Iterator<Item = BackendIndex>, now: Time) -> Option<f64> {
        backends.map(|backend| self.relative_latency(backend, now)).reduce(f64::min)
    }
}
