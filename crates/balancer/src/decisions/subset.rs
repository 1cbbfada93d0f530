//! Subset assignment: the backends in service that are members of this balancer's subset, to which it sends
//! first.

use super::endpoint_table::EndpointTable;
use super::fleet_assignment::{AssignableBackend, AssignedMember, FleetAssignment, FleetShape};
use super::maintenance::Maintenance;
use crate::interface::{Endpoint, Settings, Time};
use crate::support::BackendIndex;

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
/// The least number of members, over the mean number of backends for each balancer.
const MIN_SIZE_OVER_MEAN: f64 = 0.8;
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
    /// The time of the assignment, in seconds.
    pub now: Time,
}

/// A member that is no longer assigned to this balancer.
#[derive(Clone, Copy, Debug)]
struct LeavingMember {
    index: BackendIndex,
    /// The time by which all calls have ended that began while the member was assigned, in seconds.
    until: Time,
}

/// The backends in service, and the members of the subset.
#[derive(Debug, Default)]
pub(super) struct Subset {
    /// In ascending order.
    in_service: Vec<BackendIndex>,
    /// The members that are assigned to this balancer by the latest assignment.
    assigned: Vec<AssignedMember>,
    /// The members that are leaving.
    leaving: Vec<LeavingMember>,
    /// The members that are assigned, then those that are leaving.
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

    /// Returns the number of subsets of the fleet that have a member, over the mean of all backends.
    pub fn memberships_over_mean(&self, member: BackendIndex) -> f64 {
        let assigned = self.assigned.iter().find(|assigned| assigned.index == member);
        assigned.map_or(1.0, |assigned| assigned.memberships_over_mean)
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
    /// Members that were assigned before and are still in service stay until their calls have ended.
    pub fn assign(&mut self, in_service: Vec<BackendIndex>, inputs: AssignmentInputs<'_>) {
        self.in_service = in_service;
        self.raise_high_watermark(inputs.calls_in_flight, inputs.settings);
        let assigned = self.assigned_members(inputs);
        let previous = std::mem::replace(&mut self.assigned, assigned);
        self.update_leaving(&previous, inputs);
        let assigned = self.assigned.iter().map(|member| member.index);
        self.members = assigned.chain(self.leaving.iter().map(|member| member.index)).collect();
    }

    /// Adds the members that were assigned before to those that are leaving, unless they still are, and drops
    /// those that have left.
    fn update_leaving(&mut self, previous: &[AssignedMember], inputs: AssignmentInputs<'_>) {
        let AssignmentInputs { settings, now, .. } = inputs;
        let until = now + settings.longest_timeout();
        let Self { in_service, assigned, leaving, .. } = self;
        let is_assigned = |index| assigned.iter().any(|member| member.index == index);
        leaving.retain(|member| member.until >= now);
        leaving.extend(previous.iter().map(|member| LeavingMember { index: member.index, until }));
        leaving.retain(|LeavingMember { index, .. }| {
            in_service.binary_search(index).is_ok() && !is_assigned(*index)
        });
    }

    /// Returns the members that are assigned to this balancer: a function of the backends in service, the
    /// settings and the high watermark, so that all balancers agree on who has which backend.
    fn assigned_members(&self, inputs: AssignmentInputs<'_>) -> Vec<AssignedMember> {
        let AssignmentInputs { settings, endpoints, maintenance, .. } = inputs;
        let assignable =
            |index: &BackendIndex| AssignableBackend { index: *index, id: endpoints.get(*index).id };
        let backends: Vec<_> = self.in_service.iter().map(assignable).collect();
        let has_remote = self.in_service.iter().any(|index| is_cross_zone(endpoints.get(*index), settings));
        let mut assigned = if has_remote {
            self.assign_by_zone(backends, inputs)
        } else {
            let shape =
                FleetShape { balancers: settings.instance_count, min_members: self.min_size(settings) };
            FleetAssignment::new(backends, shape).members(settings.instance_index, self.high_watermark)
        };
        // A backend that was used becomes a member after its maintenance, whatever was assigned in the
        // meantime.
        let was_used = self.in_service.iter().filter(|index| maintenance.was_used(endpoints.get(**index).id));
        let returning = was_used.map(|index| AssignedMember { index: *index, memberships_over_mean: 1.0 });
        extend_to(&mut assigned, returning, usize::MAX);
        assigned
    }

    /// Returns the members of this balancer where crossing zones has a price: most are in its own zone, and a
    /// few in others serve what the zone cannot carry.
    ///
    /// A balancer does not know how many others are in its zone. Each backend is therefore assigned to one
    /// balancer of any zone, and the members within the zone are assigned as if all balancers were in this
    /// zone, and those in other zones likewise.
    fn assign_by_zone(
        &self,
        backends: Vec<AssignableBackend>,
        inputs: AssignmentInputs<'_>,
    ) -> Vec<AssignedMember> {
        let AssignmentInputs { settings, endpoints, .. } = inputs;
        let is_local = |index: BackendIndex| !is_cross_zone(endpoints.get(index), settings);
        let members = |backends: Vec<AssignableBackend>, min_members, wanted| {
            let shape = FleetShape { balancers: settings.instance_count, min_members };
            let members = FleetAssignment::new(backends, shape).members(settings.instance_index, wanted);
            // How many balancers of this zone have a backend is not known.
            members.into_iter().map(|member| AssignedMember { memberships_over_mean: 1.0, ..member })
        };
        // A zone with few balancers has few backends, too, and each balancer takes most of them.
        let min_local = self.min_size(settings).max(self.backends_per_balancer(settings));
        let min_remote = (min_local - MIN_MEMBERS as f64).max(MIN_CROSS_ZONE_MEMBERS as f64);
        let covered = members(backends.clone(), 0.0, 0);
        let (mut assigned, mut assigned_remote): (Vec<_>, Vec<_>) =
            covered.partition(|member| is_local(member.index));
        let (local, remote): (Vec<_>, Vec<_>) =
            backends.into_iter().partition(|backend| is_local(backend.index));
        let wanted = self.high_watermark;
        extend_to(&mut assigned, members(local, min_local, wanted), wanted.max(min_local.ceil() as usize));
        extend_to(&mut assigned_remote, members(remote, min_remote, 0), min_remote.ceil() as usize);
        assigned.extend(assigned_remote);
        assigned
    }

    /// Returns the least number of members, with which a choice between two is possible and the subsets of
    /// many backends differ little in size.
    fn min_size(&self, settings: &Settings) -> f64 {
        let least = if settings.tier.is_entry() { MIN_ENTRY_MEMBERS } else { MIN_MEMBERS };
        (MIN_SIZE_OVER_MEAN * self.backends_per_balancer(settings)).max(least as f64)
    }

    fn backends_per_balancer(&self, settings: &Settings) -> f64 {
        self.in_service.len() as f64 / settings.instance_count.max(1) as f64
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

/// Adds those of `others` that are not in `members` yet, until there are `wanted` members.
fn extend_to(members: &mut Vec<AssignedMember>, others: impl Iterator<Item = AssignedMember>, wanted: usize) {
    for other in others {
        let is_member = members.iter().any(|member| member.index == other.index);
        if members.len() < wanted && !is_member {
            members.push(other);
        }
    }
}
