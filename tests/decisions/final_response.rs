//! Each request gets exactly one final response, before its deadline.

use crate::common::balancer_harness::{
    BalancerHarness, endpoints, is_failed, is_rejected, safe_settings, sends, settings_with_effect,
    without_times,
};
use balancer_proxy::*;

#[test]
fn outcomes_by_effect() {
    use Outcome::*;
    let keyed = |group| Effect::Idempotent { group, window: 5.0 };
    // After the failure of the only attempt with the last attempt used: may it be refused?
    let cases = [
        (Effect::Safe, [true; 6]),
        (keyed(IdempotencyGroup::All), [true; 6]),
        (keyed(IdempotencyGroup::Zone), [false, true, false, true, false, true]),
        (keyed(IdempotencyGroup::Cell), [false, true, false, true, false, true]),
        (Effect::Unsafe, [false, true, false, true, false, true]),
    ];
    for (effect, harmless) in cases {
        for (outcome, harmless) in
            [Error, Rejected, Timeout, NoConnection, Reset, NotSent].into_iter().zip(harmless)
        {
            let mut settings = settings_with_effect(effect);
            settings.max_attempts = 1;
            let mut harness = BalancerHarness::new(settings, &endpoints(3));
            let to = sends(&harness.request(1))[0].1;
            harness.now = 0.1;
            let actions = harness.end_attempt(1, 0, to, outcome, 0.1);
            assert_eq!(is_rejected(&actions, 1), harmless, "{effect:?} {outcome:?}");
            assert_eq!(is_failed(&actions, 1), !harmless, "{effect:?} {outcome:?}");
            assert_eq!(harness.advance_to(5.0), [], "nothing after the end");
        }
    }
}

#[test]
fn the_answer_is_out_before_the_client_gives_up() {
    let mut settings = safe_settings();
    settings.classes[0].late_priority_weight = 0.5;
    let mut harness = BalancerHarness::new(settings, &endpoints(3));
    harness.request_with_timeout(1, 1.5);
    let seen = harness.advance_to(3.0);
    let answers: Vec<Time> = seen
        .iter()
        .filter(|(_, a)| matches!(a, Action::Reject { .. } | Action::Fail { .. }))
        .map(|(t, _)| *t)
        .collect();
    assert_eq!(answers.len(), 1);
    assert!(answers[0] < 1.5 && answers[0] > 1.4);
    assert_eq!(harness.balancer.open_requests(), 0);
    // Late outcomes of the ended request are counted, not answered.
    assert_eq!(harness.end_attempt(1, 0, 1, Outcome::Timeout, 1.5), []);
}

#[test]
fn a_call_without_worth_is_ended_at_its_aim() {
    let mut harness = BalancerHarness::new(safe_settings(), &endpoints(3));
    harness.request_with_timeout(1, 1.9);
    let seen = harness.advance_to(3.0);
    assert!(seen.iter().any(|(t, a)| is_rejected(std::slice::from_ref(a), 1) && (*t - 1.0).abs() < 0.01));
}

#[test]
fn no_time_left_and_no_backend_are_refused() {
    let mut harness = BalancerHarness::new(safe_settings(), &endpoints(3));
    assert!(is_rejected(&harness.request_with_timeout(1, 0.0), 1));
    assert!(is_rejected(&harness.request_with_timeout(2, -1.0), 2));
    let mut harness = BalancerHarness::new(safe_settings(), &[]);
    let mut actions = harness.request(3);
    actions.extend(without_times(harness.advance_to(3.0)));
    assert!(is_rejected(&actions, 3));
    assert_eq!(sends(&actions), []);
}

#[test]
fn a_refusal_after_an_attempt_tells_when_to_come_back() {
    for (max_retry_after, told) in [(2.0, true), (0.0, false)] {
        let mut harness = BalancerHarness::new(
            Settings { max_retry_after, max_attempts: 1, ..safe_settings() },
            &endpoints(1),
        );
        harness.request(1);
        let actions = harness.end_attempt(1, 0, 1, Outcome::Rejected, 0.01);
        let wait = actions.iter().find_map(|a| match a {
            Action::Reject { retry_after, .. } => Some(*retry_after),
            _ => None,
        });
        let wait = wait.expect("refused at once");
        assert_eq!(wait.is_some_and(|w| w > 0.0 && w <= max_retry_after), told, "{wait:?}");
    }
}

#[test]
fn losers_are_cancelled_where_that_is_allowed_and_else_withdrawn() {
    let id = RequestId(1);
    for (cancel, end) in
        [(true, Action::Cancel { id, attempt: 0 }), (false, Action::Withdraw { id, attempt: 0 })]
    {
        let mut settings = safe_settings();
        settings.cancellation_allowed = cancel;
        let mut harness = BalancerHarness::new(settings, &endpoints(4));
        harness.request(1);
        let second = sends(&without_times(harness.advance_to(0.5)))[0].1;
        let actions = harness.end_attempt(1, 1, second, Outcome::Success, 0.1);
        assert_eq!(actions, [end]);
    }
}

#[test]
fn a_started_stream_is_the_callers() {
    let mut harness = BalancerHarness::new(safe_settings(), &endpoints(4));
    harness.request(1);
    let actions = harness.handle(Event::ResponseStarted { id: RequestId(1), attempt: 0 });
    assert_eq!(actions, []);
    assert_eq!(harness.advance_to(5.0), []);
}
