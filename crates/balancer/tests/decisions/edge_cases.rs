//! Settings whose values are zero, and the determinism of the actions.

use crate::common::actions::{is_rejected, sent_attempts};
use crate::common::balancer_harness::BalancerHarness;
use crate::common::fixtures::{endpoints, request_class, safe_settings, tenant};
use balancer::{
    Effect, EndpointUpdate, Event, Request, RequestClass, RequestId, Settings, TenantIndex, Tier,
};

/// Returns settings in which every number that may be zero is zero.
fn zero_settings() -> Settings {
    Settings {
        classes: vec![RequestClass {
            latency_objective: 0.0,
            max_timeout: 0.0,
            priority_weight: 0.0,
            ..request_class(Effect::Safe)
        }],
        tenants: vec![tenant("none", 0.0)],
        instance_count: 0,
        tier: Tier::ENTRY,
        slow_start_duration: 0.0,
        slow_start_initial_capacity: 0.0,
        slow_start_overload_multiple: 0.0,
        slow_start_overload_window: 0.0,
        endpoint_poll_limit: 0.0,
        clock_resolution: 0.0,
        must_poll_endpoints: true,
        ..Settings::default()
    }
}

#[test]
fn rejects_requests_and_sets_finite_timers_where_all_settings_are_zero() {
    let mut list = endpoints(3);
    list[0].weight = 0.0;
    list[1].started_at = Some(0.0);
    let mut harness = BalancerHarness::new(zero_settings(), &list);

    for id in 0..20 {
        let request =
            Request { id: RequestId(id), tenant: Some(TenantIndex(0)), timeout: 1.0, ..Request::default() };
        let actions = harness.handle(Event::Request(request));
        assert!(
            is_rejected(&actions, id),
            "rejected at once, as the latency objective and the priority weight are zero"
        );
    }
    harness.handle(Event::Endpoints(EndpointUpdate::Failed));

    assert_eq!(harness.balancer.open_requests(), 0);
    assert!(harness.timers.iter().all(|timer| timer.due.is_finite()));
}

#[test]
fn serves_a_class_without_a_latency_objective() {
    // Guards against rates over a window of length zero: the division yields NaN.
    let mut settings = safe_settings();
    settings.clock_resolution = 0.0;
    settings.classes[0].latency_objective = 0.0;
    settings.classes[0].late_priority_weight = 0.5;
    let mut harness = BalancerHarness::new(settings, &endpoints(3));
    for id in 0..20 {
        harness.serve_request(id, 0.1);
    }

    let actions = harness.handle_request(100);

    assert_eq!(sent_attempts(&actions).len(), 1);
}

#[test]
fn returns_the_same_actions_for_the_same_seed_and_events() {
    let actions_with_seed = |seed| {
        let mut harness = BalancerHarness::with_seed(seed, safe_settings(), &endpoints(9));
        let mut actions = Vec::new();
        for id in 0..200 {
            actions.extend(harness.handle_request(id));
            actions.extend(harness.actions_until(harness.now + 0.03));
        }
        actions
    };

    assert_eq!(actions_with_seed(5), actions_with_seed(5));
    assert_ne!(actions_with_seed(5), actions_with_seed(6));
}
