//! Placement: the backend to which an attempt goes.

use super::subset::MIN_MEMBERS;
use crate::state::{BackendIndex, Balancer, CallKey, Scope};
use rand::Rng;

/// How much more load backends in other zones count as having, for each unit of the cost of a crossing,
/// in parts of the priority weight of an average request.
const CROSS_ZONE_LOAD: f64 = 40.0;
/// Loads that differ from the mean by no more than rounding are equal to it.
const LOAD_TOLERANCE: f64 = f64::EPSILON * 16.0;

impl Balancer {
    /// Of two random members of the subset the one with less load; for a retry the other one, or two new
    /// ones. Where members can't be used, any backends of the scope.
    pub(super) fn place(&mut self, key: CallKey, scope: Scope) -> Option<BackendIndex> {
        let tried: Vec<_> = self.calls[key].attempts.iter().map(|attempt| attempt.backend).collect();
        let alternative = self.calls[key].alternative.take();
        if let Some(alternative) = alternative.filter(|index| self.is_candidate(*index, scope, &tried))
            && self.is_usable(alternative)
        {
            return Some(alternative);
        }
        let mut pool = self.candidates(scope, &tried);
        self.drop_loaded(&mut pool);
        let one = pool.swap_remove(self.draw_index(pool.len())?);
        let Some(two) = self.draw_index(pool.len()).map(|index| pool[index]) else { return Some(one) };
        let two_is_better = self.load(two) < self.load(one);
        let (chosen, alternative) = if two_is_better { (two, one) } else { (one, two) };
        self.calls[key].alternative = Some(alternative);
        Some(chosen)
    }

    fn is_candidate(&self, backend: BackendIndex, scope: Scope, tried: &[BackendIndex]) -> bool {
        scope.contains(&self.backends[backend].endpoint) && !tried.contains(&backend)
    }

    /// The usable members, and others in place of members that are warming up and have used up their budget:
    /// what those can't take must not all fall on the few warm ones that a subset happens to hold.
    fn candidates(&mut self, scope: Scope, tried: &[BackendIndex]) -> Vec<BackendIndex> {
        let mut pool = self.subset.members.clone();
        pool.retain(|index| self.is_candidate(*index, scope, tried));
        let members = pool.len();
        pool.retain(|index| self.is_usable(*index));
        let wanted = if pool.is_empty() { 2 * MIN_MEMBERS } else { members };
        if pool.len() >= wanted {
            return pool;
        }
        let mut others = self.subset.in_service.clone();
        others
            .retain(|index| self.is_candidate(*index, scope, tried) && !self.subset.members.contains(index));
        while pool.len() < wanted
            && let Some(drawn) = self.draw_index(others.len())
        {
            let other = others.swap_remove(drawn);
            if self.is_usable(other) {
                pool.push(other);
            }
        }
        pool
    }

    /// Drops backends with more than the mean load: slow machines would be overloaded whenever both that are
    /// drawn are slow.
    fn drop_loaded(&self, pool: &mut Vec<BackendIndex>) {
        let mean = pool.iter().map(|index| self.load(*index)).sum::<f64>() / pool.len() as f64;
        pool.retain(|index| self.load(*index) <= mean * (1.0 + LOAD_TOLERANCE));
    }

    /// Own calls in flight, this one included, times the service time that the backend reports relative to
    /// the fleet's, per weight. A backend that fails fast or hangs looks idle to such a count, so that its
    /// slowness and failures count as load.
    fn load(&self, index: BackendIndex) -> f64 {
        let backend = &self.backends[index];
        let is_cross_zone = self.is_cross_zone(index);
        let crossing =
            if is_cross_zone { 1.0 + CROSS_ZONE_LOAD * self.settings.cross_zone_cost } else { 1.0 };
        let service = match backend.service_time {
            Some(own) if self.fleet_load.service_time > 0.0 => own / self.fleet_load.service_time,
            _ => 1.0,
        };
        let calls = (backend.in_flight + 1) as f64;
        let weight = backend.endpoint.weight.max(f64::MIN_POSITIVE);
        crossing * calls * service * self.slowness(backend) / weight
    }

    /// A random index below `len`; None if there is none.
    fn draw_index(&mut self, len: usize) -> Option<usize> {
        (len > 0).then(|| self.random.random_range(0..len))
    }

    /// A call to the backend would cross zones, and that has a price.
    pub(super) fn is_cross_zone(&self, index: BackendIndex) -> bool {
        let zone = self.backends[index].endpoint.zone;
        self.settings.cross_zone_cost > 0.0 && zone != self.settings.zone
    }
}
