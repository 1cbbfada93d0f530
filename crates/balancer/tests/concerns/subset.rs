//! Subset assignment: the backends that are members of the subset of a balancer.

use super::fixtures::endpoint;
use crate::decisions::endpoint_table::EndpointTable;
use crate::decisions::maintenance::{Maintenance, PriorUse};
use crate::decisions::subset::{AssignmentInputs, Subset, is_assignment_unchanged};
use crate::interface::{BackendId, Endpoint, Settings, Tier, ZoneId};
use crate::support::BackendIndex;
use std::collections::BTreeSet;

/// The inputs of the assignments of a test.
struct Fleet {
    settings: Settings,
    endpoints: EndpointTable,
    maintenance: Maintenance,
}

impl Fleet {
    /// Returns the inputs of the first of `instance_count` inner balancers. All backends are in zone 0.
    fn new(backends: u32, instance_count: usize) -> Self {
        let mut endpoints = EndpointTable::default();
        for id in 0..backends {
            endpoints.upsert(&endpoint(id));
        }
        let settings = Settings { instance_count, tier: Tier(1), ..Settings::default() };
        Self { settings, endpoints, maintenance: Maintenance::default() }
    }

    fn all_backends(&self) -> Vec<BackendIndex> {
        self.endpoints.indices().collect()
    }

    /// Assigns the members of a subset from the backends in service.
    fn assign(&self, subset: &mut Subset, in_service: Vec<BackendIndex>, calls_in_flight: Option<f64>) {
        let Self { settings, endpoints, maintenance } = self;
        let inputs = AssignmentInputs { settings, endpoints, maintenance, calls_in_flight, now: 0.0 };
        subset.assign(in_service, inputs);
    }

    /// Returns the first subset that is assigned, with all backends in service.
    fn first_subset(&self) -> Subset {
        let mut subset = Subset::default();
        self.assign(&mut subset, self.all_backends(), None);
        subset
    }
}

#[test]
fn assigns_two_members_to_an_inner_balancer_and_three_at_the_entry_tier() {
    let mut fleet = Fleet::new(10, 100);

    let inner = fleet.first_subset();
    fleet.settings.tier = Tier::ENTRY;
    let entry = fleet.first_subset();

    assert_eq!([inner.members().len(), entry.members().len()], [2, 3]);
    assert!(inner.contains(inner.members()[0]));
}

#[test]
fn assigns_all_backends_if_there_are_fewer_than_the_least_number_of_members() {
    let fleet = Fleet::new(1, 100);
    let without_backends = Fleet::new(0, 100);

    assert_eq!(fleet.first_subset().members(), fleet.all_backends());
    assert!(without_backends.first_subset().members().is_empty());
}

#[test]
fn each_backend_is_a_member_of_at_least_one_subset() {
    for instance_count in 1..=12 {
        let mut fleet = Fleet::new(10, instance_count);
        let mut covered: BTreeSet<BackendIndex> = BTreeSet::new();

        for instance_index in 0..instance_count {
            fleet.settings.instance_index = instance_index;
            covered.extend(fleet.first_subset().members());
        }

        assert_eq!(covered.len(), 10, "{instance_count} balancers");
    }
}

#[test]
fn keeps_the_members_that_are_still_in_service() {
    let fleet = Fleet::new(10, 100);
    let mut subset = fleet.first_subset();
    let [kept, lost] = [subset.members()[0], subset.members()[1]];
    let in_service: Vec<_> = fleet.all_backends().into_iter().filter(|index| *index != lost).collect();

    fleet.assign(&mut subset, in_service.clone(), None);

    assert!(subset.contains(kept));
    assert!(!subset.contains(lost));
    assert_eq!(subset.members().len(), 2);
    assert_eq!(subset.in_service(), in_service);
}

#[test]
fn keeps_its_members_when_another_backend_leaves_service() {
    for instance_index in 0..20 {
        let mut fleet = Fleet::new(10, 100);
        fleet.settings.instance_index = instance_index;
        let members = fleet.first_subset().members().to_vec();
        let others = fleet.all_backends().into_iter().filter(|index| !members.contains(index));

        for leaving in others {
            let mut subset = fleet.first_subset();
            let in_service = fleet.all_backends().into_iter().filter(|index| *index != leaving);
            fleet.assign(&mut subset, in_service.collect(), None);

            assert_eq!(subset.members(), members);
        }
    }
}

#[test]
fn grows_with_the_calls_in_flight_and_does_not_shrink_when_they_decrease() {
    let fleet = Fleet::new(10, 100);
    let mut subset = fleet.first_subset();

    fleet.assign(&mut subset, fleet.all_backends(), Some(5.0));
    let at_the_peak = subset.members().to_vec();
    fleet.assign(&mut subset, fleet.all_backends(), Some(1.0));

    assert_eq!(at_the_peak.len(), 5);
    assert_eq!(subset.members(), at_the_peak);
}

#[test]
fn high_watermark_never_falls_and_rises_by_less_if_connections_have_a_cost() {
    let free_connections = Settings::default();
    let costly_connections = Settings { connections_have_cost: true, ..Settings::default() };

    let mut subset = Subset::default();
    let with_free_connections = [None, Some(0.5), Some(3.0), Some(3.9), Some(2.0)]
        .map(|calls| subset.raise_high_watermark(calls, &free_connections));
    let mut subset = Subset::default();
    let with_costly_connections = [Some(3.0), Some(4.0), Some(7.0)]
        .map(|calls| subset.raise_high_watermark(calls, &costly_connections));

    assert_eq!(with_free_connections, [false, false, true, false, false]);
    assert_eq!(with_costly_connections, [false, true, false]);
}

#[test]
fn assigns_two_members_in_other_zones_if_crossing_zones_has_a_cost() {
    let mut fleet = Fleet::new(10, 100);
    for id in 10..20 {
        fleet.endpoints.upsert(&Endpoint { zone: ZoneId(1), ..endpoint(id) });
    }
    fleet.settings.cross_zone_cost = 0.5;
    let calls_in_flight = Some(6.0);

    let mut subset = Subset::default();
    fleet.assign(&mut subset, fleet.all_backends(), calls_in_flight);

    let is_remote = |index: &&BackendIndex| fleet.endpoints.get(**index).zone == ZoneId(1);
    assert_eq!(subset.members().len(), 8);
    assert_eq!(subset.members().iter().filter(is_remote).count(), 2);
}

#[test]
fn a_backend_that_was_used_is_a_member_again_after_its_maintenance() {
    let mut fleet = Fleet::new(10, 100);
    let mut subset = fleet.first_subset();
    let maintained = subset.members()[0];
    let id: BackendId = fleet.endpoints.get(maintained).id;
    let others = fleet.all_backends().into_iter().filter(|index| *index != maintained).collect();
    fleet.maintenance.begin(id, 0.0, PriorUse::Used);
    fleet.assign(&mut subset, others, None);
    let is_member_in_maintenance = subset.contains(maintained);

    fleet.maintenance.end(id, 1.0, None);
    fleet.assign(&mut subset, fleet.all_backends(), None);

    assert!(!is_member_in_maintenance);
    assert!(subset.contains(maintained));
}

#[test]
fn balancers_per_backend_is_the_mean_number_of_memberships_and_at_least_one() {
    let subset = Fleet::new(10, 100).first_subset();

    assert_eq!(subset.balancers_per_backend(100), 20.0);
    assert_eq!(subset.balancers_per_backend(1), 1.0);
    assert_eq!(Subset::default().balancers_per_backend(5), 1.0);
}

#[test]
fn assignment_is_unchanged_unless_a_setting_that_it_depends_on_differs() {
    let settings = Settings { cross_zone_cost: 0.5, ..Settings::default() };

    let with_other_cost = Settings { cross_zone_cost: 0.7, max_attempts: 9, ..settings.clone() };
    let without_cost = Settings { cross_zone_cost: 0.0, ..settings.clone() };
    let with_more_instances = Settings { instance_count: 2, ..settings.clone() };

    assert!(is_assignment_unchanged(&settings, &with_other_cost));
    assert!(!is_assignment_unchanged(&settings, &without_cost));
    assert!(!is_assignment_unchanged(&settings, &with_more_instances));
}
