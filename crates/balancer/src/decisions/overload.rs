//! Overload detection: how far the calls in flight exceed what the send rate and the usual latency explain.

use crate::state::Balancer;

/// Deviations beyond the usual number of calls that chance explains at first.
const MAX_CHANCE_DEVIATIONS: f64 = 3.5;
/// Deviations beyond the usual number that chance explains once the excess has lasted.
const MIN_CHANCE_DEVIATIONS: f64 = 0.5;
/// A deviation is the root of the usual number of calls, or this part of it where that is more: at a busy
/// balancer the root is small relative to it.
const USUAL_SPREAD: f64 = 0.35;
/// What passes as chance narrows by this for each deviation of mean excess beyond `CALM_EXCESS`.
const NARROWING: f64 = 4.0;
/// Mean excess, in deviations, up to which nothing narrows.
const CALM_EXCESS: f64 = 0.4;
/// The excess is averaged over this part of the memory of the send rate.
const EXCESS_MEMORY: f64 = 0.15;
/// Up to this many calls in flight at each backend are no overload, however far beyond the usual. Guards
/// against shedding by chance: where few balancers face few backends, one that stops, invalid
/// responses or a brief burst soon double a usual four, and clients that are rejected come back at
/// once and keep it up. An entry backend keeps a call in flight, mostly idle, while the tiers
/// below work on it: four to seven at each were seen on days when responses took no longer than
/// usual. It could do harm where backends can't hold as many: at 14, overloads were not shed.
const MIN_CALLS_PER_BACKEND_FOR_OVERLOAD: f64 = 9.0;

impl Balancer {
    /// How far the unanswered calls exceed those that the rate of admitted calls and the usual latency
    /// explain: 0 within chance, 1 far outside it. An excess seen once may be chance, one that lasts is
    /// not: what passes as chance narrows with the mean excess.
    pub(super) fn pressure(&mut self) -> f64 {
        self.traffic.sent.decay(self.now, self.traffic.memory);
        let usual = self.traffic.sent.per_second() * self.traffic.overall_latency.mean;
        let deviation = usual.max(1.0).sqrt().max(USUAL_SPREAD * usual);
        let excess = (self.calls_in_flight() - usual) / deviation;
        let memory = EXCESS_MEMORY * self.traffic.memory;
        let mean_excess = self.mean_excess.update(excess, self.now, memory);
        let narrowed = MAX_CHANCE_DEVIATIONS - NARROWING * (mean_excess - CALM_EXCESS);
        let chance = narrowed.clamp(MIN_CHANCE_DEVIATIONS, MAX_CHANCE_DEVIATIONS);
        if self.calls_per_backend() <= MIN_CALLS_PER_BACKEND_FOR_OVERLOAD {
            return 0.0;
        }
        (excess / chance - 1.0).clamp(0.0, 1.0)
    }

    /// Calls in flight at each healthy backend, if all balancers have as many as this one.
    fn calls_per_backend(&self) -> f64 {
        let healthy = self.healthy_members().count() as f64;
        self.calls_in_flight() * self.balancers_per_backend() / healthy.max(1.0)
    }

    /// Balancers that have a backend as a member, if all have as many members as this one.
    pub(super) fn balancers_per_backend(&self) -> f64 {
        let balancers = self.settings.instance_count * (1 + usize::from(self.second_process));
        let memberships = (balancers * self.subset.members.len()) as f64;
        (memberships / self.subset.in_service.len().max(1) as f64).max(1.0)
    }

    /// Calls in flight, those outside the subset included, but for those at outliers, which tell of
    /// faulty backends and not of a fleet that has too much to do. Calls that found no capacity count while
    /// they wait, hedged attempts of a call do not.
    fn calls_in_flight(&self) -> f64 {
        let limit = self.outlier_limit();
        let healthy = self.subset.in_service.iter().map(|backend| &self.backends[*backend]);
        let healthy = healthy.filter(|backend| self.remembered_slowness(backend) <= limit);
        let in_flight: usize = healthy.map(|backend| backend.in_flight).sum();
        (in_flight + self.calls.lacking_capacity).min(self.calls.unanswered()) as f64
    }
}
