//! Subset assignment: which backends are members of the subset of each balancer.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::common::actions::{SentAttempt, sent_attempts};
use crate::common::balancer_harness::BalancerHarness;
use crate::common::fixtures::{endpoint, endpoints, safe_settings};
use balancer::{BackendId, Endpoint, EndpointUpdate, Event, Outcome, Settings, Tier, Time};

/// Sends 60 requests with the ids from `first_id` on, and returns their backends. No request gets a response.
fn backends_used(harness: &mut BalancerHarness, first_id: u64) -> BTreeSet<BackendId> {
    let sent = (first_id..first_id + 60).flat_map(|id| sent_attempts(&harness.handle_request(id)));
    sent.map(|attempt| attempt.backend).collect()
}

#[test]
fn keeps_the_other_members_of_a_small_subset_when_a_member_is_removed() {
    let settings = Settings { instance_count: 50, ..safe_settings() };
    let mut harness = BalancerHarness::new(settings, &endpoints(40));
    let before = backends_used(&mut harness, 0);
    assert!(before.len() <= 4, "{before:?}");
    let removed = *before.iter().next().unwrap();
    let mut list = endpoints(40);
    list.retain(|endpoint| endpoint.id != removed);

    harness.handle(Event::Endpoints(EndpointUpdate::Full(&list)));
    let after = backends_used(&mut harness, 100);

    assert!(!after.contains(&removed));
    assert!(
        before.iter().filter(|member| **member != removed).all(|member| after.contains(member)),
        "{before:?} {after:?}"
    );
}

/// An attempt without a response so far.
struct AttemptInFlight {
    attempt: SentAttempt,
    sent_at: Time,
}

/// Returns the size of the subset of one of 50 balancers with these settings. The balancers have 40 backends,
/// and this balancer has eight requests in flight on average.
fn busy_subset_size(settings: Settings) -> usize {
    let settings = Settings { instance_count: 50, ..settings };
    let mut harness = BalancerHarness::new(settings, &endpoints(40));
    // The requests arrive for longer than the time constant of the send rate.
    let mut in_flight = VecDeque::new();
    for id in 0..600 {
        let sent_at = harness.now;
        let sent = sent_attempts(&harness.handle_request(id));
        in_flight.extend(sent.into_iter().map(|attempt| AttemptInFlight { attempt, sent_at }));
        if in_flight.len() > 8 {
            let AttemptInFlight { attempt, sent_at } = in_flight.pop_front().unwrap();
            let duration = harness.now - sent_at;
            let actions = harness.end_attempt(attempt, Outcome::Success, duration);
            harness.end_cancelled_attempts(&actions);
        }
        let actions = harness.actions_until(harness.now + 0.02);
        harness.end_cancelled_attempts(&actions);
    }
    backends_used(&mut harness, 1000).len()
}

#[test]
fn keeps_the_subset_of_a_busy_balancer_small_where_connections_have_a_cost() {
    // Guards against subsets so large that all balancers together open more connections than a backend
    // accepts. Connections then fail although the backend runs and responds to other balancers.
    let size_without_cost = busy_subset_size(safe_settings());
    let size_with_cost = busy_subset_size(Settings { connections_have_cost: true, ..safe_settings() });

    assert!(
        size_without_cost > 2 * size_with_cost,
        "{size_without_cost} without a cost, {size_with_cost} with a cost"
    );
}

/// The numbers of balancers and backends of a fleet.
struct FleetSize {
    instance_count: usize,
    backends: u32,
}

/// Fleets whose subsets have to cover all backends.
const COVERED_FLEETS: [FleetSize; 4] = [
    FleetSize { instance_count: 3, backends: 20 },
    FleetSize { instance_count: 1, backends: 9 },
    FleetSize { instance_count: 7, backends: 30 },
    FleetSize { instance_count: 40, backends: 60 },
];

#[test]
fn assigns_every_backend_to_a_subset() {
    // Guards against random subsets, which leave backends out where there are few balancers.
    for FleetSize { instance_count, backends } in COVERED_FLEETS {
        let mut used = BTreeSet::new();
        for instance_index in 0..instance_count {
            let settings = Settings { instance_count, instance_index, ..safe_settings() };
            let mut harness =
                BalancerHarness::with_seed(instance_index as u64, settings, &endpoints(backends));
            used.extend(backends_used(&mut harness, 0));
        }

        assert_eq!(used.len() as u32, backends, "{instance_count} balancers, {backends} backends");
    }
}

/// Returns the members of the subset.
fn subset(harness: &BalancerHarness) -> BTreeSet<BackendId> {
    harness.balancer.members().collect()
}

/// Starts all balancers of a fleet with this endpoint list.
fn start_fleet(instance_count: usize, list: &[Endpoint]) -> Vec<BalancerHarness> {
    let start = |instance_index| {
        let settings = Settings { instance_count, instance_index, ..safe_settings() };
        BalancerHarness::with_seed(instance_index as u64, settings, list)
    };
    (0..instance_count).map(start).collect()
}

/// Returns the number of subsets that each backend is a member of.
fn memberships(fleet: &[BalancerHarness]) -> BTreeMap<BackendId, usize> {
    let mut memberships = BTreeMap::new();
    for member in fleet.iter().flat_map(subset) {
        *memberships.entry(member).or_default() += 1;
    }
    memberships
}

#[test]
fn assigns_all_backends_to_about_equally_many_subsets() {
    let fleets = [
        FleetSize { instance_count: 3, backends: 20 },
        FleetSize { instance_count: 12, backends: 12 },
        FleetSize { instance_count: 40, backends: 60 },
        FleetSize { instance_count: 300, backends: 17 },
    ];
    for FleetSize { instance_count, backends } in fleets {
        let fleet = start_fleet(instance_count, &endpoints(backends));

        let memberships = memberships(&fleet);

        assert_eq!(memberships.len(), backends as usize, "{instance_count} balancers, {backends} backends");
        let least = *memberships.values().min().unwrap();
        let most = *memberships.values().max().unwrap();
        let mean = memberships.values().sum::<usize>() as f64 / f64::from(backends);
        assert!(
            least as f64 >= 0.5 * mean.floor(),
            "least {least}, mean {mean}: {instance_count} balancers, {backends} backends"
        );
        assert!(
            most as f64 <= 1.5 * mean.ceil(),
            "most {most}, mean {mean}: {instance_count} balancers, {backends} backends"
        );
    }
}

#[test]
fn assigns_the_same_subset_whatever_the_seed_and_the_order_of_the_list() {
    let settings = Settings { instance_count: 7, instance_index: 3, ..safe_settings() };
    let list = endpoints(30);
    let reversed: Vec<_> = list.iter().rev().cloned().collect();

    let reference = BalancerHarness::with_seed(1, settings.clone(), &list);
    let with_other_seed = BalancerHarness::with_seed(2, settings.clone(), &list);
    let with_other_order = BalancerHarness::with_seed(1, settings, &reversed);

    assert_eq!(subset(&reference), subset(&with_other_seed));
    assert_eq!(subset(&reference), subset(&with_other_order));
}

#[test]
fn assigns_three_members_at_the_entry_tier_and_two_below_where_few_members_cover_all_backends() {
    for (tier, members) in [(Tier::ENTRY, 3), (Tier(1), 2), (Tier(2), 2)] {
        let settings = Settings { tier, instance_count: 50, ..safe_settings() };
        let harness = BalancerHarness::new(settings, &endpoints(40));

        assert_eq!(subset(&harness).len(), members, "{tier:?}");
    }
}

#[test]
fn keeps_all_other_members_in_every_subset_when_a_backend_is_removed() {
    let list = endpoints(30);
    for removed in &list {
        let mut fleet = start_fleet(12, &list);
        let before: Vec<_> = fleet.iter().map(subset).collect();
        let others: Vec<_> = list.iter().filter(|endpoint| endpoint.id != removed.id).cloned().collect();

        for harness in &mut fleet {
            harness.handle(Event::Endpoints(EndpointUpdate::Full(&others)));
        }

        for (harness, mut kept) in fleet.iter().zip(before) {
            kept.remove(&removed.id);
            let after = subset(harness);
            assert!(after.is_superset(&kept), "{:?} removed: {after:?} after {kept:?}", removed.id);
            assert!(!after.contains(&removed.id), "{after:?}");
        }
        assert_eq!(memberships(&fleet).len(), others.len(), "{:?} removed", removed.id);
    }
}

#[test]
fn replaces_at_most_one_member_of_a_subset_when_a_backend_is_added() {
    let list = endpoints(30);
    for added in 31..41 {
        let mut fleet = start_fleet(12, &list);
        let before: Vec<_> = fleet.iter().map(subset).collect();

        for harness in &mut fleet {
            harness.handle(Event::Endpoints(EndpointUpdate::Changes(&[endpoint(added)])));
        }

        for (harness, before) in fleet.iter().zip(before) {
            let after = subset(harness);
            let removed = before.difference(&after).count();
            assert!(removed <= 1, "{added} added: {after:?} after {before:?}");
        }
        let memberships_of_added = memberships(&fleet)[&BackendId(added)];
        assert!(memberships_of_added > 0, "{added} is in no subset");
    }
}

/// Returns the backends that are in no subset of the fleet.
fn left_out(fleet: &[BalancerHarness], list: &[Endpoint]) -> Vec<BackendId> {
    let memberships = memberships(fleet);
    let backends = list.iter().map(|endpoint| endpoint.id);
    backends.filter(|backend| !memberships.contains_key(backend)).collect()
}

/// Passes a full list to all balancers. Returns a description if backends are left out of all subsets.
fn describe_left_out_after(fleet: &mut [BalancerHarness], list: &[Endpoint]) -> Option<String> {
    for harness in fleet.iter_mut() {
        harness.handle(Event::Endpoints(EndpointUpdate::Full(list)));
    }
    let left_out = left_out(fleet, list);
    let description = format!("{} balancers, {} backends: {left_out:?}", fleet.len(), list.len());
    (!left_out.is_empty()).then_some(description)
}

#[test]
fn leaves_no_backend_out_when_backends_are_added_and_removed_one_after_the_other() {
    let mut failures = Vec::new();
    for FleetSize { instance_count, backends } in COVERED_FLEETS {
        let mut list = endpoints(backends);
        let mut fleet = start_fleet(instance_count, &list);

        for added in 1..=5 {
            list.push(endpoint(backends + added));
            failures.extend(describe_left_out_after(&mut fleet, &list));
        }
        for _removed in 1..=10 {
            list.remove(0);
            failures.extend(describe_left_out_after(&mut fleet, &list));
        }
    }

    assert!(failures.is_empty(), "{failures:#?}");
}
