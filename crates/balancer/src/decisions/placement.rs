//! Placement: the backend to which an attempt is sent.

use super::backends::Backends;
use super::decision_context::DecisionContext;
use super::scope::Scope;
use super::subset::{MIN_MEMBERS, is_cross_zone};
use crate::support::BackendIndex;
use rand::Rng;

/// The additional load that a backend in another zone counts as having, as a multiple of its own load,
/// for each unit of the cost of crossing zones. That unit is the priority weight of an average request.
const CROSS_ZONE_LOAD: f64 = 40.0;
/// The fraction by which a load may exceed the mean and still count as equal: the error of rounding.
const LOAD_TOLERANCE: f64 = f64::EPSILON * 16.0;

/// The constraints on the backend of an attempt.
#[derive(Clone, Copy, Debug)]
pub(super) struct Constraints<'a> {
    /// The backends to which the attempt may be sent.
    pub scope: Scope,
    /// The backends of earlier attempts, which are excluded.
    pub tried: &'a [BackendIndex],
}

impl Constraints<'_> {
    fn permit(&self, index: BackendIndex, backends: &Backends) -> bool {
        self.scope.contains(backends.endpoint(index)) && !self.tried.contains(&index)
    }
}

/// The backend of an attempt.
#[derive(Clone, Copy, Debug)]
pub(super) struct Placement {
    /// The backend to which the attempt is sent.
    pub backend: BackendIndex,
    /// The other backend that was drawn, to which a retry is sent.
    pub alternative: Option<BackendIndex>,
}

/// Chooses the backend of an attempt.
pub(super) struct Placer<'a, 'c> {
    /// The backends to choose from.
    pub backends: &'a mut Backends,
    /// The state that the decision uses.
    pub context: &'a mut DecisionContext<'c>,
}

impl Placer<'_, '_> {
    /// Returns the alternative of an earlier attempt, if there is one that can be used; else the one with
    /// less load of two backends that are drawn from the candidates. None if there is no candidate.
    pub fn place(
        &mut self,
        alternative: Option<BackendIndex>,
        constraints: Constraints<'_>,
    ) -> Option<Placement> {
        if let Some(backend) = alternative.filter(|index| constraints.permit(*index, self.backends))
            && self.is_usable(backend)
        {
            return Some(Placement { backend, alternative: None });
        }
        let mut pool = self.candidates(constraints);
        self.drop_loaded(&mut pool);
        let first = pool.swap_remove(self.draw_index(pool.len())?);
        let Some(second) = self.draw_index(pool.len()).map(|index| pool[index]) else {
            return Some(Placement { backend: first, alternative: None });
        };
        if self.load(second) < self.load(first) {
            Some(Placement { backend: second, alternative: Some(first) })
        } else {
            Some(Placement { backend: first, alternative: Some(second) })
        }
    }

    /// Returns the usable members, and other usable backends in place of members that have used up their
    /// budget of slow start. Otherwise the requests that those members cannot take would all go to the
    /// few warm members of this subset, and overload them. Where no member is usable, some other backends
    /// are returned.
    fn candidates(&mut self, constraints: Constraints<'_>) -> Vec<BackendIndex> {
        let mut pool = self.backends.subset().members().to_vec();
        pool.retain(|index| constraints.permit(*index, self.backends));
        let permitted_members = pool.len();
        pool.retain(|index| self.is_usable(*index));
        let wanted = if pool.is_empty() { 2 * MIN_MEMBERS } else { permitted_members };
        if pool.len() < wanted {
            self.add_others(&mut pool, wanted, constraints);
        }
        pool
    }

    /// Draws usable backends outside the subset until the pool has `wanted` backends, as far as there are
    /// any.
    fn add_others(&mut self, pool: &mut Vec<BackendIndex>, wanted: usize, constraints: Constraints<'_>) {
        let subset = self.backends.subset();
        let mut others = subset.in_service().to_vec();
        others.retain(|index| constraints.permit(*index, self.backends) && !subset.contains(*index));
        while pool.len() < wanted
            && let Some(drawn) = self.draw_index(others.len())
        {
            let other = others.swap_remove(drawn);
            if self.is_usable(other) {
                pool.push(other);
            }
        }
    }

    /// Drops the backends with more than the mean load. A slow machine would be overloaded whenever both
    /// backends that are drawn are slow.
    fn drop_loaded(&self, pool: &mut Vec<BackendIndex>) {
        let mean = pool.iter().map(|index| self.load(*index)).sum::<f64>() / pool.len() as f64;
        pool.retain(|index| self.load(*index) <= mean * (1.0 + LOAD_TOLERANCE));
    }

    /// Returns the load that one more call would put on a backend: this balancer's calls in flight times
    /// the backend's service time relative to the fleet's, per weight.
    ///
    /// A backend that fails fast or hangs looks idle by that count, so that its latency penalty
    /// multiplies the load.
    fn load(&self, index: BackendIndex) -> f64 {
        let DecisionContext { now, settings, traffic, .. } = &*self.context;
        let endpoint = self.backends.endpoint(index);
        let in_flight = self.backends.in_flight(index);
        let expected_latency = traffic.overall_expected_latency();
        let crossing = if is_cross_zone(endpoint, settings) {
            1.0 + CROSS_ZONE_LOAD * settings.cross_zone_cost
        } else {
            1.0
        };
        let calls = (in_flight + 1) as f64;
        let service_time = self.backends.relative_service_time(index);
        let penalty = self.backends.outliers().latency_penalty(index, in_flight, expected_latency, *now);
        let weight = endpoint.weight.max(f64::MIN_POSITIVE);
        crossing * calls * service_time * penalty / weight
    }

    fn is_usable(&mut self, index: BackendIndex) -> bool {
        self.backends.is_usable(index, self.context)
    }

    /// Draws a random index below `len`, or returns None without a draw if there is none.
    fn draw_index(&mut self, len: usize) -> Option<usize> {
        (len > 0).then(|| self.context.random.random_range(0..len))
    }
}
