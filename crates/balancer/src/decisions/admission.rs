//! Admission control: counts requests, computes their percentile rank by priority per unit of work, and
//! rejects a request whose response would come too late. Under overload, the entry tier queues requests of
//! low rank and rejects them if the overload lasts.

use super::admission_queue::{AdmissionQueue, PercentileRank};
use super::quotas::QuotaStatus;
use super::traffic::Traffic;
use crate::interface::{ClassIndex, Request, Settings, Time};
use crate::support::DecayingRate;
use rand::Rng;
use rand::rngs::SmallRng;

/// The least time left at the dispatch of a call, as a fraction of the expected latency. With less time
/// left, the deadline would pass while a backend still processes the request, and the work would be wasted.
const MIN_TIME_LEFT_FRACTION: f64 = 0.6;
/// The longest wait for admission, as a fraction of the timeout. A short wait is enough where few calls are
/// in flight, because their excess ends within a few responses. The fraction is small because, in a lasting
/// overload, the wait only delays the rejection of the request.
const MAX_ADMISSION_WAIT_FRACTION: f64 = 0.25;
/// The margin between the latest response and the client's deadline, as a multiple of the clock resolution.
/// Timers have no finer resolution.
const RESPONSE_MARGIN_CLOCK_RESOLUTION_MULTIPLE: f64 = 2.0;

/// The arrival rates of the requests of one class, by quota status.
#[derive(Clone, Copy, Debug)]
struct ArrivalRates {
    within_quota: DecayingRate,
    over_quota: DecayingRate,
}

impl ArrivalRates {
    fn starting_at(now: Time) -> Self {
        let rate = DecayingRate::starting_at(now);
        Self { within_quota: rate, over_quota: rate }
    }

    fn get(&self, quota: QuotaStatus) -> DecayingRate {
        match quota {
            QuotaStatus::Within => self.within_quota,
            QuotaStatus::Exceeded => self.over_quota,
        }
    }

    fn get_mut(&mut self, quota: QuotaStatus) -> &mut DecayingRate {
        match quota {
            QuotaStatus::Within => &mut self.within_quota,
            QuotaStatus::Exceeded => &mut self.over_quota,
        }
    }
}

/// The arrival rates of requests, and the queue of calls that wait for admission.
#[derive(Debug, Default)]
pub(super) struct Admission {
    /// The arrival rates of each class.
    arrivals: Vec<ArrivalRates>,
    queue: AdmissionQueue,
}

impl Admission {
    /// Applies the classes of new settings. `previous_indices` has, for each new class, its index in the
    /// previous settings, or `None` if the class is new. A class that existed before keeps its arrival
    /// rates.
    pub fn apply_settings(&mut self, previous_indices: &[Option<ClassIndex>], now: Time) {
        let no_arrivals = ArrivalRates::starting_at(now);
        let arrivals =
            previous_indices.iter().map(|class| class.map_or(no_arrivals, |class| self.arrivals[class.0]));
        self.arrivals = arrivals.collect();
    }

    /// Records the arrival of a request of a class.
    pub fn record_arrival(&mut self, class: ClassIndex, quota: QuotaStatus, now: Time, time_constant: Time) {
        self.arrivals[class.0].get_mut(quota).record(now, time_constant);
    }

    /// Returns the percentile rank of a request of a class. Ties between requests of equal priority are
    /// broken at random.
    pub fn percentile_rank(
        &self,
        class: ClassIndex,
        quota: QuotaStatus,
        now: Time,
        settings: &Settings,
        traffic: &Traffic,
        random: &mut SmallRng,
    ) -> PercentileRank {
        let own_priority = priority_per_work(class, quota, settings, traffic);
        let mut lower_priority_rate = 0.0;
        let mut equal_priority_rate = 0.0;
        let mut total_rate = 0.0;
        for (other_class, arrivals) in self.arrivals.iter().enumerate() {
            let other_class = ClassIndex(other_class);
            for other_quota in [QuotaStatus::Within, QuotaStatus::Exceeded] {
                // The rate is decayed in a copy, because the recorded rate decays only at arrivals.
                let mut rate = arrivals.get(other_quota);
                rate.decay(now, traffic.time_constant());
                let priority = priority_per_work(other_class, other_quota, settings, traffic);
                total_rate += rate.per_second();
                if priority < own_priority {
                    lower_priority_rate += rate.per_second();
                } else if priority == own_priority {
                    equal_priority_rate += rate.per_second();
                }
            }
        }
        PercentileRank(
            (lower_priority_rate + equal_priority_rate * random.random::<f64>())
                / total_rate.max(f64::MIN_POSITIVE),
        )
    }

    /// Returns the queue of calls that wait for admission.
    pub fn queue(&self) -> &AdmissionQueue {
        &self.queue
    }

    /// Returns the queue of calls that wait for admission, to add or remove calls.
    pub fn queue_mut(&mut self) -> &mut AdmissionQueue {
        &mut self.queue
    }
}

/// Returns the priority weight of a request divided by the expected work of a backend for the request.
fn priority_per_work(class: ClassIndex, quota: QuotaStatus, settings: &Settings, traffic: &Traffic) -> f64 {
    let quota_weight = match quota {
        QuotaStatus::Within => 1.0,
        QuotaStatus::Exceeded => settings.over_quota_weight,
    };
    let work = traffic.expected_latency(class).max(settings.clock_resolution);
    quota_weight * settings.class(class).priority_weight / work
}

/// Returns the time within which a response to a request is useful, in seconds. A response must be sent
/// before the client's deadline. If a response after the latency objective has no priority weight, the
/// latency objective is the limit, because a call that waits longer only keeps backends busy.
pub(super) fn effective_timeout(request: &Request, settings: &Settings) -> Time {
    let class = settings.class(request.class);
    let timeout = request.timeout - RESPONSE_MARGIN_CLOCK_RESOLUTION_MULTIPLE * settings.clock_resolution;
    if class.late_priority_weight <= 0.0 { timeout.min(class.latency_objective) } else { timeout }
}

/// Returns the least time left at the dispatch of a call of a class, in seconds.
pub(super) fn min_time_left(class: ClassIndex, traffic: &Traffic) -> Time {
    MIN_TIME_LEFT_FRACTION * traffic.expected_latency(class)
}

/// Returns the longest wait for admission of a call with this timeout, in seconds.
pub(super) fn max_admission_wait(timeout: Time) -> Time {
    MAX_ADMISSION_WAIT_FRACTION * timeout
}

/// Returns the time that the client should wait before a retry of a rejected request, in seconds, or `None`
/// if the settings state that clients do not honour `Retry-After`.
pub(super) fn retry_after(t1: Time, settings: &Settings) -> Option<Time> {
    let wait = t1.min(settings.max_retry_after);
    (wait > 0.0).then_some(wait)
}
