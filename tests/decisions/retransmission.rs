//! Retries: the retransmission probability, the doubling timers, and what the effect of a class allows.

use crate::common::balancer_harness::{
    BalancerHarness, endpoint, endpoints, is_failed, is_rejected, safe_settings, sends, settings_with_effect,
    without_times,
};
use balancer_proxy::*;

#[test]
fn a_lone_call_is_always_repeated() {
    // Guards against the quiet balancer's break: rate x T1 far under one.
    for seed in 0..300 {
        let mut harness = BalancerHarness::with_seed(seed, safe_settings(), &endpoints(4));
        harness.advance_to(0.5);
        harness.request(1);
        assert_eq!(sends(&without_times(harness.advance_to(0.96))).len(), 1, "seed {seed}");
    }
}

#[test]
fn many_unanswered_calls_cut_repeats_to_the_least_chance() {
    // The send rate is that of one short burst, so by Little's law these calls wait for long.
    let mut repeated = 0;
    let mut fired = 0;
    for seed in 0..200 {
        let mut harness = BalancerHarness::with_seed(seed, safe_settings(), &endpoints(4));
        for id in 0..40 {
            harness.request_with_timeout(id, 100.0);
            harness.now += 0.1;
        }
        // By the time they fire, 40 calls wait where 10 a second are sent: far beyond T1.
        harness.timers.retain(|(at, _)| *at > 3.9);
        fired += harness.timers.iter().filter(|(at, _)| *at < 4.4).count();
        let seen = harness.advance_to(4.4);
        repeated += seen.iter().filter(|(_, a)| matches!(a, Action::Send { .. })).count();
    }
    let share = repeated as f64 / fired as f64;
    assert!(share < 0.5, "{share}");
    assert!(share > 0.0, "p never falls to nothing");
}

#[test]
fn firings_double() {
    // A safe call of one second's aim without history: T1 is 0.4 s, spread by a tenth.
    let mut harness = BalancerHarness::new(safe_settings(), &endpoints(8));
    harness.request(1);
    let seen = harness.advance_to(2.0);
    let times: Vec<Time> =
        seen.iter().filter(|(_, a)| matches!(a, Action::Send { .. })).map(|(t, _)| *t).collect();
    assert_eq!(times.len(), 1, "3 x T1 is beyond the aim: {times:?}");
    assert!((0.36..=0.44).contains(&times[0]));
    // With history T1 is short, and the next firing comes 2 x T1 after the first.
    let mut harness = BalancerHarness::new(safe_settings(), &endpoints(8));
    for id in 0..50 {
        harness.serve(100 + id, 0.05);
    }
    harness.advance_to(60.0);
    let start = harness.now;
    harness.request(1);
    let seen = harness.advance_to(start + 1.0);
    let times: Vec<Time> =
        seen.iter().filter(|(_, a)| matches!(a, Action::Send { .. })).map(|(t, _)| *t - start).collect();
    assert_eq!(times.len(), 3, "{times:?}");
    assert!(times[0] > 0.05 && times[0] < 0.1, "just over the normal answer time: {times:?}");
    assert!((2.2..4.0).contains(&(times[1] / times[0])), "{times:?}");
    assert!((1.8..2.9).contains(&(times[2] / times[1])), "{times:?}");
}

#[test]
fn a_repeat_goes_to_another_backend() {
    for seed in 0..20 {
        let mut harness = BalancerHarness::with_seed(seed, safe_settings(), &endpoints(6));
        let first = sends(&harness.request(1))[0].1;
        let second = sends(&without_times(harness.advance_to(0.5)))[0].1;
        assert_ne!(first, second);
    }
}

#[test]
fn no_copy_while_the_backend_answers_others() {
    // Guards against doubling the work of calls that are merely long.
    let mut harness = BalancerHarness::new(safe_settings(), &[endpoint(1)]);
    harness.request(1);
    harness.now = 0.1;
    harness.request(2);
    harness.now = 0.2;
    harness.end_attempt(2, 0, 1, Outcome::Success, 0.1);
    harness.handle(Event::Endpoints(EndpointUpdate::Changes(&[endpoint(2)])));
    assert_eq!(sends(&without_times(harness.advance_to(0.5))), []);
    // Without that answer the copy goes out.
    let mut harness = BalancerHarness::new(safe_settings(), &[endpoint(1)]);
    harness.request(1);
    harness.handle(Event::Endpoints(EndpointUpdate::Changes(&[endpoint(2)])));
    assert_eq!(sends(&without_times(harness.advance_to(0.5))), [(1, 2)]);
}

#[test]
fn a_call_left_out_by_a_backend_that_answered_others_is_copied_in_the_end() {
    // Guards against calls that wait for all their time at a backend that answered one more call
    // and fell silent, or on a connection that stands still.
    let mut harness = BalancerHarness::new(safe_settings(), &[endpoint(1)]);
    for id in 100..200 {
        harness.serve(id, 0.05);
    }
    let sent = harness.now;
    harness.request(1);
    harness.request(2);
    harness.advance_to(sent + 0.03);
    harness.end_attempt(2, 0, 1, Outcome::Success, 0.03);
    harness.handle(Event::Endpoints(EndpointUpdate::Changes(&[endpoint(2)])));
    // T1 is a little over 0.05: one firing passes, the next sends the copy.
    assert_eq!(sends(&without_times(harness.advance_to(sent + 0.1))), []);
    assert_eq!(sends(&without_times(harness.advance_to(sent + 0.3))), [(1, 2)]);
}

#[test]
fn attempts_are_bounded_and_copies_may_be_forbidden() {
    let mut settings = safe_settings();
    settings.max_attempts = 1;
    let mut harness = BalancerHarness::new(settings, &endpoints(4));
    harness.request(1);
    assert_eq!(sends(&without_times(harness.advance_to(0.9))), []);
    let mut settings = safe_settings();
    settings.hedging_allowed = false;
    let mut harness = BalancerHarness::new(settings.clone(), &endpoints(4));
    let to = sends(&harness.request(1))[0].1;
    assert_eq!(sends(&without_times(harness.advance_to(0.2))), []);
    harness.end_attempt(1, 0, to, Outcome::Error, 0.2);
    assert_eq!(
        sends(&without_times(harness.advance_to(0.5))).len(),
        1,
        "a failed one is repeated at its firing"
    );
    settings.max_attempts = 0;
    let mut harness = BalancerHarness::new(settings, &endpoints(4));
    assert!(is_rejected(&harness.request(1), 1));
}

#[test]
fn an_unsafe_call_is_sent_again_only_if_it_never_ran() {
    for (outcome, again) in
        [(Outcome::Rejected, 1), (Outcome::NoConnection, 1), (Outcome::Error, 0), (Outcome::Reset, 0)]
    {
        let mut harness = BalancerHarness::new(settings_with_effect(Effect::Unsafe), &endpoints(4));
        let to = sends(&harness.request(1))[0].1;
        harness.now = 0.1;
        let actions = harness.end_attempt(1, 0, to, outcome, 0.1);
        assert_eq!(is_failed(&actions, 1), again == 0, "nothing to wait for");
        assert_eq!(sends(&without_times(harness.advance_to(0.5))).len(), again, "{outcome:?}");
    }
    let mut harness = BalancerHarness::new(settings_with_effect(Effect::Unsafe), &endpoints(4));
    harness.request(1);
    assert_eq!(sends(&without_times(harness.advance_to(0.9))), [], "no copy of what may be running");
}

#[test]
fn a_keyed_call_is_repeated_inside_its_cell_and_window_only() {
    let list: Vec<Endpoint> =
        (0..8).map(|i| Endpoint { cell: i % 4, zone: i % 2, ..endpoint(i + 1) }).collect();
    for seed in 0..30 {
        let effect = Effect::Idempotent { group: IdempotencyGroup::Cell, window: 5.0 };
        let mut harness = BalancerHarness::with_seed(seed, settings_with_effect(effect), &list);
        let first = sends(&harness.request(1))[0].1;
        let again = sends(&without_times(harness.advance_to(0.5)));
        assert_eq!(again.len(), 1, "the other member of the cell, in the subset or not");
        assert_eq!(again[0].1 % 4, first % 4);
        let effect = Effect::Idempotent { group: IdempotencyGroup::Cell, window: 0.2 };
        let mut harness = BalancerHarness::with_seed(seed, settings_with_effect(effect), &list);
        harness.request(1);
        assert_eq!(sends(&without_times(harness.advance_to(0.9))), [], "the cell has forgotten it");
        let effect = Effect::Idempotent { group: IdempotencyGroup::Zone, window: 5.0 };
        let mut harness = BalancerHarness::with_seed(seed, settings_with_effect(effect), &list);
        let first = sends(&harness.request(1))[0].1;
        assert!(sends(&without_times(harness.advance_to(0.5))).iter().all(|(_, to)| to % 2 == first % 2));
    }
}

#[test]
fn own_repeats_are_not_pressure() {
    // Guards against a quiet balancer whose call's own copies cut its further repeats.
    let mut third = 0;
    for seed in 0..100 {
        let mut harness = BalancerHarness::with_seed(seed, safe_settings(), &endpoints(8));
        for id in 0..50 {
            harness.serve(100 + id, 0.05);
        }
        harness.advance_to(60.0);
        harness.request(1);
        third += usize::from(sends(&without_times(harness.advance_to(60.5))).len() == 3);
    }
    assert!(third > 90, "{third}");
}
