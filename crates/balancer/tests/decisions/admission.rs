//! Admission: load shedding at the entry tier, by quotas and priority weights.

use std::collections::VecDeque;

use crate::common::actions::{SentAttempt, count_rejections, is_rejected, sent_attempts};
use crate::common::balancer_harness::BalancerHarness;
use crate::common::fixtures::{endpoints, request_class, safe_settings, tenant};
use balancer::{
    Action, ClassIndex, Effect, Event, Outcome, Request, RequestClass, RequestId, Settings, TenantIndex,
    Tier, Time,
};

#[test]
fn sheds_load_only_at_the_entry_tier() {
    let rejected_by_tier = [Tier::ENTRY, Tier(1)].map(|tier| {
        let mut harness = BalancerHarness::new(Settings { tier, ..safe_settings() }, &endpoints(4));
        for id in 0..100 {
            harness.serve_request(id, 0.05);
        }

        let mut rejected = 0;
        for id in 1000..1200 {
            assert!(
                !is_rejected(&harness.handle_request(id), id),
                "the request is queued, not rejected on arrival"
            );
            rejected += count_rejections(&harness.actions_until(harness.now + 0.005));
        }

        rejected
    });

    assert!(rejected_by_tier[0] > 50, "{rejected_by_tier:?}");
    assert_eq!(rejected_by_tier[1], 0);
}

/// Returns the class of a request: the two classes alternate.
fn class_of(id: RequestId) -> ClassIndex {
    ClassIndex(id.0 as usize % 2)
}

/// Returns the tenant of a request: the two tenants alternate after every second request.
fn tenant_of(id: RequestId) -> TenantIndex {
    TenantIndex(id.0 as usize / 2 % 2)
}

/// An attempt without a response so far.
struct AttemptInFlight {
    attempt: SentAttempt,
    sent_at: Time,
}

#[test]
fn sheds_requests_of_low_weight_and_of_tenants_over_quota_first() {
    let mut settings = Settings { tier: Tier::ENTRY, ..safe_settings() };
    settings.classes.push(RequestClass { priority_weight: 10.0, ..request_class(Effect::Safe) });
    settings.tenants = vec![tenant("small", 1.0), tenant("large", 1000.0)];
    settings.over_quota_weight = 0.01;
    let mut harness = BalancerHarness::new(settings, &endpoints(4));

    // The number of rejected requests, indexed by class and tenant.
    let mut rejected = [[0; 2]; 2];
    let mut in_flight = VecDeque::<AttemptInFlight>::new();
    for round in 0..4000u64 {
        let id = RequestId(round);
        let (class, tenant) = (class_of(id), Some(tenant_of(id)));
        let request = Request { id, class, tenant, timeout: 2.0, ..Request::default() };
        let mut actions = harness.handle(Event::Request(request));
        // One attempt ends in each of the first 500 rounds, and in seven of ten later rounds.
        if (round < 500 || round % 10 < 7)
            && let Some(AttemptInFlight { attempt, sent_at }) = in_flight.pop_front()
        {
            let duration = (harness.now - sent_at).max(0.001);
            actions.extend(harness.end_attempt(attempt, Outcome::Success, duration));
        }
        actions.extend(harness.actions_until(harness.now + 0.005));
        actions.extend(harness.end_cancelled_attempts(&actions.clone()));
        let sent_at = harness.now;
        in_flight
            .extend(sent_attempts(&actions).into_iter().map(|attempt| AttemptInFlight { attempt, sent_at }));
        for action in &actions {
            if let Action::Reject { id, .. } = action {
                rejected[class_of(*id).0][tenant_of(*id).0] += usize::from(id.0 > 500);
            }
        }
    }

    assert!(rejected[0][0] >= rejected[0][1] && rejected[0][1] >= rejected[1][1], "{rejected:?}");
    assert!(rejected[0][0] > 2 * rejected[1][1], "{rejected:?}");
}

#[test]
fn rejects_a_request_whose_timeout_is_far_below_the_expected_latency() {
    // Guards against attempts that serve no client: the client times out before the attempt ends.
    let mut harness = BalancerHarness::new(safe_settings(), &endpoints(4));
    for id in 0..30 {
        harness.serve_request(id, 0.1);
    }

    let actions_far_below = harness.handle_request_with_timeout(100, 0.05);
    let actions_slightly_below = harness.handle_request_with_timeout(101, 0.09);

    assert!(is_rejected(&actions_far_below, 100));
    assert!(!is_rejected(&actions_slightly_below, 101));
}
