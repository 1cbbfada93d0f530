//! Fleet assignment: the members that are assigned to each balancer.

use crate::decisions::fleet_assignment::{AssignableBackend, FleetAssignment, FleetShape};
use crate::interface::BackendId;
use crate::support::{BackendIndex, BackendMap};
use std::collections::BTreeMap;

/// Returns the indices of `count` backends.
fn backend_indices(count: u32) -> Vec<BackendIndex> {
    let mut map = BackendMap::default();
    for _ in 0..count {
        map.insert(map.next_index(), ());
    }
    map.indices().collect()
}

/// Returns `count` backends, whose ids start at 0.
fn assignable_backends(count: u32) -> Vec<AssignableBackend> {
    let backends = backend_indices(count).into_iter().zip(0..);
    backends.map(|(index, id)| AssignableBackend { index, id: BackendId(id) }).collect()
}

/// Assigns `count` backends to `balancers` balancers.
fn assign_backends(count: u32, balancers: usize, min_members: usize) -> FleetAssignment {
    let shape = FleetShape { balancers, min_members: min_members as f64 };
    FleetAssignment::new(assignable_backends(count), shape)
}

/// Returns the number of subsets that each backend is in. Backends in no subset are absent.
fn memberships(assignment: &FleetAssignment, balancers: usize) -> BTreeMap<BackendIndex, usize> {
    let mut memberships = BTreeMap::new();
    for member in (0..balancers).flat_map(|balancer| assignment.members(balancer, 0)) {
        *memberships.entry(member.index).or_default() += 1;
    }
    memberships
}

#[test]
fn assigns_each_backend_to_one_balancer_if_subsets_have_no_least_size() {
    for balancers in 1..30 {
        let assignment = assign_backends(40, balancers, 0);

        let memberships = memberships(&assignment, balancers);

        assert_eq!(memberships.len(), 40, "{balancers} balancers");
        assert!(memberships.values().all(|count| *count == 1), "{balancers} balancers: {memberships:?}");
    }
}

#[test]
fn assigns_the_least_number_of_members_or_all_backends_to_each_balancer() {
    for (count, min_members) in [(1, 3), (2, 3), (3, 3), (4, 3), (50, 3), (50, 49)] {
        let assignment = assign_backends(count, 20, min_members);

        for balancer in 0..20 {
            let members = assignment.members(balancer, 0).len();
            assert!(members >= min_members.min(count as usize), "{count} backends: {members}");
        }
    }
}

#[test]
fn extends_the_assigned_members_of_a_balancer_to_the_target_size_or_to_all_backends() {
    let assignment = assign_backends(30, 10, 3);

    let assigned = assignment.members(4, 0);
    let extended = assignment.members(4, 12);
    let all = assignment.members(4, 100);

    assert_eq!([extended.len(), all.len()], [12, 30]);
    assert!(assigned.iter().all(|member| extended.iter().any(|other| other.index == member.index)));
}

#[test]
fn returns_the_ratio_of_the_memberships_of_a_member_to_the_mean() {
    let assignment = assign_backends(17, 12, 3);

    let memberships = memberships(&assignment, 12);

    let mean = memberships.values().sum::<usize>() as f64 / 17.0;
    for member in assignment.members(0, 17) {
        let expected = memberships[&member.index] as f64 / mean;
        assert!((member.membership_ratio_to_mean - expected).abs() < 1e-9, "{member:?}, expected {expected}");
    }
}

#[test]
fn assigns_no_members_if_the_balancer_does_not_exist_or_there_are_no_backends() {
    assert!(assign_backends(5, 3, 2).members(3, 0).is_empty());
    assert!(assign_backends(0, 3, 2).members(0, 4).is_empty());
}

#[test]
fn rounds_a_fractional_least_size_up_for_that_fraction_of_the_balancers() {
    let shape = FleetShape { balancers: 40, min_members: 3.25 };

    let assignment = FleetAssignment::new(assignable_backends(20), shape);

    let sizes: Vec<_> = (0..40).map(|balancer| assignment.members(balancer, 0).len()).collect();
    assert!(sizes.iter().all(|size| [3, 4].contains(size)), "{sizes:?}");
    let rounded_up = sizes.iter().filter(|size| **size == 4).count();
    assert!((9..=11).contains(&rounded_up), "{rounded_up}");
}
