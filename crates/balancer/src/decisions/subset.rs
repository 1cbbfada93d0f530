//! Subset assignment: the members, to which a balancer sends first.

use crate::state::{BackendIndex, Balancer, SubsetAssignment, hash_in_round, van_der_corput};

/// Least number of members of a subset.
pub(super) const MIN_MEMBERS: usize = 2;
/// The same at the entry tier, where more of them even out what each happens to get.
const MIN_ENTRY_MEMBERS: usize = 3;
/// Members for each call in flight on average, where connections are free: more tell backends apart.
const MEMBERS_PER_CALL: f64 = 1.0;
/// The same where connections have a cost: fewer members reuse them and stay under backends' limits.
const MEMBERS_PER_CALL_AT_A_COST: f64 = 0.25;
/// Members in other zones, where crossing zones has a price.
const MIN_CROSS_ZONE_MEMBERS: usize = 2;
/// Part of the memory of the send rate that has to pass before the subset grows by it.
const MIN_OBSERVED_MEMORY: f64 = 0.5;

impl Balancer {
    /// Grows the subset where the calls in flight call for more members than ever before.
    pub(super) fn grow_subset(&mut self) {
        let before = self.subset.grown_to;
        if self.subset_size() > before && self.subset.grown_to > before {
            self.assign_subset();
        }
    }

    /// Number of members wanted: never fewer than cover all backends, and more for a balancer
    /// that has more calls in flight, by Little's law.
    fn subset_size(&mut self) -> usize {
        if self.traffic.sent.span > MIN_OBSERVED_MEMORY * self.traffic.memory {
            let has_cost = self.settings.connections_have_cost;
            let per_call = if has_cost { MEMBERS_PER_CALL_AT_A_COST } else { MEMBERS_PER_CALL };
            let wanted = per_call * self.traffic.sent.per_second() * self.traffic.overall_latency.mean;
            self.subset.grown_to = self.subset.grown_to.max(wanted as usize);
        }
        self.min_subset_size().max(self.subset.grown_to)
    }

    /// Members without which some backends would be in no subset, and two to choose from.
    fn min_subset_size(&self) -> usize {
        let least = if self.settings.tier == 0 { MIN_ENTRY_MEMBERS } else { MIN_MEMBERS };
        let coverage = self.subset.in_service.len().div_ceil(self.settings.instance_count.max(1));
        least.max(coverage)
    }

    /// Assigns the subset again, keeping the members that are still in service.
    pub(super) fn assign_subset(&mut self) {
        let in_service = self.backends.indices().filter(|index| self.is_in_service(*index)).collect();
        let before = std::mem::replace(&mut self.subset.in_service, in_service);
        let assigned = self.assigned_members();
        let size = assigned.len();
        let SubsetAssignment { in_service, members, .. } = &mut self.subset;
        members.retain(|member| in_service.binary_search(member).is_ok());
        for &index in &assigned {
            let is_new = before.binary_search(&index).is_err();
            if !members.contains(&index) && (is_new || members.len() < size) {
                members.push(index);
            }
        }
        while members.len() > size {
            let superfluous = members.iter().position(|member| !assigned.contains(member)).unwrap_or(0);
            members.remove(superfluous);
        }
    }

    /// The members that are due to this balancer. Where crossing zones has a price, most are of its own
    /// zone, and a few of others for what that cannot carry.
    fn assigned_members(&mut self) -> Vec<BackendIndex> {
        let in_service = self.subset.in_service.iter();
        let (local, remote): (Vec<_>, Vec<_>) = in_service.partition(|index| !self.is_cross_zone(**index));
        let size = self.subset_size();
        let least = self.min_subset_size();
        let mut assigned = self.assign_from(local, least, size);
        assigned.extend(self.assign_from(remote, MIN_CROSS_ZONE_MEMBERS.max(least - MIN_MEMBERS), 0));
        // One that was used becomes a member after its maintenance, whatever was assigned meanwhile.
        let in_service = self.subset.in_service.iter().copied();
        let is_owed = |index: &BackendIndex| {
            self.maintenance.was_used(self.backends[*index].endpoint.id) && !assigned.contains(index)
        };
        let owed: Vec<_> = in_service.filter(is_owed).collect();
        assigned.extend(owed);
        assigned
    }

    /// Assigns backends in rounds, each with a shuffle of its own, so that all are in about as many subsets:
    /// with few balancers a plain random draw would leave some in none. At least `least` are assigned, and
    /// `size` if that is more.
    fn assign_from(&self, mut backends: Vec<BackendIndex>, least: usize, size: usize) -> Vec<BackendIndex> {
        let count = backends.len();
        let base = least.min(count);
        let subsets = count.div_ceil(base.max(1)).max(1);
        let round = (self.settings.instance_index / subsets) as u64;
        let place = self.settings.instance_index % subsets;
        // The places of a round are taken in the order of van der Corput: however few the last one
        // has, they are spread, and one more balancer moves none of the others.
        let start = van_der_corput(place, subsets) * count / subsets;
        backends
            .sort_by_cached_key(|index| (hash_in_round(self.backends[*index].endpoint.id, round), *index));
        let assigned = size.max(base).min(count);
        (0..assigned).map(|offset| backends[(start + offset) % count]).collect()
    }
}
