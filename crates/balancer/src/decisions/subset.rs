//! Subset assignment: the backends in service that are members of this balancer's subset, to which it sends
//! first.

use super::endpoint_table::EndpointTable;
use super::maintenance::Maintenance;
use crate::interface::{Endpoint, Settings};
use crate::support::{BackendIndex, hash_in_round, van_der_corput};

/// The least number of members.
pub(super) const MIN_MEMBERS: usize = 2;
/// The least number of members at the entry tier, where more members even out the requests that each gets.
const MIN_ENTRY_MEMBERS: usize = 3;
/// The members for each call in flight on average, where connections are free. More members make it
/// easier to tell a slow backend from a slow fleet.
const MEMBERS_PER_CALL: f64 = 1.0;
/// The members for each call in flight on average, where connections have a cost. Fewer members reuse
/// connections more and stay below the limits of backends.
const MEMBERS_PER_CALL_WITH_CONNECTION_COST: f64 = 0.25;
/// The least number of members in other zones, where crossing zones has a price.
const MIN_CROSS_ZONE_MEMBERS: usize = 2;

/// The facts on which an assignment depends.
#[derive(Clone, Copy, Debug)]
pub(super) struct AssignmentInputs<'a> {
    /// The settings in force.
    pub settings: &'a Settings,
    /// The endpoint list.
    pub endpoints: &'a EndpointTable,
    /// The backends in maintenance, and those that have returned.
    pub maintenance: &'a Maintenance,
    /// The calls in flight on average, once known.
    pub calls_in_flight: Option<f64>,
}

/// The backends in service, and the members of the subset.
#[derive(Debug, Default)]
pub(super) struct Subset {
    /// In ascending order.
    in_service: Vec<BackendIndex>,
    members: Vec<BackendIndex>,
    /// The greatest number of members that the calls in flight have ever called for.
    high_watermark: usize,
}

impl Subset {
    /// Returns the backends in service in ascending order.
    pub fn in_service(&self) -> &[BackendIndex] {
        &self.in_service
    }

    /// Returns the members.
    pub fn members(&self) -> &[BackendIndex] {
        &self.members
    }

    /// Returns whether a backend is a member.
    pub fn contains(&self, backend: BackendIndex) -> bool {
        backend.is_in(&self.members)
    }

    /// Removes all members, so that the next assignment starts afresh.
    pub fn clear(&mut self) {
        self.members.clear();
    }

    /// Returns the number of balancers that have a backend as a member, if each of `balancers` has as many
    /// members as this one; at least 1.
    pub fn balancers_per_backend(&self, balancers: usize) -> f64 {
        let memberships = (balancers * self.members.len()) as f64;
        (memberships / self.in_service.len().max(1) as f64).max(1.0)
    }

    /// Raises the high watermark to the number of members that the calls in flight on average call for, by
    /// Little's law. Returns whether the watermark rose.
    pub fn raise_high_watermark(&mut self, calls_in_flight: Option<f64>, settings: &Settings) -> bool {
        let Some(calls_in_flight) = calls_in_flight else { return false };
        let members_per_call = if settings.connections_have_cost {
            MEMBERS_PER_CALL_WITH_CONNECTION_COST
        } else {
            MEMBERS_PER_CALL
        };
        let wanted = (members_per_call * calls_in_flight) as usize;
        let has_risen = wanted > self.high_watermark;
        self.high_watermark = self.high_watermark.max(wanted);
        has_risen
    }

    /// Assigns the subset again, now that `in_service` are the backends in service in ascending order.
    /// Members that are still in service stay, as far as the size permits.
    pub fn assign(&mut self, in_service: Vec<BackendIndex>, inputs: AssignmentInputs<'_>) {
        let previous = std::mem::replace(&mut self.in_service, in_service);
        let assigned = self.assigned_members(inputs);
        let size = assigned.len();
        let Self { in_service, members, .. } = self;
        members.retain(|member| in_service.binary_search(member).is_ok());
        for &index in &assigned {
            let is_new = previous.binary_search(&index).is_err();
            if !index.is_in(members) && (is_new || members.len() < size) {
                members.push(index);
            }
        }
        while members.len() > size {
            let superfluous = members.iter().position(|member| !member.is_in(&assigned));
            members.remove(superfluous.unwrap_or(0));
        }
    }

    /// Returns the members that are due to this balancer. Where crossing zones has a price, most members
    /// are in the balancer's own zone, and a few in others serve what the zone cannot carry.
    fn assigned_members(&mut self, inputs: AssignmentInputs<'_>) -> Vec<BackendIndex> {
        let AssignmentInputs { settings, endpoints, maintenance, calls_in_flight } = inputs;
        let is_local = |index: &BackendIndex| !is_cross_zone(endpoints.get(*index), settings);
        let (local, remote) = self.in_service.iter().copied().partition(is_local);
        self.raise_high_watermark(calls_in_flight, settings);
        let least = self.min_size(settings);
        let least_remote = MIN_CROSS_ZONE_MEMBERS.max(least - MIN_MEMBERS);
        let mut assigned = assign_from(local, least, self.high_watermark, inputs);
        assigned.extend(assign_from(remote, least_remote, 0, inputs));
        // A backend that was used becomes a member after its maintenance, whatever was assigned in the
        // meantime.
        let is_returning =
            |index: &BackendIndex| maintenance.was_used(endpoints.get(*index).id) && !index.is_in(&assigned);
        let returning: Vec<_> = self.in_service.iter().copied().filter(is_returning).collect();
        assigned.extend(returning);
        assigned
    }

    /// Returns the number of members below which some backends would be in no subset, or a choice between
    /// two would be impossible.
    fn min_size(&self, settings: &Settings) -> usize {
        let least = if settings.tier.is_entry() { MIN_ENTRY_MEMBERS } else { MIN_MEMBERS };
        let coverage = self.in_service.len().div_ceil(settings.instance_count.max(1));
        least.max(coverage)
    }
}

/// Returns whether a call to an endpoint crosses zones, and crossing zones has a price.
pub(super) fn is_cross_zone(endpoint: &Endpoint, settings: &Settings) -> bool {
    settings.cross_zone_cost > 0.0 && endpoint.zone != settings.zone
}

/// Returns whether both settings assign the same subsets.
pub(super) fn assign_alike(old: &Settings, new: &Settings) -> bool {
    old.instance_count == new.instance_count
        && old.instance_index == new.instance_index
        && old.tier == new.tier
        && old.zone == new.zone
        && (old.cross_zone_cost > 0.0) == (new.cross_zone_cost > 0.0)
}

/// Assigns at least `least` of some backends to this balancer, and `wanted` if that is more.
///
/// Backends are assigned in rounds. Each round shuffles the backends in its own way and divides them
/// among as many balancers as it has room for, so that all backends are in about as many subsets. With
/// few balancers, a random draw by each would leave some backends in no subset.
fn assign_from(
    mut backends: Vec<BackendIndex>,
    least: usize,
    wanted: usize,
    inputs: AssignmentInputs<'_>,
) -> Vec<BackendIndex> {
    let AssignmentInputs { settings, endpoints, .. } = inputs;
    let count = backends.len();
    let base = least.min(count);
    let subsets_per_round = count.div_ceil(base.max(1)).max(1);
    let round = (settings.instance_index / subsets_per_round) as u64;
    let position = settings.instance_index % subsets_per_round;
    // The positions of a round are taken in the order of the van der Corput sequence. However few
    // balancers the last round has, they are spread, and one more balancer moves none of the others.
    let start = van_der_corput(position, subsets_per_round) * count / subsets_per_round;
    backends.sort_by_cached_key(|index| (hash_in_round(endpoints.get(*index).id, round), *index));
    let assigned = wanted.max(base).min(count);
    (0..assigned).map(|offset| backends[(start + offset) % count]).collect()
}
