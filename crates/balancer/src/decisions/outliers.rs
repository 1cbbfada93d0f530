//! Outlier detection: how slow each backend is relative to the usual latency, and which are outliers.

use crate::interface::*;
use crate::state::{Attempt, Backend, BackendIndex, Balancer, CallKey, Slowness};

/// A member this many times slower than the best one is an outlier, and says nothing of the fleet's load.
const OUTLIER_RATIO: f64 = 2.5;
/// Weight of a sample in the slowness of a backend.
const SLOWNESS_WEIGHT: f64 = 0.2;
/// How much slower than usual a failed attempt makes its backend look.
const FAILURE_SLOWNESS: f64 = 8.0;
/// A failure within this part of the usual latency is no sign of load.
const FAST_FAILURE: f64 = 0.5;
/// Weight of such a failure: a backend that fails at once is idle in between, and would be chosen again.
const FAST_FAILURE_WEIGHT: f64 = 0.5;
/// What is known of a backend is forgotten over this part of the memory of the send rate.
const SLOWNESS_MEMORY: f64 = 0.5;

impl Balancer {
    /// Learns from a successful attempt that took `duration` seconds, relative to the usual latency.
    pub(super) fn learn_success(&mut self, backend: BackendIndex, learned_class: usize, duration: Time) {
        let usual = self.traffic.latency[learned_class].mean;
        if usual > 0.0 {
            self.learn_slowness(backend, duration / usual, SLOWNESS_WEIGHT);
        }
    }

    /// Learns from an attempt that failed after `duration` seconds.
    pub(super) fn learn_failure(&mut self, backend: BackendIndex, learned_class: usize, duration: Time) {
        let usual = self.traffic.latency[learned_class].mean;
        let is_fast = duration < FAST_FAILURE * usual;
        let weight = if is_fast { FAST_FAILURE_WEIGHT } else { SLOWNESS_WEIGHT };
        self.learn_slowness(backend, FAILURE_SLOWNESS, weight);
    }

    fn learn_slowness(&mut self, backend: BackendIndex, ratio: f64, weight: f64) {
        let known = self.remembered_slowness(&self.backends[backend]);
        let ratio = known + weight * (ratio.min(FAILURE_SLOWNESS) - known);
        self.backends[backend].slowness = Slowness { ratio, at: self.now };
    }

    /// Learns from the attempts of a call in flight at backends that have answered nothing since. Returns
    /// whether one has answered since, and so is alive.
    pub(super) fn learn_from_waiting(&mut self, key: CallKey, has_failed: bool) -> bool {
        let mut is_alive = false;
        let learned_class = self.calls[key].learned_class;
        for index in 0..self.calls[key].attempts.len() {
            let Attempt { backend, sent_at, outcome, .. } = self.calls[key].attempts[index];
            if outcome.is_some() {
                continue;
            }
            let waited = self.now - sent_at;
            if self.backends[backend].last_success_at > sent_at {
                is_alive = true;
            } else if has_failed {
                self.learn_failure(backend, learned_class, waited);
            } else {
                self.learn_success(backend, learned_class, waited);
            }
        }
        is_alive
    }

    /// The slowness of a backend, or how long it has been silent with calls in flight, if that is worse.
    /// Guards against backends that stand still, whatever the cause: one costly call on the only
    /// core, a pause, a lost machine. Their calls end too late to tell, and until then new ones
    /// would pile up behind them. One that is busy goes on answering, however many wait. It could
    /// do harm where responses are rare and long: silence is then usual, at all members alike.
    pub(super) fn slowness(&self, backend: &Backend) -> f64 {
        let remembered = self.remembered_slowness(backend);
        let usual = self.traffic.overall_latency.mean;
        if backend.in_flight == 0 || usual <= 0.0 {
            return remembered;
        }
        let silence = (self.now - backend.last_active_at) / usual;
        remembered.max(silence.min(FAILURE_SLOWNESS))
    }

    /// What was seen of a backend fades, so that it is tried again.
    pub(super) fn remembered_slowness(&self, backend: &Backend) -> f64 {
        let Slowness { ratio, at } = backend.slowness;
        let age = (self.now - at) / self.slowness_memory();
        1.0 + (ratio - 1.0) * (-age).exp()
    }

    /// The time over which what is known of a backend fades, in seconds.
    pub(super) fn slowness_memory(&self) -> Time {
        SLOWNESS_MEMORY * self.traffic.memory
    }

    /// The members that are no outliers.
    pub(super) fn healthy_members(&self) -> impl Iterator<Item = BackendIndex> {
        let limit = self.outlier_limit();
        let members = self.subset.members.iter().copied();
        members.filter(move |member| self.remembered_slowness(&self.backends[*member]) <= limit)
    }

    /// The slowness beyond which a backend is an outlier.
    pub(super) fn outlier_limit(&self) -> f64 {
        OUTLIER_RATIO * self.best_slowness()
    }

    /// The slowness of the best member that is not warming up, if there is one: those that warm up are fast
    /// as they get little, and next to them all others would look bad in an overload, as those take the rest.
    fn best_slowness(&self) -> f64 {
        let best = |with_warming_up: bool| {
            let members = self.subset.members.iter().copied();
            let members =
                members.filter(|member| with_warming_up || self.warming_up_since(*member).is_none());
            members.map(|member| self.remembered_slowness(&self.backends[member])).reduce(f64::min)
        };
        best(false).or_else(|| best(true)).unwrap_or(f64::INFINITY)
    }

    /// Listed backends that get little or nothing now: those in maintenance, and outliers.
    #[must_use]
    pub fn backends_avoided(&self) -> usize {
        let listed = self.listed_endpoints();
        let in_maintenance = listed.filter(|endpoint| self.maintenance.contains(endpoint.id)).count();
        in_maintenance + self.subset.members.len() - self.healthy_members().count()
    }
}
