//! Placement: subsets, two random choices, weights, zones and load reports.

use crate::common::balancer_harness::{
    BalancerHarness, endpoint, endpoints, safe_settings, sends, without_times,
};
use balancer_proxy::*;

/// The backends met by many requests that stay unanswered.
fn met(harness: &mut BalancerHarness, from: u64) -> std::collections::BTreeSet<u32> {
    (from..from + 60).flat_map(|id| sends(&harness.request(id))).map(|(_, to)| to).collect()
}

#[test]
fn a_subset_is_small_and_stable() {
    let mut harness =
        BalancerHarness::new(Settings { instance_count: 50, ..safe_settings() }, &endpoints(40));
    let before = met(&mut harness, 0);
    assert!(before.len() <= 4, "{before:?}");
    let mut list = endpoints(40);
    let gone = *before.iter().next().unwrap();
    list.retain(|e| e.id.0 != gone);
    harness.handle(Event::Endpoints(EndpointUpdate::Full(&list)));
    let after = met(&mut harness, 100);
    assert!(!after.contains(&gone));
    assert!(before.iter().filter(|m| **m != gone).all(|m| after.contains(m)), "{before:?} {after:?}");
}

#[test]
fn dear_connections_keep_a_busy_subset_small() {
    // Guards against connections over many members, all together beyond what backends accept:
    // failed connects to backends that run and answer others.
    let members = |dear_connections| {
        let settings =
            Settings { instance_count: 50, connections_have_cost: dear_connections, ..safe_settings() };
        let mut harness = BalancerHarness::new(settings, &endpoints(40));
        // Eight calls in flight on average, for longer than rates are remembered.
        let mut out = std::collections::VecDeque::new();
        for id in 0..600 {
            out.extend(sends(&harness.request(id)).into_iter().map(|(id, to)| (id, to, harness.now)));
            if out.len() > 8 {
                let (id, to, sent) = out.pop_front().unwrap();
                let actions = harness.end_attempt(id, 0, to, Outcome::Success, harness.now - sent);
                harness.end_cancelled_attempts(&actions);
            }
            let seen = without_times(harness.advance_to(harness.now + 0.02));
            harness.end_cancelled_attempts(&seen);
        }
        met(&mut harness, 1000).len()
    };
    let (free, dear) = (members(false), members(true));
    assert!(free > 2 * dear, "{free} and {dear}");
}

#[test]
fn no_backend_is_in_no_subset() {
    // Guards against the few callers whose random subsets leave servers uncovered.
    for (instances, backends) in [(3, 20), (1, 9), (7, 30), (40, 60)] {
        let mut all = std::collections::BTreeSet::new();
        for me in 0..instances {
            let settings = Settings { instance_count: instances, instance_index: me, ..safe_settings() };
            all.extend(met(&mut BalancerHarness::with_seed(me as u64, settings, &endpoints(backends)), 0));
        }
        assert_eq!(all.len() as u32, backends, "{instances} over {backends}");
    }
}

#[test]
fn fewer_own_calls_in_flight_are_preferred_by_weight() {
    let list = [Endpoint { weight: 3.0, ..endpoint(1) }, endpoint(2)];
    let mut harness = BalancerHarness::new(safe_settings(), &list);
    let mut to = [0, 0];
    for id in 0..40 {
        to[sends(&harness.request_with_timeout(id, 2.0))[0].1 as usize - 1] += 1;
    }
    assert!((26..=34).contains(&to[0]), "{to:?}");
}

#[test]
fn calls_cross_zones_only_when_the_own_zone_is_much_busier() {
    // Guards against paying for crossings that gain nothing, and against a zone that is given
    // more traffic than its own backends can carry.
    let list: Vec<Endpoint> = (1..=8).map(|i| Endpoint { zone: i % 2, ..endpoint(i) }).collect();
    let mut harness =
        BalancerHarness::new(Settings { cross_zone_cost: 0.2, zone: 1, ..safe_settings() }, &list);
    for id in 0..40 {
        assert_eq!(harness.serve(id, 0.05) % 2, 1, "idle backends of the own zone");
    }
    let crossed = (100..140).flat_map(|id| sends(&harness.request(id))).filter(|(_, to)| to % 2 == 0).count();
    assert!((1..20).contains(&crossed), "{crossed}");
    let mut harness = BalancerHarness::new(Settings { zone: 1, ..safe_settings() }, &list);
    let crossed = (0..40).filter(|id| harness.serve(*id, 0.05).is_multiple_of(2)).count();
    assert!(crossed > 5, "no price, no preference: {crossed}");
}

#[test]
fn service_times_are_probed_for_and_count_as_load() {
    let mut settings = safe_settings();
    settings.health_checks_for_load_reports = true;
    let mut harness = BalancerHarness::new(settings, &endpoints(2));
    let (mut probes, mut to) = (0, [0, 0]);
    for id in 0..200 {
        let actions = harness.request(id);
        to[sends(&actions)[0].1 as usize - 1] += usize::from(id >= 100);
        for action in &actions {
            if let Action::HealthCheck(backend) = action {
                probes += 1;
                let service = Some(0.02 * f64::from(backend.0 * backend.0));
                let report = Some(LoadReport { service_time: service, requests_per_second: None });
                harness.handle(Event::HealthCheckEnded {
                    backend: *backend,
                    outcome: Outcome::Success,
                    report,
                });
            }
        }
        harness.advance_to(harness.now + 0.05);
        harness.end_attempt(id, 0, sends(&actions)[0].1, Outcome::Success, 0.05);
    }
    assert!((50..80).contains(&probes), "one for a few sends: {probes}");
    assert!(to[0] > 3 * to[1], "{to:?}");
    let mut harness = BalancerHarness::new(safe_settings(), &endpoints(2));
    assert!((0..20).all(|id| !harness.request(id).iter().any(|a| matches!(a, Action::HealthCheck(_)))));
}
