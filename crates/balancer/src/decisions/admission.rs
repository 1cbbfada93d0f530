//! Admission: requests are counted, ranked by their priority for their work, and rejected where a
//! response would come too late. Under overload the entry tier lets requests of low rank wait, and
//! rejects them if the overload lasts.

use super::admission_queue::{AdmissionQueue, Rank};
use super::quotas::QuotaStatus;
use super::traffic::Traffic;
use crate::interface::{ClassIndex, Request, Settings, Time};
use crate::support::DecayingRate;
use rand::Rng;
use rand::rngs::SmallRng;

/// The least time left of a call at its dispatch, as a fraction of the expected latency. With less, the
/// work of a backend would be given up half done.
const MIN_TIME_LEFT_FRACTION: f64 = 0.6;
/// The longest wait for admission, as a fraction of the timeout. Where few calls are in flight, an excess
/// comes and goes within a few responses. Where the overload lasts, the wait of a request that is
/// rejected in the end was for nothing, so that the fraction is small.
const MAX_WAIT_FRACTION: f64 = 0.25;
/// The clock quanta before the client's deadline by which a response must be out, as timers fire once a
/// quantum.
const RESPONSE_QUANTA: f64 = 2.0;

/// The rates at which the requests of one class arrive.
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

/// The arriving requests, and the calls that wait for admission.
#[derive(Debug, Default)]
pub(super) struct Admission {
    /// By class.
    arrivals: Vec<ArrivalRates>,
    queue: AdmissionQueue,
}

impl Admission {
    /// Adopts new classes. `previous` has the index of each class in the settings before, if it was
    /// there; such a class keeps its arrival rates.
    pub fn apply_settings(&mut self, previous: &[Option<ClassIndex>], now: Time) {
        let fresh = ArrivalRates::starting_at(now);
        let arrivals = previous.iter().map(|class| class.map_or(fresh, |class| self.arrivals[class.0]));
        self.arrivals = arrivals.collect();
    }

    /// Counts a request of a class.
    pub fn record_arrival(&mut self, class: ClassIndex, quota: QuotaStatus, now: Time, time_constant: Time) {
        self.arrivals[class.0].get_mut(quota).record(now, time_constant);
    }

    /// Returns the rank of a request of a class. Among requests of equal priority the rank is drawn at
    /// random.
    pub fn rank(
        &self,
        class: ClassIndex,
        quota: QuotaStatus,
        now: Time,
        settings: &Settings,
        traffic: &Traffic,
        random: &mut SmallRng,
    ) -> Rank {
        let own = priority_per_work(class, quota, settings, traffic);
        let mut below = 0.0;
        let mut equal = 0.0;
        let mut all = 0.0;
        for (other_class, arrivals) in self.arrivals.iter().enumerate() {
            let other_class = ClassIndex(other_class);
            for other_quota in [QuotaStatus::Within, QuotaStatus::Exceeded] {
                // A copy, so that the recorded rate decays at arrivals only.
                let mut rate = arrivals.get(other_quota);
                rate.decay(now, traffic.time_constant());
                let priority = priority_per_work(other_class, other_quota, settings, traffic);
                all += rate.per_second();
                if priority < own {
                    below += rate.per_second();
                } else if priority == own {
                    equal += rate.per_second();
                }
            }
        }
        Rank((below + equal * random.random::<f64>()) / all.max(f64::MIN_POSITIVE))
    }

    /// Returns the calls that wait for admission.
    pub fn queue(&self) -> &AdmissionQueue {
        &self.queue
    }

    /// Returns the calls that wait for admission.
    pub fn queue_mut(&mut self) -> &mut AdmissionQueue {
        &mut self.queue
    }
}

/// Returns the priority weight of a request over the work that the request takes a backend.
fn priority_per_work(class: ClassIndex, quota: QuotaStatus, settings: &Settings, traffic: &Traffic) -> f64 {
    let quota_weight = match quota {
        QuotaStatus::Within => 1.0,
        QuotaStatus::Exceeded => settings.over_quota_weight,
    };
    let work = traffic.expected_latency(class).max(settings.quantum);
    quota_weight * settings.class(class).priority_weight / work
}

/// Returns the time in which a response to a request is of use, in seconds. A response must be out before
/// the client gives up. Where a late response is worth nothing, a call that waits for one only keeps
/// backends busy.
pub(super) fn useful_timeout(request: &Request, settings: &Settings) -> Time {
    let class = settings.class(request.class);
    let timeout = request.timeout - RESPONSE_QUANTA * settings.quantum;
    if class.late_priority_weight <= 0.0 { timeout.min(class.latency_objective) } else { timeout }
}

/// Returns the least time left with which a call of a class is dispatched, in seconds.
pub(super) fn min_time_left(class: ClassIndex, traffic: &Traffic) -> Time {
    MIN_TIME_LEFT_FRACTION * traffic.expected_latency(class)
}

/// Returns the longest wait of a call with this timeout for its admission, in seconds.
pub(super) fn max_wait(timeout: Time) -> Time {
    MAX_WAIT_FRACTION * timeout
}

/// Returns the wait that a rejection asks of the client, in seconds, where clients honour one.
pub(super) fn retry_after(t1: Time, settings: &Settings) -> Option<Time> {
    let wait = t1.min(settings.max_retry_after);
    (wait > 0.0).then_some(wait)
}
