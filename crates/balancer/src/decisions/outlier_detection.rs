//! Outlier detection: the latency of each backend relative to the expected latency, and the threshold
//! beyond which a backend is an outlier.

use crate::interface::Time;
use crate::support::{BackendIndex, BackendMap};

/// The ratio of the relative latency of a member to the least relative latency among the members, beyond
/// which the member is an outlier. Calls in flight at an outlier do not indicate a load that exceeds the
/// capacity of the fleet.
const OUTLIER_LATENCY_RATIO: f64 = 2.5;
/// The relative latency of a backend that is as fast as expected or has no observations.
const EXPECTED_RELATIVE_LATENCY: f64 = 1.0;
/// The weight of a new sample in the relative latency of a backend.
const SAMPLE_WEIGHT: f64 = 0.2;
/// The relative latency recorded for a failed attempt, which is also the cap of all samples.
const FAILURE_RELATIVE_LATENCY: f64 = 8.0;
/// The fraction of the expected latency within which a failure is fast. A backend does not fail fast
/// because of its load.
const FAST_FAILURE_FRACTION: f64 = 0.5;
/// The weight of a fast failure. A backend that fails fast is idle between calls, so it would be chosen
/// again without a greater weight.
const FAST_FAILURE_WEIGHT: f64 = 0.5;
/// The time constant with which the relative latency of a backend decays to 1, as a fraction of the time
/// constant of the send rate.
const RELATIVE_LATENCY_TIME_CONSTANT_FRACTION: f64 = 0.5;

/// The ratio of the latency of a backend to the expected latency of the class.
#[derive(Clone, Copy, Debug)]
struct RelativeLatency {
    /// The ratio at the latest update; 1 is the expected latency.
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
    /// The time of the latest successful response, in seconds, or minus infinity before the first one.
    last_success_at: Time,
    /// The time of the latest response or of the latest call sent to the idle backend, in seconds.
    /// Initially the time at which the backend was added.
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

/// The observed latencies and response times of all backends.
#[derive(Debug, Default)]
pub(super) struct OutlierDetection {
    observations: BackendMap<Observations>,
    /// The time constant with which relative latencies decay to 1, in seconds.
    time_constant: Time,
}

impl OutlierDetection {
    /// Derives the time constant of relative latencies from that of the send rate, in seconds.
    pub fn set_rate_time_constant(&mut self, rate_time_constant: Time) {
        self.time_constant = RELATIVE_LATENCY_TIME_CONSTANT_FRACTION * rate_time_constant;
    }

    /// Adds a backend without observations.
    pub fn add_backend(&mut self, index: BackendIndex, now: Time) {
        self.observations.insert(index, Observations::none(now));
    }

    /// Resets the relative latency of a restarted backend to the expected one.
    pub fn reset_latency(&mut self, index: BackendIndex, now: Time) {
        self.observations[index].relative_latency = RelativeLatency::expected(now);
    }

    /// Records that a backend responded or received a call while it was idle.
    pub fn record_activity(&mut self, index: BackendIndex, now: Time) {
        self.observations[index].last_active_at = now;
    }

    /// Records that a backend answered an attempt successfully.
    pub fn record_success(&mut self, index: BackendIndex, now: Time) {
        self.observations[index].last_success_at = now;
    }

    /// Returns whether a backend has answered an attempt successfully after `time`, in seconds.
    pub fn has_succeeded_since(&self, index: BackendIndex, time: Time) -> bool {
        self.observations[index].last_success_at > time
    }

    /// Returns whether a backend was active within the last time constant.
    pub fn was_recently_active(&self, index: BackendIndex, now: Time) -> bool {
        self.observations[index].last_active_at > now - self.time_constant
    }

    /// Records a latency relative to the expected latency, both in seconds. The sample is skipped while the
    /// expected latency is unknown.
    pub fn record_latency(&mut self, index: BackendIndex, latency: Time, expected: Time, now: Time) {
        if expected > 0.0 {
            self.record_relative_latency(index, latency / expected, SAMPLE_WEIGHT, now);
        }
    }

    /// Records that an attempt has been in flight for `waited` seconds, where `expected` is the expected
    /// latency in seconds. The wait is a lower bound of the latency, so it is recorded only if it exceeds
    /// the current estimate for the backend. Otherwise a wait shortly before the response would make the
    /// backend look faster than it is.
    pub fn record_wait(&mut self, index: BackendIndex, waited: Time, expected: Time, now: Time) {
        if waited > self.relative_latency(index, now) * expected {
            self.record_latency(index, waited, expected, now);
        }
    }

    /// Records that an attempt failed after `duration` seconds, where `expected` is the expected latency in
    /// seconds.
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

    /// Returns the relative latency of a backend. The ratio decays to 1 over time, so that a slow backend
    /// is tried again.
    pub fn relative_latency(&self, index: BackendIndex, now: Time) -> f64 {
        let RelativeLatency { ratio, updated_at } = self.observations[index].relative_latency;
        let age_in_time_constants = (now - updated_at) / self.time_constant;
        EXPECTED_RELATIVE_LATENCY + (ratio - EXPECTED_RELATIVE_LATENCY) * (-age_in_time_constants).exp()
    }

    /// Returns the greater of the relative latency of a backend and, if calls are in flight, the time
    /// without a response from it relative to the `expected` latency in seconds.
    ///
    /// Without this penalty, new calls would pile up at a stalled backend, for example during a pause or
    /// behind one costly call, as the calls in flight end too late to lower its share. A backend that is
    /// only busy continues to respond, however many calls wait. Where responses are rare and slow, the time
    /// without a response is similar for all members, and the penalty does not affect the choice among
    /// them.
    pub fn latency_penalty(&self, index: BackendIndex, in_flight: usize, expected: Time, now: Time) -> f64 {
        let relative_latency = self.relative_latency(index, now);
        if in_flight == 0 || expected <= 0.0 {
            return relative_latency;
        }
        let relative_time_without_response = (now - self.observations[index].last_active_at) / expected;
        relative_latency.max(relative_time_without_response.min(FAILURE_RELATIVE_LATENCY))
    }

    /// Returns the relative latency beyond which a backend is an outlier. The threshold is a multiple of
    /// the least relative latency among the `warm_members`, or among all `members` if none is warm. It is
    /// never below the expected latency, which is also the value for backends without observations, so such
    /// a backend is no outlier however fast the fastest member is.
    ///
    /// Members in slow start are left out because they get few calls and are fast. In an overload, all
    /// other members would look like outliers compared with them.
    pub fn threshold(
        &self,
        warm_members: impl Iterator<Item = BackendIndex>,
        members: impl Iterator<Item = BackendIndex>,
        now: Time,
    ) -> f64 {
        let least = self.least_relative_latency(warm_members, now);
        let least = least.or_else(|| self.least_relative_latency(members, now));
        (OUTLIER_LATENCY_RATIO * least.unwrap_or(f64::INFINITY)).max(EXPECTED_RELATIVE_LATENCY)
    }

    fn least_relative_latency(&self, backends: impl Iterator<Item = BackendIndex>, now: Time) -> Option<f64> {
        backends.map(|backend| self.relative_latency(backend, now)).reduce(f64::min)
    }
}
