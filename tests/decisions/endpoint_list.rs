//! The endpoint list: draining and removed backends, and polling of discovery with its backoff.

use crate::common::balancer_harness::{
    BalancerHarness, endpoint, endpoints, safe_settings, sends, without_times,
};
use balancer_proxy::*;

#[test]
fn nothing_new_goes_to_a_backend_that_drains_or_is_gone() {
    for status in [Status::Draining, Status::Removed] {
        let mut harness = BalancerHarness::new(safe_settings(), &[endpoint(1)]);
        harness.request(1);
        harness.handle(Event::Endpoints(EndpointUpdate::Changes(&[Endpoint { status, ..endpoint(1) }])));
        // Also when it is a held call's only choice.
        let to = BackendId(1);
        let ended = EndedAttempt {
            id: RequestId(1),
            backend: to,
            attempt: 0,
            outcome: Outcome::Rejected,
            duration: 0.1,
            request_finished: false,
            report: None,
        };
        harness.handle(Event::AttemptEnded(ended));
        assert_eq!(sends(&without_times(harness.advance_to(0.9))), []);
        let actions = harness.request(2);
        assert_eq!(sends(&actions), []);
    }
    let mut harness = BalancerHarness::new(safe_settings(), &endpoints(2));
    harness.handle(Event::Endpoints(EndpointUpdate::Full(&[endpoint(2)])));
    for id in 0..20 {
        assert_eq!(sends(&harness.request(id)), [(id, 2)], "what a full list lacks is gone");
    }
}

#[test]
fn idle_connections_to_a_draining_backend_are_closed() {
    let mut settings = safe_settings();
    settings.idle_close_limit = Some(0.5);
    let mut harness = BalancerHarness::new(settings, &endpoints(1));
    harness.request(1);
    let drains = Endpoint { status: Status::Draining, ..endpoint(1) };
    let close = Action::CloseIdleConnections(BackendId(1));
    assert!(
        harness
            .handle(Event::Endpoints(EndpointUpdate::Changes(std::slice::from_ref(&drains))))
            .contains(&close)
    );
    harness.advance_to(0.1);
    assert!(
        harness.end_attempt(1, 0, 1, Outcome::Success, 0.1).contains(&close),
        "what was out at the notice"
    );
    let mut harness = BalancerHarness::new(safe_settings(), &endpoints(1));
    assert_eq!(
        harness.handle(Event::Endpoints(EndpointUpdate::Changes(&[drains]))),
        [],
        "only where it is asked for"
    );
}

#[test]
fn the_list_is_asked_for_and_asked_again() {
    let mut settings = safe_settings();
    settings.must_poll_endpoints = true;
    let mut harness = BalancerHarness::new(settings.clone(), &endpoints(3));
    let asked = harness.advance_to(settings.endpoint_poll_limit);
    assert_eq!(asked.len(), 1);
    assert_eq!(asked[0].1, Action::WatchEndpoints(true));
    let mut last = 0.0;
    for round in 0..6 {
        let start = harness.now;
        harness.handle(Event::Endpoints(EndpointUpdate::Failed));
        let mut again = harness.advance_to(start + 2.0 * settings.endpoint_poll_limit);
        again.retain(|(_, a)| matches!(a, Action::WatchEndpoints(true)));
        assert_eq!(again.len(), 1, "asked once after each refusal");
        let wait = again[0].0 - start;
        assert!(wait > 0.0 && wait < 1.5 * settings.endpoint_poll_limit, "{wait}");
        if round > 3 {
            assert!(wait > last * 0.3, "waits don't shrink beyond their spread");
        }
        last = wait;
        assert!(sends(&harness.request(round))[0].1 <= 3, "the last list is kept");
    }
    // Balancers that start together do not ask together.
    let mut times: Vec<Time> = (0..20)
        .map(|seed| BalancerHarness::with_seed(seed, settings.clone(), &endpoints(3)).advance_to(10.0)[0].0)
        .collect();
    times.sort_by(f64::total_cmp);
    assert!(times[19] - times[0] > 2.0);
}

#[test]
fn a_call_for_the_list_that_failed_is_soon_made_again_however_rarely_it_must_be_asked_for() {
    for ask_within in [1.0, 10.0, 60.0] {
        for seed in 0..20 {
            let settings =
                Settings { must_poll_endpoints: true, endpoint_poll_limit: ask_within, ..safe_settings() };
            let mut harness = BalancerHarness::with_seed(seed, settings, &[endpoint(1)]);
            harness.advance_to(ask_within);
            harness.handle(Event::Endpoints(EndpointUpdate::Failed));
            // What was missed counts as told 6 s after the watch fell silent, 2.3 s before this.
            assert!(
                without_times(harness.advance_to(ask_within + 1.6)).contains(&Action::WatchEndpoints(true)),
                "{ask_within}"
            );
        }
    }
}

/// The longest that a call takes to fail, the first time and after a failure.
const CALL: [Time; 2] = [2.25, 1.98];

#[test]
fn two_calls_that_take_long_to_fail_leave_time_for_a_third_within_6_s() {
    for ask_within in [1.0, 10.0, 60.0] {
        for seed in 0..200 {
            let settings =
                Settings { must_poll_endpoints: true, endpoint_poll_limit: ask_within, ..safe_settings() };
            let mut harness = BalancerHarness::with_seed(seed, settings, &[endpoint(1)]);
            harness.advance_to(ask_within);
            // So many fail at once before the one that is swallowed as discovery returns.
            for refused in 0..10 {
                let first = harness.now;
                for _ in 0..refused {
                    next_call(&mut harness);
                }
                let start = harness.now;
                harness.advance_to(start + CALL[refused.min(1)]);
                next_call(&mut harness);
                harness.advance_to(harness.now + CALL[1]);
                next_call(&mut harness);
                let took = harness.now - start;
                assert!(took < 5.25, "{ask_within}, seed {seed}, {refused} refused: {took}");
                // The first of them follows soon, the others a second apart.
                assert!(start - first >= 0.5 * refused.saturating_sub(1) as f64, "{start} {first}");
                harness.handle(Event::Endpoints(EndpointUpdate::Changes(&[])));
                harness.advance_to(harness.now + ask_within);
            }
        }
    }
}

/// The call in progress fails, and the next one begins.
fn next_call(harness: &mut BalancerHarness) {
    harness.handle(Event::Endpoints(EndpointUpdate::Failed));
    let (at, _) = *harness.timers.last().expect("a timer");
    assert!(without_times(harness.advance_to(at)).contains(&Action::WatchEndpoints(true)));
}

#[test]
fn balancers_whose_calls_fail_at_the_same_time_do_not_call_again_together() {
    let again = |seed| {
        let settings = Settings { must_poll_endpoints: true, ..safe_settings() };
        let mut harness = BalancerHarness::with_seed(seed, settings, &[endpoint(1)]);
        harness.advance_to(10.0);
        [next_call(&mut harness), next_call(&mut harness)].map(|()| harness.now)
    };
    let mut times: Vec<[Time; 2]> = (0..200).map(again).collect();
    for nth in 0..2 {
        times.sort_by(|a, b| a[nth].total_cmp(&b[nth]));
        // A third of them takes longer than a twentieth of a second.
        let soonest = times.windows(67).map(|few| few[66][nth] - few[0][nth]).fold(f64::INFINITY, f64::min);
        assert!(soonest > 0.05, "{nth}: {soonest}");
    }
}
