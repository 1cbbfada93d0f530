//! Placement: the sampling of two members, loads, weights and zones.

use std::collections::BTreeSet;

use crate::common::actions::{SentAttempt, sent_attempts};
use crate::common::balancer_harness::BalancerHarness;
use crate::common::fixtures::{endpoint, endpoints, safe_settings};
use balancer::{BackendId, Endpoint, EndpointUpdate, Event, Outcome, Settings, ZoneId};

#[test]
fn prefers_backends_with_fewer_requests_in_flight_per_weight() {
    let list = [Endpoint { weight: 3.0, ..endpoint(1) }, endpoint(2)];
    let mut harness = BalancerHarness::new(safe_settings(), &list);

    let mut sent = [0, 0];
    for id in 0..40 {
        sent[harness.send_request(id).backend.0 as usize - 1] += 1;
    }

    assert!((26..=34).contains(&sent[0]), "{sent:?}");
}

/// The zone of the balancer.
const OWN_ZONE: ZoneId = ZoneId(1);

/// Returns backends 1 to 8 in two zones, where odd ids are in zone 1.
fn endpoints_in_two_zones() -> Vec<Endpoint> {
    (1..=8).map(|id| Endpoint { zone: zone_of(BackendId(id)), ..endpoint(id) }).collect()
}

/// Returns the zone of one of these backends.
fn zone_of(backend: BackendId) -> ZoneId {
    ZoneId(backend.0 % 2)
}

#[test]
fn crosses_zones_only_when_its_own_zone_is_much_busier_if_crossing_has_a_cost() {
    // Guards against attempts in another zone that cost more than they gain, and against sending a zone more
    // traffic than its backends can serve.
    let settings = Settings { cross_zone_cost: 0.2, zone: OWN_ZONE, ..safe_settings() };
    let mut harness = BalancerHarness::new(settings, &endpoints_in_two_zones());
    for id in 0..40 {
        assert_eq!(
            zone_of(harness.serve_request(id, 0.05)),
            OWN_ZONE,
            "the backends of the own zone are idle"
        );
    }

    let sent = (100..140).flat_map(|id| sent_attempts(&harness.handle_request(id)));
    let crossed = sent.filter(|attempt| zone_of(attempt.backend) != OWN_ZONE).count();

    assert!((1..20).contains(&crossed), "{crossed} of 40 requests crossed zones");
}

#[test]
fn ignores_zones_when_crossing_has_no_cost() {
    let settings = Settings { zone: OWN_ZONE, ..safe_settings() };
    let mut harness = BalancerHarness::new(settings, &endpoints_in_two_zones());

    let crossed = (0..40).filter(|id| zone_of(harness.serve_request(*id, 0.05)) != OWN_ZONE).count();

    assert!(crossed > 5, "{crossed} of 40 requests crossed zones");
}

#[test]
fn samples_idle_members_about_equally_often() {
    let mut harness = BalancerHarness::new(safe_settings(), &endpoints(4));

    let mut sent = [0; 4];
    for id in 0..800 {
        // The response times vary, so that T1 exceeds all of them.
        let response_time = if id % 2 == 0 { 0.04 } else { 0.06 };
        sent[harness.serve_request(id, response_time).0 as usize - 1] += 1;
    }

    assert!(sent.iter().all(|count| (150..250).contains(count)), "{sent:?}");
}

#[test]
fn sends_to_the_member_with_fewer_requests_in_flight_of_two() {
    for seed in 0..20 {
        let mut harness = BalancerHarness::with_seed(seed, safe_settings(), &endpoints(2));

        let mut in_flight = [0_i32; 2];
        for id in 0..30 {
            in_flight[harness.send_request(id).backend.0 as usize - 1] += 1;

            assert!((in_flight[0] - in_flight[1]).abs() <= 1, "seed {seed}: {in_flight:?}");
        }
    }
}

#[test]
fn samples_no_member_with_more_than_the_mean_load() {
    for seed in 0..20 {
        let settings = Settings { hedging_allowed: false, ..safe_settings() };
        let mut harness = BalancerHarness::with_seed(seed, settings, &endpoints(1));
        for id in 0..5 {
            harness.send_request(id);
        }
        harness.handle(Event::Endpoints(EndpointUpdate::Full(&endpoints(8))));

        let backends: BTreeSet<_> = (100..130).map(|id| harness.serve_request(id, 0.01)).collect();

        assert!(!backends.contains(&BackendId(1)), "seed {seed}: {backends:?}");
        assert!(backends.len() > 5, "seed {seed}: {backends:?}");
    }
}

/// Returns an endpoint with this weight. The load of an idle backend is the inverse of the weight.
fn weighted_endpoint(id: u32, weight: f64) -> Endpoint {
    Endpoint { weight, ..endpoint(id) }
}

#[test]
fn sends_to_the_member_with_less_load_of_two_below_the_mean_load() {
    let list = [weighted_endpoint(1, 6.0), weighted_endpoint(2, 3.0), weighted_endpoint(3, 1.0)];
    for seed in 0..20 {
        let mut harness = BalancerHarness::with_seed(seed, safe_settings(), &list);

        let sent = harness.send_request(1);

        assert_eq!(sent.backend, BackendId(1), "seed {seed}");
    }
}

#[test]
fn sends_the_first_retry_to_the_other_sampled_member_whatever_the_loads_are_then() {
    let list = [weighted_endpoint(1, 6.0), weighted_endpoint(2, 3.0), endpoint(3), endpoint(4)];
    for seed in 0..20 {
        let mut harness = BalancerHarness::with_seed(seed, safe_settings(), &list);
        // Only backends 1 and 2 are below the mean load.
        let first = harness.send_request(1);
        let changed = [weighted_endpoint(3, 100.0), weighted_endpoint(4, 100.0)];
        harness.handle(Event::Endpoints(EndpointUpdate::Changes(&changed)));

        harness.end_attempt(first, Outcome::Rejected, 0.01);
        let retries = harness.sends_until(0.5);

        assert_eq!(first.backend, BackendId(1), "seed {seed}");
        assert_eq!(retries, [SentAttempt::new(1, 2)], "seed {seed}");
    }
}
