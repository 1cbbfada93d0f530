//! The overload level of a balancer: the excess of the requests in flight over the number expected from the
//! send rate and the expected latency. At the entry tier, the overload level determines which requests are
//! queued.

use std::collections::{BTreeSet, VecDeque};

use crate::common::actions::{SentAttempt, TimedAction, count_rejections, is_rejected, sent_attempts};
use crate::common::balancer_harness::BalancerHarness;
use crate::common::fixtures::{endpoint, endpoints, safe_settings};
use balancer::{BackendId, EndpointUpdate, Event, Outcome, ServingProcesses, Settings, Tier, Time};

/// Returns the settings of a balancer at the entry tier.
fn entry_settings(instance_count: usize) -> Settings {
    Settings { tier: Tier::ENTRY, instance_count, ..safe_settings() }
}

/// Returns the number of these requests that are sent at once, while none gets a response.
fn admitted_at_once(harness: &mut BalancerHarness, ids: std::ops::Range<u64>) -> usize {
    ids.map(|id| sent_attempts(&harness.handle_request(id)).len()).sum()
}

/// An attempt in flight, which succeeds at a fixed time.
struct AttemptInFlight {
    attempt: SentAttempt,
    ends_at: Time,
    duration: Time,
}

/// Simulates one of two balancers of the entry tier, with four backends of equal response times. After 40 s
/// at `initial_rate`, in requests per second, requests arrive at the doubled rate for 5 s. Returns the number
/// of requests at the doubled rate that were not sent at once.
fn queued_when_traffic_doubles(initial_rate: f64) -> usize {
    const RESPONSE_TIME: Time = 0.24;
    let mut harness = BalancerHarness::new(entry_settings(2), &endpoints(4));
    let mut in_flight = VecDeque::<AttemptInFlight>::new();
    let mut queued = 0;
    let initial_requests = (40.0 * initial_rate) as u64;
    let doubled_requests = (10.0 * initial_rate) as u64;
    for id in 0..initial_requests + doubled_requests {
        let is_doubled = id >= initial_requests;
        let next = harness.now + if is_doubled { 0.5 / initial_rate } else { 1.0 / initial_rate };
        let mut actions = harness.handle_request(id);
        queued += usize::from(is_doubled && sent_attempts(&actions).is_empty());
        while in_flight.front().is_some_and(|attempt| attempt.ends_at <= next) {
            let AttemptInFlight { attempt, ends_at, duration } = in_flight.pop_front().unwrap();
            actions.extend(harness.actions_until(ends_at));
            actions.extend(harness.end_attempt(attempt, Outcome::Success, duration));
        }
        actions.extend(harness.actions_until(next));
        let ends_at = harness.now + RESPONSE_TIME;
        let sent = sent_attempts(&actions).into_iter();
        in_flight.extend(sent.map(|attempt| AttemptInFlight { attempt, ends_at, duration: RESPONSE_TIME }));
    }
    queued
}

#[test]
fn admits_doubled_traffic_of_a_few_requests_per_backend() {
    // The rate of a balancer doubles when the other one stops. 7 requests are then in flight at each backend.
    let queued = queued_when_traffic_doubles(28.0);

    assert_eq!(queued, 0);
}

/// Returns settings with which a backend that is warming up gets almost no requests.
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
    let members: BTreeSet<BackendId> = (0..200).map(|id| harness.serve_request(id, 0.05)).collect();
    assert!(members.len() < 12, "{members:?}");
    // All members are warming up from now on, so that nearly all requests go to substitutes.
    for endpoint in list.iter_mut().filter(|endpoint| members.contains(&endpoint.id)) {
        endpoint.started_at = Some(harness.now);
    }
    harness.handle(Event::Endpoints(EndpointUpdate::Full(&list)));

    let sent = admitted_at_once(&mut harness, 1000..1200);

    assert!(sent < 60, "{sent} of 200 requests were sent without any response");
}

#[test]
fn sheds_load_when_all_members_that_are_not_warming_up_are_overloaded() {
    let mut list = endpoints(6);
    let mut harness = BalancerHarness::new(long_slow_start_settings(1), &list);
    for id in 0..200 {
        harness.serve_request(id, 0.05);
    }
    for endpoint in &mut list[3..] {
        endpoint.started_at = Some(harness.now);
    }
    harness.handle(Event::Endpoints(EndpointUpdate::Full(&list)));
    // The half that is not warming up responds sixteen times slower; the other half gets almost no requests.
    for id in 300..315 {
        harness.serve_request(id, 0.8);
    }

    let sent = admitted_at_once(&mut harness, 1000..1200);

    assert!(sent < 100, "{sent} of 200 requests were sent without any response");
}

/// Returns the number of requests that a balancer sends at once when 40 requests arrive together. The
/// balancer has served 100 requests, and then received these notifications of the processes that serve its
/// clients.
fn admitted_after_notifications(notifications: &[ServingProcesses]) -> usize {
    let mut harness = BalancerHarness::new(entry_settings(1), &[endpoint(1), endpoint(2)]);
    for id in 0..100 {
        harness.serve_request(id, 0.1);
    }
    for processes in notifications {
        harness.handle(Event::ServingProcesses(*processes));
    }
    admitted_at_once(&mut harness, 1000..1040)
}

#[test]
fn admits_half_as_many_requests_while_a_second_process_runs() {
    let with_one_process = admitted_after_notifications(&[]);
    assert!((10..40).contains(&with_one_process), "{with_one_process}");

    let with_two_processes = admitted_after_notifications(&[ServingProcesses::Two]);

    assert!(
        2 * with_two_processes <= with_one_process + 1 && with_two_processes > 0,
        "{with_two_processes} with two processes, {with_one_process} with one"
    );
    let after_second_process = [ServingProcesses::Two, ServingProcesses::Two, ServingProcesses::One];
    assert_eq!(admitted_after_notifications(&after_second_process), with_one_process);
}

#[test]
fn sheds_little_load_when_most_backends_hang() {
    // Guards against requests at hung outliers that count as an overload of all backends.
    let settings = Settings { tier: Tier::ENTRY, hedging_allowed: false, ..safe_settings() };
    let mut harness = BalancerHarness::new(settings, &endpoints(8));
    for id in 0..60 {
        harness.serve_request(id, 0.02);
    }

    let mut rejected = 0;
    for id in 100..400 {
        let actions = harness.handle_request(id);
        rejected += usize::from(is_rejected(&actions, id));
        let timed_actions = harness.actions_until(harness.now + 0.01);
        harness.end_cancelled_attempts(&timed_actions);
        // Backends 1 to 6 never respond; the others respond as before.
        if let Some(sent) = sent_attempts(&actions).first().filter(|sent| sent.backend > BackendId(6)) {
            harness.end_attempt(*sent, Outcome::Success, 0.01);
        }
    }

    assert!(rejected < 60, "{rejected} of 300");
}

/// Sends 100 requests per second. Responses follow after 0.05 s or 0.2 s for the first 5 s, and then stop for
/// 0.4 s. Returns the attempts in flight at the end.
fn stop_responding_under_load(harness: &mut BalancerHarness) -> VecDeque<AttemptInFlight> {
    let mut in_flight = VecDeque::<AttemptInFlight>::new();
    for request in 0..540 {
        let duration = if request % 2 == 0 { 0.05 } else { 0.2 };
        let ends_at = harness.now + duration;
        let sent = sent_attempts(&harness.handle_request(request));
        in_flight.extend(sent.into_iter().map(|attempt| AttemptInFlight { attempt, ends_at, duration }));
        harness.advance_to(harness.now + 0.01);
        in_flight.make_contiguous().sort_by(|left, right| left.ends_at.total_cmp(&right.ends_at));
        while request < 500 && in_flight.front().is_some_and(|attempt| attempt.ends_at <= harness.now) {
            let AttemptInFlight { attempt, duration, .. } = in_flight.pop_front().unwrap();
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
    assert!(
        sent_attempts(&harness.handle_request(1000)).is_empty(),
        "under overload a request is queued at the entry tier"
    );

    let unconnected: Vec<_> = in_flight.iter().rev().take(10).map(|in_flight| in_flight.attempt).collect();
    for attempt in &unconnected {
        harness.end_attempt(*attempt, Outcome::NoConnection, 0.001);
    }
    harness.advance_to(harness.now + 0.6);

    let retried = unconnected.iter().filter(|attempt| harness.attempts_of(attempt.request) > 1).count();
    assert!(retried >= 8, "{retried} of 10 retried");
}

/// Creates a balancer of the entry tier with this number of backends. The balancer has served requests with
/// short response times.
fn harness_after_short_responses(backends: u32) -> BalancerHarness {
    let mut harness = BalancerHarness::new(entry_settings(1), &endpoints(backends));
    for id in 0..200 {
        harness.serve_request(id, 0.02);
    }
    harness
}

#[test]
fn admits_nine_requests_in_flight_at_each_backend_however_short_the_expected_latency() {
    for backends in [2, 3, 5] {
        let mut harness = harness_after_short_responses(backends);
        let in_flight_without_overload = 9 * backends as usize;

        let admitted = admitted_at_once(&mut harness, 1000..1400);

        assert!(admitted > in_flight_without_overload, "{admitted} at {backends} backends");
        assert!(
            admitted <= in_flight_without_overload + 5 * backends as usize,
            "{admitted} at {backends} backends"
        );
    }
}

#[test]
fn sends_queued_requests_when_responses_arrive_again() {
    let mut harness = harness_after_short_responses(2);
    let sent: Vec<_> = (1000..1200).flat_map(|id| sent_attempts(&harness.handle_request(id))).collect();
    let queued = 200 - sent.len();
    assert!(queued > 100, "{queued}");
    harness.advance_to(harness.now + 0.02);

    let mut actions = Vec::new();
    for attempt in &sent {
        actions.extend(harness.end_attempt(*attempt, Outcome::Success, 0.02));
    }

    let admitted = sent_attempts(&actions).len();
    assert!(
        admitted > sent.len() / 2,
        "{admitted} of {queued} queued requests after {} responses",
        sent.len()
    );
}

#[test]
fn rejects_queued_requests_after_a_quarter_of_their_timeout() {
    let mut harness = harness_after_short_responses(2);
    let sent = admitted_at_once(&mut harness, 1000..1200);
    let start = harness.now;
    // The effective timeout is the latency objective of 1 s, as late responses have no priority weight.
    let mut actions = harness.advance_to(start + 0.24);
    assert_eq!(rejections_among(&actions), 0);

    actions = harness.advance_to(start + 0.26);

    assert_eq!(rejections_among(&actions), 200 - sent);
}

fn rejections_among(timed_actions: &[TimedAction]) -> usize {
    let actions: Vec<_> = timed_actions.iter().map(|timed| timed.action).collect();
    count_rejections(&actions)
}
