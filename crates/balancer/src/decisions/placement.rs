//! Placement: chooses the backend of an attempt by the power of two random choices. Of two candidates that
//! are sampled at random, the one with less load gets the attempt.

use super::backends::Backends;
use super::decision_context::DecisionContext;
use super::scope::Scope;
use super::subset::{MIN_SUBSET_SIZE, incurs_cross_zone_cost};
use crate::support::BackendIndex;
use rand::Rng;

/// The additional load of a backend in another zone, as a multiple of its own load, for each unit of the
/// cost of crossing zones. One unit of cost is the priority weight of an average request.
const CROSS_ZONE_LOAD_FACTOR: f64 = 40.0;
/// The rounding error by which a load may exceed the mean and still count as equal, as a fraction of the
/// mean.
const LOAD_ROUNDING_TOLERANCE: f64 = f64::EPSILON * 16.0;

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
    /// The sampled candidate that was not chosen, if there is one. A retry is sent to it.
    pub alternative: Option<BackendIndex>,
}

/// Chooses the backend of an attempt.
pub(super) struct BackendPicker<'a, 'c> {
    /// The backends to choose from.
    pub backends: &'a mut Backends,
    /// The state of the balancer that the decision uses.
    pub context: &'a mut DecisionContext<'c>,
}

impl BackendPicker<'_, '_> {
    /// Returns the `alternative` of an earlier attempt if it is usable. Otherwise samples two candidates
    /// and returns the one with less load. Returns `None` if there is no candidate.
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
        let mut candidates = self.candidates(constraints);
        self.remove_above_mean_load(&mut candidates);
        let first = candidates.swap_remove(self.sample_index(candidates.len())?);
        let Some(second) = self.sample_index(candidates.len()).map(|index| candidates[index]) else {
            return Some(Placement { backend: first, alternative: None });
        };
        if self.load(second) < self.load(first) {
            Some(Placement { backend: second, alternative: Some(first) })
        } else {
            Some(Placement { backend: first, alternative: Some(second) })
        }
    }

    /// Returns the usable members, and other usable backends in place of members that are in slow start and
    /// have no budget left. Without these other backends, the requests that such members cannot take would
    /// all go to the few warm members of the subset and overload them. If no member is usable, returns a
    /// few other usable backends.
    fn candidates(&mut self, constraints: Constraints<'_>) -> Vec<BackendIndex> {
        let mut candidates = self.backends.subset().members().to_vec();
        candidates.retain(|index| constraints.permit(*index, self.backends));
        let permitted_member_count = candidates.len();
        candidates.retain(|index| self.is_usable(*index));
        let target_count = if candidates.is_empty() { 2 * MIN_SUBSET_SIZE } else { permitted_member_count };
        if candidates.len() < target_count {
            self.add_non_members(&mut candidates, target_count, constraints);
        }
        candidates
    }

    /// Samples usable backends outside the subset until there are `target_count` candidates or no such
    /// backend is left.
    fn add_non_members(
        &mut self,
        candidates: &mut Vec<BackendIndex>,
        target_count: usize,
        constraints: Constraints<'_>,
    ) {
        let subset = self.backends.subset();
        let mut non_members = subset.in_service().to_vec();
        non_members.retain(|index| constraints.permit(*index, self.backends) && !subset.contains(*index));
        while candidates.len() < target_count
            && let Some(sampled_index) = self.sample_index(non_members.len())
        {
            let non_member = non_members.swap_remove(sampled_index);
            if self.is_usable(non_member) {
                candidates.push(non_member);
            }
        }
    }

    /// Removes the candidates whose load exceeds the mean. Otherwise a slow machine would be overloaded
    /// whenever both sampled candidates are slow.
    fn remove_above_mean_load(&self, candidates: &mut Vec<BackendIndex>) {
        let mean = candidates.iter().map(|index| self.load(*index)).sum::<f64>() / candidates.len() as f64;
        candidates.retain(|index| self.load(*index) <= mean * (1.0 + LOAD_ROUNDING_TOLERANCE));
    }

    /// Returns the load of a backend with one more call: the number of this balancer's calls in flight plus
    /// one, times the backend's relative service time, divided by its weight.
    ///
    /// The latency penalty multiplies the load, because a backend that fails fast or hangs looks idle by
    /// the number of calls. The additional load of a backend in another zone multiplies the load as well.
    fn load(&self, index: BackendIndex) -> f64 {
        let DecisionContext { now, settings, traffic, .. } = &*self.context;
        let endpoint = self.backends.endpoint(index);
        let in_flight = self.backends.in_flight(index);
        let expected_latency = traffic.overall_expected_latency();
        let cross_zone_factor = if incurs_cross_zone_cost(endpoint, settings) {
            1.0 + CROSS_ZONE_LOAD_FACTOR * settings.cross_zone_cost
        } else {
            1.0
        };
        let calls = (in_flight + 1) as f64;
        let service_time = self.backends.relative_service_time(index);
        let penalty = self.backends.outliers().latency_penalty(index, in_flight, expected_latency, *now);
        let weight = endpoint.weight.max(f64::MIN_POSITIVE);
        cross_zone_factor * calls * service_time * penalty / weight
    }

    fn is_usable(&mut self, index: BackendIndex) -> bool {
        self.backends.is_usable(index, self.context)
    }

    /// Returns a random index below `len`, or `None` without using the random generator if `len` is 0.
    fn sample_index(&mut self, len: usize) -> Option<usize> {
        (len > 0).then(|| self.context.random.random_range(0..len))
    }
}
