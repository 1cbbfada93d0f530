//! The endpoint list: draining and removed backends, and polling of discovery with its backoff.

use crate::common::actions::{SentAttempt, sent_attempts};
use crate::common::balancer_harness::BalancerHarness;
use crate::common::fixtures::{endpoint, endpoints, safe_settings};
use balancer::{Action, BackendId, Endpoint, EndpointUpdate, Event, Outcome, Settings, Status, Time};

#[test]
fn sends_nothing_to_a_draining_or_removed_backend() {
    for status in [Status::Draining, Status::Removed] {
        let mut harness = BalancerHarness::new(safe_settings(), &[endpoint(1)]);
        let sent = harness.send_request(1);
        harness.handle(Event::Endpoints(EndpointUpdate::Changes(&[Endpoint { status, ..endpoint(1) }])));

        harness.end_attempt(sent, Outcome::Rejected, 0.1);

        // Neither a retry nor a new request is sent, although there is no other backend.
        assert_eq!(harness.sends_until(0.9), []);
        let actions = harness.handle_request(2);
        assert_eq!(sent_attempts(&actions), []);
    }
}

#[test]
fn sends_nothing_to_a_backend_that_is_absent_from_a_full_list() {
    let mut harness = BalancerHarness::new(safe_settings(), &endpoints(2));

    harness.handle(Event::Endpoints(EndpointUpdate::Full(&[endpoint(2)])));

    for id in 0..20 {
        assert_eq!(
            sent_attempts(&harness.handle_request(id)),
            [SentAttempt::new(id, 2)],
            "a backend that is absent from a full list is removed"
        );
    }
}

#[test]
fn closes_idle_connections_to_a_draining_backend() {
    let settings = Settings { idle_close_limit: Some(0.5), ..safe_settings() };
    let mut harness = BalancerHarness::new(settings, &endpoints(1));
    let sent = harness.send_request(1);
    let draining = Endpoint { status: Status::Draining, ..endpoint(1) };
    let close = Action::CloseIdleConnections(BackendId(1));

    let actions = harness.handle(Event::Endpoints(EndpointUpdate::Changes(&[draining])));

    assert!(actions.contains(&close));
    harness.advance_to(0.1);
    assert!(
        harness.end_attempt(sent, Outcome::Success, 0.1).contains(&close),
        "the connection was in use at the notification and is idle now"
    );
}

#[test]
fn keeps_idle_connections_to_a_draining_backend_where_no_limit_is_set() {
    let mut harness = BalancerHarness::new(safe_settings(), &endpoints(1));
    let draining = Endpoint { status: Status::Draining, ..endpoint(1) };

    assert_eq!(
        harness.handle(Event::Endpoints(EndpointUpdate::Changes(&[draining]))),
        [],
        "the settings contain no limit for idle connections"
    );
}

fn polling_settings() -> Settings {
    Settings { must_poll_endpoints: true, ..safe_settings() }
}

#[test]
fn polls_with_backoff_and_keeps_the_last_list_while_polls_fail() {
    let settings = polling_settings();
    let mut harness = BalancerHarness::new(settings.clone(), &endpoints(3));

    let polls = harness.advance_to(settings.endpoint_poll_limit);

    assert_eq!(polls.len(), 1);
    assert_eq!(polls[0].action, Action::WatchEndpoints);
    let mut last_delay = 0.0;
    for round in 0..6 {
        let start = harness.now;
        harness.handle(Event::Endpoints(EndpointUpdate::Failed));
        let mut polls = harness.advance_to(start + 2.0 * settings.endpoint_poll_limit);
        polls.retain(|timed| timed.action == Action::WatchEndpoints);
        assert_eq!(polls.len(), 1, "one poll follows each failure");
        let delay = polls[0].at - start;
        assert!(delay > 0.0 && delay < 1.5 * settings.endpoint_poll_limit, "{delay}");
        if round > 3 {
            assert!(delay > last_delay * 0.3, "the delay falls only within the range of the jitter");
        }
        last_delay = delay;
        assert!(harness.send_request(round).backend <= BackendId(3), "the last list stays in use");
    }
}

#[test]
fn first_polls_of_balancers_that_started_together_are_spread() {
    let first_poll_time = |seed| {
        let mut harness = BalancerHarness::with_seed(seed, polling_settings(), &endpoints(3));
        harness.advance_to(10.0)[0].at
    };
    let mut first_poll_times: Vec<Time> = (0..20).map(first_poll_time).collect();

    first_poll_times.sort_by(f64::total_cmp);
    assert!(first_poll_times[19] - first_poll_times[0] > 2.0);
}

/// Values of `endpoint_poll_limit`, in seconds.
const ENDPOINT_POLL_LIMITS: [Time; 3] = [1.0, 10.0, 60.0];

/// Creates a balancer whose first poll is in progress.
fn harness_with_first_poll(seed: u64, endpoint_poll_limit: Time) -> BalancerHarness {
    let settings = Settings { endpoint_poll_limit, ..polling_settings() };
    let mut harness = BalancerHarness::with_seed(seed, settings, &[endpoint(1)]);
    harness.advance_to(endpoint_poll_limit);
    harness
}

#[test]
fn repeats_a_failed_poll_soon_however_long_the_poll_limit() {
    for poll_limit in ENDPOINT_POLL_LIMITS {
        for seed in 0..20 {
            let mut harness = harness_with_first_poll(seed, poll_limit);

            harness.handle(Event::Endpoints(EndpointUpdate::Failed));

            // The watch stopped delivering events 2.3 s before this failure. A change that the balancer
            // missed counts as notified 6 s after the watch stopped.
            assert!(
                harness.actions_until(poll_limit + 1.6).contains(&Action::WatchEndpoints),
                "{poll_limit}"
            );
        }
    }
}

/// The longest time that the first poll takes to fail, in seconds.
const MAX_FIRST_POLL_DURATION: Time = 2.25;
/// The longest time that a poll after a failure takes to fail, in seconds.
const MAX_REPEATED_POLL_DURATION: Time = 2.1;

#[test]
fn polls_a_third_time_within_6_s_when_two_polls_fail_slowly() {
    for poll_limit in ENDPOINT_POLL_LIMITS {
        for seed in 0..200 {
            let mut harness = harness_with_first_poll(seed, poll_limit);
            // Some polls fail at once. The next two polls fail slowly, while discovery recovers.
            for failed_at_once in 0..10_u32 {
                let first_start = harness.now;
                for _ in 0..failed_at_once {
                    fail_poll_and_await_next(&mut harness);
                }
                let start = harness.now;

                let is_first = failed_at_once == 0;
                let duration = if is_first { MAX_FIRST_POLL_DURATION } else { MAX_REPEATED_POLL_DURATION };
                harness.advance_to(start + duration);
                fail_poll_and_await_next(&mut harness);
                harness.advance_to(harness.now + MAX_REPEATED_POLL_DURATION);
                fail_poll_and_await_next(&mut harness);

                let elapsed = harness.now - start;
                assert!(elapsed < 5.25, "{poll_limit}, seed {seed}, {failed_at_once} failed: {elapsed}");
                // After the first repeated poll, polls start 1 s apart on average and at least 0.5 s apart.
                assert!(
                    start - first_start >= 0.5 * f64::from(failed_at_once.saturating_sub(1)),
                    "{start} {first_start}"
                );
                harness.handle(Event::Endpoints(EndpointUpdate::Changes(&[])));
                harness.advance_to(harness.now + poll_limit);
            }
        }
    }
}

/// Fails the poll in progress and advances to the start of the next one.
fn fail_poll_and_await_next(harness: &mut BalancerHarness) {
    harness.handle(Event::Endpoints(EndpointUpdate::Failed));
    let due = harness.timers.last().expect("a timer").due;
    assert!(harness.actions_until(due).contains(&Action::WatchEndpoints));
}

#[test]
fn repeated_polls_of_balancers_that_failed_together_are_spread() {
    let repeat_times = |seed| {
        let mut harness = harness_with_first_poll(seed, Settings::default().endpoint_poll_limit);
        [0, 1].map(|_| {
            fail_poll_and_await_next(&mut harness);
            harness.now
        })
    };
    let mut times: Vec<[Time; 2]> = (0..200).map(repeat_times).collect();

    for repeat in 0..2 {
        times.sort_by(|left, right| left[repeat].total_cmp(&right[repeat]));
        // The polls of any 67 of the 200 balancers, a third, are spread over more than 0.05 s.
        let shortest_spread = times
            .windows(67)
            .map(|window| window[66][repeat] - window[0][repeat])
            .fold(f64::INFINITY, f64::min);
        assert!(shortest_spread > 0.05, "{repeat}: {shortest_spread}");
    }
}
