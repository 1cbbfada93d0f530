//! Retries: the retransmission probability, the doubling timers, and the effects of the classes.

use crate::common::actions::{SentAttempt, is_failed, is_rejected, send_times};
use crate::common::balancer_harness::BalancerHarness;
use crate::common::fixtures::{endpoint, endpoints, safe_settings, settings_with_effect};
use balancer::{
    BackendId, CellId, Effect, Endpoint, EndpointUpdate, Event, IdempotencyGroup, Outcome, Settings, Time,
    ZoneId,
};

#[test]
fn always_retries_the_only_request_of_a_balancer() {
    // Regression: a balancer with little traffic did not retry, as its send rate times T1 is far below 1.
    for seed in 0..300 {
        let mut harness = BalancerHarness::with_seed(seed, safe_settings(), &endpoints(4));
        harness.advance_to(0.5);

        harness.handle_request(1);

        assert_eq!(harness.sends_until(0.96).len(), 1, "seed {seed}");
    }
}

#[test]
fn retries_with_the_least_probability_when_many_requests_are_unanswered() {
    // By Little's law, the send rate of this burst corresponds to far fewer unanswered requests.
    let mut retries = 0;
    let mut timers_fired = 0;
    for seed in 0..200 {
        let mut harness = BalancerHarness::with_seed(seed, safe_settings(), &endpoints(4));
        for id in 0..40 {
            harness.handle_request_with_timeout(id, 100.0);
            harness.now += 0.1;
        }
        // When these timers fire, 40 requests are unanswered at a send rate of 10 per second. The mean wait
        // is far longer than T1.
        harness.timers.retain(|timer| timer.due > 3.9);
        timers_fired += harness.timers.iter().filter(|timer| timer.due < 4.4).count();
        retries += send_times(&harness.advance_to(4.4), 0.0).len();
    }

    let retried_fraction = retries as f64 / timers_fired as f64;
    assert!(retried_fraction < 0.5, "{retried_fraction}");
    assert!(retried_fraction > 0.0, "the retry probability never falls to zero");
}

#[test]
fn first_retry_timer_follows_from_the_latency_objective_without_earlier_responses() {
    // With a latency objective of 1 s, T1 is 0.4 s, with a jitter of 10%.
    let mut harness = BalancerHarness::new(safe_settings(), &endpoints(8));

    harness.handle_request(1);
    let times = send_times(&harness.advance_to(2.0), 0.0);

    assert_eq!(times.len(), 1, "the second timer, at 3 T1, is beyond the latency objective: {times:?}");
    assert!((0.36..=0.44).contains(&times[0]));
}

#[test]
fn intervals_of_retry_timers_double() {
    // Short response times make T1 short.
    let mut harness = BalancerHarness::new(safe_settings(), &endpoints(8));
    for id in 0..50 {
        harness.serve_request(100 + id, 0.05);
    }
    harness.advance_to(60.0);
    let start = harness.now;

    harness.handle_request(1);
    let times = send_times(&harness.advance_to(start + 1.0), start);

    assert_eq!(times.len(), 3, "{times:?}");
    assert!(times[0] > 0.05 && times[0] < 0.1, "just over the expected latency: {times:?}");
    assert!((2.2..4.0).contains(&(times[1] / times[0])), "{times:?}");
    assert!((1.8..2.9).contains(&(times[2] / times[1])), "{times:?}");
}

#[test]
fn sends_a_retry_to_another_backend() {
    for seed in 0..20 {
        let mut harness = BalancerHarness::with_seed(seed, safe_settings(), &endpoints(6));

        let first = harness.send_request(1);
        let second = harness.sends_until(0.5)[0];

        assert_ne!(first.backend, second.backend);
    }
}

#[test]
fn does_not_hedge_at_the_first_timer_when_the_backend_has_responded_to_a_later_request() {
    // Guards against doubling the work of requests that merely take long.
    let mut harness = BalancerHarness::new(safe_settings(), &[endpoint(1)]);
    harness.handle_request(1);
    harness.now = 0.1;
    let later = harness.send_request(2);
    harness.now = 0.2;
    harness.end_attempt(later, Outcome::Success, 0.1);
    harness.handle(Event::Endpoints(EndpointUpdate::Changes(&[endpoint(2)])));

    assert_eq!(harness.sends_until(0.5), []);
}

#[test]
fn hedges_while_the_backend_does_not_respond() {
    let mut harness = BalancerHarness::new(safe_settings(), &[endpoint(1)]);
    harness.handle_request(1);
    harness.handle(Event::Endpoints(EndpointUpdate::Changes(&[endpoint(2)])));

    let hedged = harness.sends_until(0.5);

    assert_eq!(hedged, [SentAttempt::new(1, 2)]);
}

#[test]
fn hedges_at_the_second_timer_when_the_backend_has_responded_to_a_later_request() {
    // Guards against requests that wait for their whole timeout at a backend that sent one more response and
    // then hung, or on a connection that is stalled.
    let mut harness = BalancerHarness::new(safe_settings(), &[endpoint(1)]);
    for id in 100..200 {
        harness.serve_request(id, 0.05);
    }
    let sent_at = harness.now;
    harness.handle_request(1);
    let later = harness.send_request(2);
    harness.advance_to(sent_at + 0.03);

    harness.end_attempt(later, Outcome::Success, 0.03);
    harness.handle(Event::Endpoints(EndpointUpdate::Changes(&[endpoint(2)])));

    // T1 is slightly over 0.05 s. The first timer sends nothing, and the second one sends the hedged attempt.
    assert_eq!(harness.sends_until(sent_at + 0.1), []);
    assert_eq!(harness.sends_until(sent_at + 0.3), [SentAttempt::new(1, 2)]);
}

#[test]
fn sends_no_retry_when_max_attempts_is_one() {
    let settings = Settings { max_attempts: 1, ..safe_settings() };
    let mut harness = BalancerHarness::new(settings, &endpoints(4));

    harness.handle_request(1);

    assert_eq!(harness.sends_until(0.9), []);
}

#[test]
fn rejects_at_once_when_max_attempts_is_zero() {
    let settings = Settings { max_attempts: 0, hedging_allowed: false, ..safe_settings() };
    let mut harness = BalancerHarness::new(settings, &endpoints(4));

    let actions = harness.handle_request(1);

    assert!(is_rejected(&actions, 1));
}

#[test]
fn retries_only_failed_attempts_when_hedging_is_not_allowed() {
    let settings = Settings { hedging_allowed: false, ..safe_settings() };
    let mut harness = BalancerHarness::new(settings, &endpoints(4));
    let sent = harness.send_request(1);
    assert_eq!(harness.sends_until(0.2), []);

    harness.end_attempt(sent, Outcome::Error, 0.2);

    assert_eq!(harness.sends_until(0.5).len(), 1, "a failed attempt is retried at the next timer");
}

#[test]
fn retries_an_unsafe_request_only_if_no_attempt_can_have_run() {
    for (outcome, retries) in
        [(Outcome::Rejected, 1), (Outcome::NoConnection, 1), (Outcome::Error, 0), (Outcome::Reset, 0)]
    {
        let mut harness = BalancerHarness::new(settings_with_effect(Effect::Unsafe), &endpoints(4));
        let sent = harness.send_request(1);
        harness.now = 0.1;

        let actions = harness.end_attempt(sent, outcome, 0.1);

        assert_eq!(
            is_failed(&actions, 1),
            retries == 0,
            "{outcome:?}: a request that may not be retried fails at once"
        );
        assert_eq!(harness.sends_until(0.5).len(), retries, "{outcome:?}");
    }
}

#[test]
fn does_not_hedge_an_unsafe_request() {
    let mut harness = BalancerHarness::new(settings_with_effect(Effect::Unsafe), &endpoints(4));

    harness.handle_request(1);

    assert_eq!(harness.sends_until(0.9), [], "the backend may be processing the first attempt");
}

/// Creates a balancer with a class of idempotent requests. Each of two zones has two cells with two backends.
fn idempotent_harness(seed: u64, group: IdempotencyGroup, window: Time) -> BalancerHarness {
    let endpoint_in_cell_and_zone = |id| {
        let backend = BackendId(id);
        Endpoint { cell: cell_of(backend), zone: zone_of(backend), ..endpoint(id) }
    };
    let endpoints: Vec<_> = (1..=8).map(endpoint_in_cell_and_zone).collect();
    let settings = settings_with_effect(Effect::Idempotent { group, window });
    BalancerHarness::with_seed(seed, settings, &endpoints)
}

fn cell_of(backend: BackendId) -> CellId {
    CellId((backend.0 - 1) % 4)
}

fn zone_of(backend: BackendId) -> ZoneId {
    ZoneId((backend.0 - 1) % 2)
}

#[test]
fn retries_an_idempotent_request_inside_the_cell_of_its_key() {
    for seed in 0..30 {
        let mut harness = idempotent_harness(seed, IdempotencyGroup::Cell, 5.0);

        let first = harness.send_request(1);
        let retries = harness.sends_until(0.5);

        assert_eq!(
            retries.len(),
            1,
            "the retry goes to the other backend of the cell, even outside the subset"
        );
        assert_eq!(cell_of(retries[0].backend), cell_of(first.backend));
    }
}

#[test]
fn does_not_retry_an_idempotent_request_after_the_window_of_its_key() {
    for seed in 0..30 {
        let mut harness = idempotent_harness(seed, IdempotencyGroup::Cell, 0.2);

        harness.handle_request(1);

        assert_eq!(harness.sends_until(0.9), [], "the backends of the cell no longer detect a repeat");
    }
}

#[test]
fn retries_an_idempotent_request_inside_the_zone_of_its_key() {
    for seed in 0..30 {
        let mut harness = idempotent_harness(seed, IdempotencyGroup::Zone, 5.0);

        let first = harness.send_request(1);
        let retries = harness.sends_until(0.5);

        assert!(retries.iter().all(|retry| zone_of(retry.backend) == zone_of(first.backend)));
    }
}

#[test]
fn own_attempts_do_not_lower_the_retry_probability_of_their_request() {
    // Guards against a balancer with little traffic where the attempts of a request lower the probability of
    // further ones.
    let mut requests_with_three_retries = 0;
    for seed in 0..100 {
        let mut harness = BalancerHarness::with_seed(seed, safe_settings(), &endpoints(8));
        for id in 0..50 {
            harness.serve_request(100 + id, 0.05);
        }
        harness.advance_to(60.0);

        harness.handle_request(1);

        requests_with_three_retries += usize::from(harness.sends_until(60.5).len() == 3);
    }
    assert!(requests_with_three_retries > 90, "{requests_with_three_retries}");
}
