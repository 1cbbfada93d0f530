//! Placement: subsets, two random choices, weights, zones and load reports.

use std::collections::{BTreeSet, VecDeque};

use crate::common::actions::{SentAttempt, sends};
use crate::common::balancer_harness::BalancerHarness;
use crate::common::fixtures::{endpoint, endpoints, safe_settings};
use balancer::{Action, BackendId, Endpoint, EndpointUpdate, Event, LoadReport, Outcome, Settings, Time};

/// Returns the backends of 60 requests with the ids from `first_id` on, none of which gets a response.
fn backends_used(harness: &mut BalancerHarness, first_id: u64) -> BTreeSet<BackendId> {
    let sent = (first_id..first_id + 60).flat_map(|id| sends(&harness.request(id)));
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

/// Returns the size of the subset of a balancer with these settings, one of fifty before forty backends, with
/// eight requests in flight on average.
fn busy_subset_size(settings: Settings) -> usize {
    let settings = Settings { instance_count: 50, ..settings };
    let mut harness = BalancerHarness::new(settings, &endpoints(40));
    // The requests arrive for longer than rates are remembered.
    let mut in_flight = VecDeque::new();
    for id in 0..600 {
        let sent_at = harness.now;
        let sent = sends(&harness.request(id));
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
    // Guards against connections to so many members that all together exceed what backends accept:
    // connections then fail to backends that run and respond to others.
    let free = busy_subset_size(safe_settings());
    let costly = busy_subset_size(Settings { connections_have_cost: true, ..safe_settings() });

    assert!(free > 2 * costly, "{free} and {costly}");
}

/// The numbers of balancers and backends.
struct FleetSize {
    instance_count: usize,
    backends: u32,
}

#[test]
fn assigns_every_backend_to_a_subset() {
    // Guards against random subsets of a few balancers that leave backends out.
    let fleets = [
        FleetSize { instance_count: 3, backends: 20 },
        FleetSize { instance_count: 1, backends: 9 },
        FleetSize { instance_count: 7, backends: 30 },
        FleetSize { instance_count: 40, backends: 60 },
    ];
    for FleetSize { instance_count, backends } in fleets {
        let mut used = BTreeSet::new();
        for instance_index in 0..instance_count {
            let settings = Settings { instance_count, instance_index, ..safe_settings() };
            let mut harness =
                BalancerHarness::with_seed(instance_index as u64, settings, &endpoints(backends));
            used.extend(backends_used(&mut harness, 0));
        }

        assert_eq!(used.len() as u32, backends, "{instance_count} over {backends}");
    }
}

#[test]
fn prefers_backends_with_fewer_requests_in_flight_per_weight() {
    let list = [Endpoint { weight: 3.0, ..endpoint(1) }, endpoint(2)];
    let mut harness = BalancerHarness::new(safe_settings(), &list);

    let mut sent = [0, 0];
    for id in 0..40 {
        sent[harness.send(id).backend.0 as usize - 1] += 1;
    }

    assert!((26..=34).contains(&sent[0]), "{sent:?}");
}

/// Returns backends 1 to 8 in two zones, where odd ids are in zone 1.
fn endpoints_in_two_zones() -> Vec<Endpoint> {
    (1..=8).map(|id| Endpoint { zone: zone_of(BackendId(id)), ..endpoint(id) }).collect()
}

/// Returns the zone of one of these backends.
fn zone_of(backend: BackendId) -> u32 {
    backend.0 % 2
}

#[test]
fn crosses_zones_only_when_the_own_zone_is_much_busier_and_crossing_has_a_cost() {
    // Guards against paying for crossings that gain nothing, and against a zone that is given
    // more traffic than its own backends can carry.
    let settings = Settings { cross_zone_cost: 0.2, zone: 1, ..safe_settings() };
    let mut harness = BalancerHarness::new(settings, &endpoints_in_two_zones());
    for id in 0..40 {
        assert_eq!(zone_of(harness.serve(id, 0.05)), 1, "idle backends of the own zone");
    }

    let sent = (100..140).flat_map(|id| sends(&harness.request(id)));
    let crossed = sent.filter(|attempt| zone_of(attempt.backend) == 0).count();

    assert!((1..20).contains(&crossed), "{crossed}");
}

#[test]
fn ignores_zones_when_crossing_has_no_cost() {
    let settings = Settings { zone: 1, ..safe_settings() };
    let mut harness = BalancerHarness::new(settings, &endpoints_in_two_zones());

    let crossed = (0..40).filter(|id| zone_of(harness.serve(*id, 0.05)) == 0).count();

    assert!(crossed > 5, "no cost, no preference: {crossed}");
}

#[test]
fn checks_backends_for_load_reports_and_prefers_short_service_times() {
    let settings = Settings { health_checks_for_load_reports: true, ..safe_settings() };
    let mut harness = BalancerHarness::new(settings, &endpoints(2));

    let mut health_checks = 0;
    let mut sent = [0, 0];
    for id in 0..200 {
        let actions = harness.request(id);
        let attempt = sends(&actions)[0];
        sent[attempt.backend.0 as usize - 1] += usize::from(id >= 100);
        for action in &actions {
            if let Action::HealthCheck(backend) = action {
                health_checks += 1;
                let service_time = Some(0.02 * f64::from(backend.0 * backend.0));
                let report = Some(LoadReport { service_time, requests_per_second: None });
                let outcome = Outcome::Success;
                harness.handle(Event::HealthCheckEnded { backend: *backend, outcome, report });
            }
        }
        harness.advance_to(harness.now + 0.05);
        harness.end_attempt(attempt, Outcome::Success, 0.05);
    }

    assert!((50..80).contains(&health_checks), "one for a few sends: {health_checks}");
    assert!(sent[0] > 3 * sent[1], "{sent:?}");
}

#[test]
fn checks_no_backend_when_health_checks_are_not_allowed() {
    let mut harness = BalancerHarness::new(safe_settings(), &endpoints(2));

    let actions: Vec<_> = (0..20).flat_map(|id| harness.request(id)).collect();

    let is_health_check = |action: &Action| matches!(action, Action::HealthCheck(_));
    assert!(!actions.iter().any(is_health_check), "{actions:?}");
}
