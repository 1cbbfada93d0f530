//! Admission: load shedding at the entry tier, by quotas and priority weights.

use std::collections::{BTreeSet, VecDeque};

use crate::common::actions::{SentAttempt, is_rejected, rejections, sends};
use crate::common::balancer_harness::BalancerHarness;
use crate::common::fixtures::{endpoint, endpoints, request_class, safe_settings, tenant};
use balancer::{
    Action, BackendId, Effect, EndpointUpdate, Event, Outcome, Request, RequestClass, RequestId, Settings,
    Time,
};

/// Returns the settings of a balancer at the entry tier.
fn entry_settings(instance_count: usize) -> Settings {
    Settings { tier: 0, instance_count, ..safe_settings() }
}

/// Returns the number of these requests that are sent at once, while none gets a response.
fn admitted_at_once(harness: &mut BalancerHarness, ids: std::ops::Range<u64>) -> usize {
    ids.map(|id| sends(&harness.request(id)).len()).sum()
}

#[test]
fn sheds_load_only_at_the_entry_tier() {
    let rejected_by_tier = [0, 1].map(|tier| {
        let mut harness = BalancerHarness::new(Settings { tier, ..safe_settings() }, &endpoints(4));
        for id in 0..100 {
            harness.serve(id, 0.05);
        }

        let mut rejected = 0;
        for id in 1000..1200 {
            assert!(!is_rejected(&harness.request(id), id), "the request is queued for a while");
            rejected += rejections(&harness.actions_until(harness.now + 0.005));
        }

        rejected
    });

    assert!(rejected_by_tier[0] > 50, "{rejected_by_tier:?}");
    assert_eq!(rejected_by_tier[1], 0);
}

/// An attempt that is going to succeed.
struct InFlight {
    attempt: SentAttempt,
    ends_at: Time,
    duration: Time,
}

/// Simulates one of two balancers of the entry tier before four backends of equal response times. After 40 s
/// at the initial rate, in requests per second, requests arrive twice as fast for 5 s. Returns the number of
/// requests at the doubled rate that were not sent at once.
fn queued_when_traffic_doubles(initial_rate: f64) -> usize {
    const RESPONSE_TIME: Time = 0.24;
    let mut harness = BalancerHarness::new(entry_settings(2), &endpoints(4));
    let mut in_flight = VecDeque::<InFlight>::new();
    let mut queued = 0;
    let initial_requests = (40.0 * initial_rate) as u64;
    let doubled_requests = (10.0 * initial_rate) as u64;
    for id in 0..initial_requests + doubled_requests {
        let is_doubled = id >= initial_requests;
        let next = harness.now + if is_doubled { 0.5 / initial_rate } else { 1.0 / initial_rate };
        let mut actions = harness.request(id);
        queued += usize::from(is_doubled && sends(&actions).is_empty());
        while in_flight.front().is_some_and(|attempt| attempt.ends_at <= next) {
            let InFlight { attempt, ends_at, duration } = in_flight.pop_front().unwrap();
            actions.extend(harness.actions_until(ends_at));
            actions.extend(harness.end_attempt(attempt, Outcome::Success, duration));
        }
        actions.extend(harness.actions_until(next));
        let ends_at = harness.now + RESPONSE_TIME;
        let sent = sends(&actions).into_iter();
        in_flight.extend(sent.map(|attempt| InFlight { attempt, ends_at, duration: RESPONSE_TIME }));
    }
    queued
}

#[test]
fn admits_doubled_traffic_of_a_few_requests_per_backend() {
    // A stopped balancer leaves its requests to the other one: 7 are in flight at each backend then.
    let queued = queued_when_traffic_doubles(28.0);

    assert_eq!(queued, 0);
}

/// Returns settings with which a backend that is warming up gets next to no requests.
fn long_slow_start_settings(instance_count: usize) -> Settings {
    Settings {
        slow_start_duration: 1000.0,
        slow_start_initial_capacity: 0.01,
        ..entry_settings(instance_count)
    }
}

#[test]
fn counts_requests_at_substitutes_of_warming_members_as_load() {
    let mut list = endpoints(12);
    let mut harness = BalancerHarness::new(long_slow_start_settings(4), &list);
    let members: BTreeSet<BackendId> = (0..200).map(|id| harness.serve(id, 0.05)).collect();
    assert!(members.len() < 12, "{members:?}");
    // All members are warming up from now on, so that substitutes get nearly every request.
    for endpoint in list.iter_mut().filter(|endpoint| members.contains(&endpoint.id)) {
        endpoint.started_at = Some(harness.now);
    }
    harness.handle(Event::Endpoints(EndpointUpdate::Full(&list)));

    let sent = admitted_at_once(&mut harness, 1000..1200);

    assert!(sent < 60, "{sent} of 200 requests sent, without any response");
}

#[test]
fn sheds_load_when_all_members_but_those_warming_up_are_overloaded() {
    let mut list = endpoints(6);
    let mut harness = BalancerHarness::new(long_slow_start_settings(1), &list);
    for id in 0..200 {
        harness.serve(id, 0.05);
    }
    for endpoint in &mut list[3..] {
        endpoint.started_at = Some(harness.now);
    }
    harness.handle(Event::Endpoints(EndpointUpdate::Full(&list)));
    // The unchanged half responds sixteen times slower; the other half gets next to no requests.
    for id in 300..315 {
        harness.serve(id, 0.8);
    }

    let sent = admitted_at_once(&mut harness, 1000..1200);

    assert!(sent < 100, "{sent} of 200 requests sent, without any response");
}

/// Sends a hundred requests a second. Responses follow after 0.05 s or 0.2 s for 5 s, then stop for 0.4 s.
/// Returns the attempts in flight then.
fn stop_responding_under_load(harness: &mut BalancerHarness) -> VecDeque<InFlight> {
    let mut in_flight = VecDeque::<InFlight>::new();
    for request in 0..540 {
        let duration = if request % 2 == 0 { 0.05 } else { 0.2 };
        let ends_at = harness.now + duration;
        let sent = sends(&harness.request(request));
        in_flight.extend(sent.into_iter().map(|attempt| InFlight { attempt, ends_at, duration }));
        harness.advance_to(harness.now + 0.01);
        in_flight.make_contiguous().sort_by(|left, right| left.ends_at.total_cmp(&right.ends_at));
        while request < 500 && in_flight.front().is_some_and(|attempt| attempt.ends_at <= harness.now) {
            let InFlight { attempt, duration, .. } = in_flight.pop_front().unwrap();
            let actions = harness.end_attempt(attempt, Outcome::Success, duration);
            harness.end_cancelled_attempts(&actions);
        }
    }
    in_flight
}

#[test]
fn retries_failed_connections_with_the_same_probability_under_overload() {
    let mut harness = BalancerHarness::new(entry_settings(1), &endpoints(3));
    let in_flight = stop_responding_under_load(&mut harness);
    assert!(sends(&harness.request(1000)).is_empty(), "under overload a request is queued at the entry");

    let unconnected: Vec<_> = in_flight.iter().rev().take(10).map(|in_flight| in_flight.attempt).collect();
    for attempt in &unconnected {
        harness.end_attempt(*attempt, Outcome::NoConnection, 0.001);
    }
    harness.advance_to(harness.now + 0.6);

    let retried = unconnected.iter().filter(|attempt| harness.attempts_of(attempt.request) > 1).count();
    assert!(retried >= 8, "{retried} of 10 retried");
}

/// Returns the class of a request: the two classes alternate.
fn class_of(id: RequestId) -> usize {
    id.0 as usize % 2
}

/// Returns the tenant of a request: the two tenants alternate after every second request.
fn tenant_of(id: RequestId) -> usize {
    id.0 as usize / 2 % 2
}

/// An attempt without a response so far.
struct Unanswered {
    attempt: SentAttempt,
    sent_at: Time,
}

#[test]
fn sheds_requests_of_low_weight_and_of_tenants_over_quota_first() {
    let mut settings = Settings { tier: 0, ..safe_settings() };
    settings.classes.push(RequestClass { priority_weight: 10.0, ..request_class(Effect::Safe) });
    settings.tenants = vec![tenant("small", 1.0), tenant("large", 1000.0)];
    settings.over_quota_weight = 0.01;
    let mut harness = BalancerHarness::new(settings, &endpoints(4));

    // Rejections by class and tenant.
    let mut rejected = [[0; 2]; 2];
    let mut in_flight = VecDeque::<Unanswered>::new();
    for round in 0..4000u64 {
        let id = RequestId(round);
        let (class, tenant) = (class_of(id), Some(tenant_of(id)));
        let request = Request { id, class, tenant, timeout: 2.0, ..Request::default() };
        let mut actions = harness.handle(Event::Request(request));
        // The backends respond to all requests at first, later to seven in ten.
        if (round < 500 || round % 10 < 7)
            && let Some(Unanswered { attempt, sent_at }) = in_flight.pop_front()
        {
            let duration = (harness.now - sent_at).max(0.001);
            actions.extend(harness.end_attempt(attempt, Outcome::Success, duration));
        }
        actions.extend(harness.actions_until(harness.now + 0.005));
        actions.extend(harness.end_cancelled_attempts(&actions.clone()));
        let sent_at = harness.now;
        in_flight.extend(sends(&actions).into_iter().map(|attempt| Unanswered { attempt, sent_at }));
        for action in &actions {
            if let Action::Reject { id, .. } = action {
                rejected[class_of(*id)][tenant_of(*id)] += usize::from(id.0 > 500);
            }
        }
    }

    assert!(rejected[0][0] >= rejected[0][1] && rejected[0][1] >= rejected[1][1], "{rejected:?}");
    assert!(rejected[0][0] > 2 * rejected[1][1], "{rejected:?}");
}

#[test]
fn sheds_little_load_when_most_backends_hang() {
    // Guards against requests stuck at a few outliers that pass for an overload of all backends.
    let settings = Settings { tier: 0, hedging_allowed: false, ..safe_settings() };
    let mut harness = BalancerHarness::new(settings, &endpoints(8));
    for id in 0..60 {
        harness.serve(id, 0.02);
    }

    let mut rejected = 0;
    for id in 100..400 {
        let actions = harness.request(id);
        rejected += usize::from(is_rejected(&actions, id));
        let timed_actions = harness.actions_until(harness.now + 0.01);
        harness.end_cancelled_attempts(&timed_actions);
        // Backends 1 to 6 never respond; the others respond as before.
        if let Some(sent) = sends(&actions).first().filter(|sent| sent.backend > BackendId(6)) {
            harness.end_attempt(*sent, Outcome::Success, 0.01);
        }
    }

    assert!(rejected < 60, "{rejected} of 300");
}

#[test]
fn rejects_a_request_whose_timeout_is_far_below_the_expected_latency() {
    // Guards against work for requests whose client gives up before it is done.
    let mut harness = BalancerHarness::new(safe_settings(), &endpoints(4));
    for id in 0..30 {
        harness.serve(id, 0.1);
    }

    let far_below = harness.request_with_timeout(100, 0.05);
    let little_below = harness.request_with_timeout(101, 0.09);

    assert!(is_rejected(&far_below, 100));
    assert!(!is_rejected(&little_below, 101));
}

/// Returns the number of forty requests arriving together that a balancer sends at once, after a hundred
/// served requests and these notifications of a second process.
fn admitted_after(second_process_running: &[bool]) -> usize {
    let mut harness = BalancerHarness::new(entry_settings(1), &[endpoint(1), endpoint(2)]);
    for id in 0..100 {
        harness.serve(id, 0.1);
    }
    for running in second_process_running {
        harness.handle(Event::SecondProcess { running: *running });
    }
    admitted_at_once(&mut harness, 1000..1040)
}

#[test]
fn admits_half_as_many_requests_while_a_second_process_runs() {
    let alone = admitted_after(&[]);
    assert!((10..40).contains(&alone), "{alone}");

    let half = admitted_after(&[true]);

    assert!(2 * half <= alone + 1 && half > 0, "{half} beside another, {alone} alone");
    assert_eq!(admitted_after(&[true, true, false]), alone);
}
