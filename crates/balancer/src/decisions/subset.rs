//! Subset assignment: chooses the backends in service that are members of this balancer's subset. The
//! balancer prefers members when it sends calls.

use super::endpoint_table::EndpointTable;
use super::fleet_assignment::{AssignableBackend, AssignedMember, FleetAssignment, FleetShape};
use super::maintenance::Maintenance;
use crate::interface::{Endpoint, Settings, Time};
use crate::support::BackendIndex;

/// The least number of members of a subset.
pub(super) const MIN_SUBSET_SIZE: usize = 2;
/// The least number of members at the entry tier, where more members even out the requests per member.
const MIN_ENTRY_SUBSET_SIZE: usize = 3;
/// The number of members for each call in flight on average, if connections are free. More members make it
/// easier to distinguish a slow backend from a slow fleet.
const MEMBERS_PER_CALL_IN_FLIGHT: f64 = 1.0;
/// The number of members for each call in flight on average, if connections have a cost. Fewer members
/// reuse connections more and stay below the connection limits of backends.
const MEMBERS_PER_CALL_IN_FLIGHT_WITH_CONNECTION_COST: f64 = 0.25;
/// The ratio of the least number of members to the mean number of backends per balancer.
const MIN_SIZE_TO_MEAN_RATIO: f64 = 0.8;
/// The least number of members in other zones, if crossing zones has a cost.
const MIN_CROSS_ZONE_MEMBERS: usize = 2;

/// The inputs of an assignment.
#[derive(Clone, Copy, Debug)]
pub(super) struct AssignmentInputs<'a> {
    /// The settings in force.
    pub settings: &'a Settings,
    /// The endpoint table.
    pub endpoints: &'a EndpointTable,
    /// The backends in maintenance, and the backends that have returned from it.
    pub maintenance: &'a Maintenance,
    /// The average number of calls in flight, or `None` while it is unknown.
    pub calls_in_flight: Option<f64>,
    /// The time of the assignment, in seconds.
    pub now: Time,
}

/// A member that is no longer assigned to this balancer.
#[derive(Clone, Copy, Debug)]
struct LeavingMember {
    index: BackendIndex,
    /// The time at which the member leaves the subset, in seconds. All calls that began while the member
    /// was assigned have ended by then.
    leaves_at: Time,
}

/// The backends in service, and the members of the subset.
#[derive(Debug, Default)]
pub(super) struct Subset {
    /// The backends in service, in ascending order.
    in_service: Vec<BackendIndex>,
    /// The members in the latest assignment of this balancer.
    assigned: Vec<AssignedMember>,
    /// The previously assigned members that are about to leave the subset.
    leaving: Vec<LeavingMember>,
    /// All members: the assigned ones, followed by the leaving ones.
    members: Vec<BackendIndex>,
    /// The greatest number of members that the calls in flight have required so far.
    high_watermark: usize,
}

impl Subset {
    /// Returns the backends in service, in ascending order.
    pub fn in_service(&self) -> &[BackendIndex] {
        &self.in_service
    }

    /// Returns the members of the subset.
    pub fn members(&self) -> &[BackendIndex] {
        &self.members
    }

    /// Returns whether a backend is a member.
    pub fn contains(&self, backend: BackendIndex) -> bool {
        backend.is_in(&self.members)
    }

    /// Returns the ratio of the number of subsets in the fleet that contain a member to the mean number for
    /// all backends, or 1 if the ratio is unknown.
    pub fn membership_ratio_to_mean(&self, member: BackendIndex) -> f64 {
        let assigned = self.assigned.iter().find(|assigned| assigned.index == member);
        assigned.map_or(1.0, |assigned| assigned.membership_ratio_to_mean)
    }

    /// Returns the mean number of balancers that have a backend as a member, if each of `balancers`
    /// balancers has as many members as this one. The result is at least 1.
    pub fn balancers_per_backend(&self, balancers: usize) -> f64 {
        let memberships = (balancers * self.members.len()) as f64;
        (memberships / self.in_service.len().max(1) as f64).max(1.0)
    }

    /// Raises the high watermark to the number of members that the average number of calls in flight,
    /// estimated by Little's law, requires. Returns whether the watermark rose.
    pub fn raise_high_watermark(&mut self, calls_in_flight: Option<f64>, settings: &Settings) -> bool {
        let Some(calls_in_flight) = calls_in_flight else { return false };
        let members_per_call = if settings.connections_have_cost {
            MEMBERS_PER_CALL_IN_FLIGHT_WITH_CONNECTION_COST
        } else {
            MEMBERS_PER_CALL_IN_FLIGHT
        };
        let target_size = (members_per_call * calls_in_flight) as usize;
        let has_risen = target_size > self.high_watermark;
        self.high_watermark = self.high_watermark.max(target_size);
        has_risen
    }

    /// Assigns the subset again for the backends `in_service`, which are in ascending order. A previously
    /// assigned member that is still in service stays a member until its calls have ended.
    pub fn assign(&mut self, in_service: Vec<BackendIndex>, inputs: AssignmentInputs<'_>) {
        self.in_service = in_service;
        self.raise_high_watermark(inputs.calls_in_flight, inputs.settings);
        let assigned = self.assigned_members(inputs);
        let previous = std::mem::replace(&mut self.assigned, assigned);
        self.update_leaving(&previous, inputs);
        let assigned = self.assigned.iter().map(|member| member.index);
        self.members = assigned.chain(self.leaving.iter().map(|member| member.index)).collect();
    }

    /// Adds the previously assigned members to the leaving ones, unless they are still assigned, and
    /// removes the members whose time to leave has passed.
    fn update_leaving(&mut self, previous: &[AssignedMember], inputs: AssignmentInputs<'_>) {
        let AssignmentInputs { settings, now, .. } = inputs;
        let leaves_at = now + settings.longest_timeout();
        let Self { in_service, assigned, leaving, .. } = self;
        let is_assigned = |index| assigned.iter().any(|member| member.index == index);
        leaving.retain(|member| member.leaves_at >= now);
        leaving.extend(previous.iter().map(|member| LeavingMember { index: member.index, leaves_at }));
        leaving.retain(|LeavingMember { index, .. }| {
            in_service.binary_search(index).is_ok() && !is_assigned(*index)
        });
    }

    /// Returns the members that are assigned to this balancer. Except for backends that return from
    /// maintenance, they depend only on the backends in service, the settings and the high watermark, so
    /// that all balancers compute the same assignment.
    fn assigned_members(&self, inputs: AssignmentInputs<'_>) -> Vec<AssignedMember> {
        let AssignmentInputs { settings, endpoints, maintenance, .. } = inputs;
        let assignable =
            |index: &BackendIndex| AssignableBackend { index: *index, id: endpoints.get(*index).id };
        let backends: Vec<_> = self.in_service.iter().map(assignable).collect();
        let has_remote_backends =
            self.in_service.iter().any(|index| incurs_cross_zone_cost(endpoints.get(*index), settings));
        let mut assigned = if has_remote_backends {
            self.assign_by_zone(backends, inputs)
        } else {
            let shape =
                FleetShape { balancers: settings.instance_count, min_members: self.min_size(settings) };
            FleetAssignment::new(backends, shape).members(settings.instance_index, self.high_watermark)
        };
        // A backend that this balancer used before its maintenance becomes a member again, even if the
        // assignment has changed in the meantime.
        let was_used = self.in_service.iter().filter(|index| maintenance.was_used(endpoints.get(**index).id));
        let returning = was_used.map(|index| AssignedMember { index: *index, membership_ratio_to_mean: 1.0 });
        add_missing(&mut assigned, returning, usize::MAX);
        assigned
    }

    /// Returns the members of this balancer if crossing zones has a cost. Most members are in its own zone,
    /// and a few in other zones serve the load that the own zone cannot carry.
    ///
    /// The number of balancers in each zone is unknown to a balancer. Therefore, each backend is first
    /// assigned to one balancer in any zone. Then both the members in this zone and the members in other
    /// zones are assigned as if all balancers were in this zone.
    fn assign_by_zone(
        &self,
        backends: Vec<AssignableBackend>,
        inputs: AssignmentInputs<'_>,
    ) -> Vec<AssignedMember> {
        let AssignmentInputs { settings, endpoints, .. } = inputs;
        let is_local = |index: BackendIndex| !incurs_cross_zone_cost(endpoints.get(index), settings);
        let assign_members = |backends: Vec<AssignableBackend>, min_members, target_size| {
            let shape = FleetShape { balancers: settings.instance_count, min_members };
            let members = FleetAssignment::new(backends, shape).members(settings.instance_index, target_size);
            // The number of balancers in this zone that have a backend as a member is unknown.
            members.into_iter().map(|member| AssignedMember { membership_ratio_to_mean: 1.0, ..member })
        };
        // A zone with few balancers also has few backends, and each balancer has most of them as members.
        let min_local_members = self.min_size(settings).max(self.backends_per_balancer(settings));
        let min_remote_members =
            (min_local_members - MIN_SUBSET_SIZE as f64).max(MIN_CROSS_ZONE_MEMBERS as f64);
        let one_balancer_assignment = assign_members(backends.clone(), 0.0, 0);
        let (mut assigned, mut assigned_remote): (Vec<_>, Vec<_>) =
            one_balancer_assignment.partition(|member| is_local(member.index));
        let (local, remote): (Vec<_>, Vec<_>) =
            backends.into_iter().partition(|backend| is_local(backend.index));
        let target_size = self.high_watermark;
        add_missing(
            &mut assigned,
            assign_members(local, min_local_members, target_size),
            target_size.max(min_local_members.ceil() as usize),
        );
        add_missing(
            &mut assigned_remote,
            assign_members(remote, min_remote_members, 0),
            min_remote_members.ceil() as usize,
        );
        assigned.extend(assigned_remote);
        assigned
    }

    /// Returns the least number of members. The number allows a choice between two members, and keeps
    /// the subsets similar in size if there are many backends.
    fn min_size(&self, settings: &Settings) -> f64 {
        let tier_min_size = if settings.tier.is_entry() { MIN_ENTRY_SUBSET_SIZE } else { MIN_SUBSET_SIZE };
        (MIN_SIZE_TO_MEAN_RATIO * self.backends_per_balancer(settings)).max(tier_min_size as f64)
    }

    fn backends_per_balancer(&self, settings: &Settings) -> f64 {
        self.in_service.len() as f64 / settings.instance_count.max(1) as f64
    }
}

/// Returns whether a call to an endpoint crosses zones, and crossing zones has a cost.
pub(super) fn incurs_cross_zone_cost(endpoint: &Endpoint, settings: &Settings) -> bool {
    settings.cross_zone_cost > 0.0 && endpoint.zone != settings.zone
}

/// Returns whether the old and the new settings lead to the same subsets.
pub(super) fn is_assignment_unchanged(old: &Settings, new: &Settings) -> bool {
    old.instance_count == new.instance_count
        && old.instance_index == new.instance_index
        && old.tier == new.tier
        && old.zone == new.zone
        && (old.cross_zone_cost > 0.0) == (new.cross_zone_cost > 0.0)
}

/// Adds the backends in `others` that are not in `members` yet, until there are `target_size` members.
fn add_missing(
    members: &mut Vec<AssignedMember>,
    others: impl Iterator<Item = AssignedMember>,
    target_size: usize,
) {
    for other in others {
        let is_member = members.iter().any(|member| member.index == other.index);
        if members.len() < target_size && !is_member {
            members.push(other);
        }
    }
}
