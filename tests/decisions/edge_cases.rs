//! Settings with zeros, and determinism.

use crate::common::balancer_harness::{
    BalancerHarness, endpoints, is_rejected, request_class, safe_settings, sends, tenant, without_times,
};
use balancer_proxy::*;

#[test]
fn zero_settings_are_survived() {
    let zero = Settings {
        classes: vec![RequestClass {
            latency_objective: 0.0,
            deadline: 0.0,
            priority_weight: 0.0,
            ..request_class(Effect::Safe)
        }],
        tenants: vec![tenant("none", 0.0)],
        instance_count: 0,
        tier: 0,
        slow_start_duration: 0.0,
        slow_start_initial_capacity: 0.0,
        slow_start_overload_multiple: 0.0,
        slow_start_overload_window: 0.0,
        endpoint_poll_limit: 0.0,
        quantum: 0.0,
        must_poll_endpoints: true,
        ..Settings::default()
    };
    let mut list = endpoints(3);
    list[0].weight = 0.0;
    list[1].started_at = Some(0.0);
    let mut harness = BalancerHarness::new(zero, &list);
    for id in 0..20 {
        let request = Request {
            id: RequestId(id),
            class: 0,
            tenant: Some(0),
            key: None,
            timeout: 1.0,
            streaming_body: false,
        };
        let actions = harness.handle(Event::Request(request));
        assert!(is_rejected(&actions, id), "no aim, no worth: nothing to wait for");
    }
    harness.handle(Event::Endpoints(EndpointUpdate::Failed));
    assert_eq!(harness.balancer.open_requests(), 0);
    assert!(harness.timers.iter().all(|(at, _)| at.is_finite()));
}

#[test]
fn a_class_without_an_aim_is_still_served() {
    // Guards against a memory of no length, over which every rate is not a number.
    let mut settings = safe_settings();
    settings.quantum = 0.0;
    settings.classes[0].latency_objective = 0.0;
    settings.classes[0].late_priority_weight = 0.5;
    let mut harness = BalancerHarness::new(settings, &endpoints(3));
    for id in 0..20 {
        harness.serve(id, 0.1);
    }
    assert_eq!(sends(&harness.request(100)).len(), 1);
}

#[test]
fn the_same_events_give_the_same_actions() {
    let play = |seed| {
        let mut harness = BalancerHarness::with_seed(seed, safe_settings(), &endpoints(9));
        let mut log = Vec::new();
        for id in 0..200 {
            log.extend(harness.request(id));
            log.extend(without_times(harness.advance_to(harness.now + 0.03)));
        }
        log
    };
    assert_eq!(play(5), play(5));
    assert_ne!(play(5), play(6));
}
