//! Final responses: each request gets exactly one, before its deadline.

use crate::common::actions::{TimedAction, is_failed, is_rejected, sent_attempts};
use crate::common::balancer_harness::BalancerHarness;
use crate::common::fixtures::{endpoints, safe_settings, settings_with_effect};
use balancer::{Action, AttemptNumber, Effect, Event, IdempotencyGroup, Outcome, RequestId, Settings, Time};

/// The outcomes with which an attempt ends without a response for the client.
const FAILED_OUTCOMES: [Outcome; 6] = [
    Outcome::Error,
    Outcome::Rejected,
    Outcome::Timeout,
    Outcome::NoConnection,
    Outcome::Reset,
    Outcome::NotSent,
];

/// The outcomes after which the backend cannot have processed the attempt.
const UNPROCESSED_OUTCOMES: [Outcome; 3] = [Outcome::Rejected, Outcome::NoConnection, Outcome::NotSent];

/// The conditions under which a client may retry a request.
struct ClientRetryCase {
    /// The effect of the request's class.
    effect: Effect,
    /// The outcomes of the last attempt after which the client may retry.
    allowed_after: &'static [Outcome],
}

#[test]
fn rejects_after_the_last_attempt_only_if_the_client_may_retry() {
    let idempotent = |group| Effect::Idempotent { group, window: 5.0 };
    let cases = [
        ClientRetryCase { effect: Effect::Safe, allowed_after: &FAILED_OUTCOMES },
        ClientRetryCase { effect: idempotent(IdempotencyGroup::All), allowed_after: &FAILED_OUTCOMES },
        ClientRetryCase { effect: idempotent(IdempotencyGroup::Zone), allowed_after: &UNPROCESSED_OUTCOMES },
        ClientRetryCase { effect: idempotent(IdempotencyGroup::Cell), allowed_after: &UNPROCESSED_OUTCOMES },
        ClientRetryCase { effect: Effect::Unsafe, allowed_after: &UNPROCESSED_OUTCOMES },
    ];
    for ClientRetryCase { effect, allowed_after } in cases {
        for outcome in FAILED_OUTCOMES {
            let retry_allowed = allowed_after.contains(&outcome);
            let settings = Settings { max_attempts: 1, ..settings_with_effect(effect) };
            let mut harness = BalancerHarness::new(settings, &endpoints(3));
            let sent = harness.send_request(1);
            harness.now = 0.1;

            let actions = harness.end_attempt(sent, outcome, 0.1);

            assert_eq!(is_rejected(&actions, 1), retry_allowed, "{effect:?} {outcome:?}");
            assert_eq!(is_failed(&actions, 1), !retry_allowed, "{effect:?} {outcome:?}");
            assert_eq!(harness.advance_to(5.0), [], "no action follows the final response");
        }
    }
}

#[test]
fn responds_just_before_the_timeout_of_the_client() {
    let mut settings = safe_settings();
    settings.classes[0].late_priority_weight = 0.5;
    let mut harness = BalancerHarness::new(settings, &endpoints(3));

    let sent = sent_attempts(&harness.handle_request_with_timeout(1, 1.5))[0];
    let timed_actions = harness.advance_to(3.0);

    let response_times: Vec<Time> = timed_actions
        .iter()
        .filter(|timed| matches!(timed.action, Action::Reject { .. } | Action::Fail { .. }))
        .map(|timed| timed.at)
        .collect();
    assert_eq!(response_times.len(), 1);
    assert!(response_times[0] < 1.5 && response_times[0] > 1.4);
    assert_eq!(harness.balancer.open_requests(), 0);
    // The late outcome of an attempt of the finished request is recorded and causes no action.
    assert_eq!(harness.end_attempt(sent, Outcome::Timeout, 1.5), []);
}

#[test]
fn rejects_at_the_latency_objective_a_request_without_late_priority_weight() {
    let mut harness = BalancerHarness::new(safe_settings(), &endpoints(3));

    harness.handle_request_with_timeout(1, 1.9);
    let timed_actions = harness.advance_to(3.0);

    let is_rejection_at_objective =
        |timed: &TimedAction| is_rejected(&[timed.action], 1) && (timed.at - 1.0).abs() < 0.01;
    assert!(timed_actions.iter().any(is_rejection_at_objective), "{timed_actions:?}");
}

#[test]
fn rejects_a_request_whose_timeout_is_not_positive() {
    let mut harness = BalancerHarness::new(safe_settings(), &endpoints(3));

    let actions_with_zero_timeout = harness.handle_request_with_timeout(1, 0.0);
    let actions_with_negative_timeout = harness.handle_request_with_timeout(2, -1.0);

    assert!(is_rejected(&actions_with_zero_timeout, 1));
    assert!(is_rejected(&actions_with_negative_timeout, 2));
}

#[test]
fn rejects_a_request_when_there_is_no_backend() {
    let mut harness = BalancerHarness::new(safe_settings(), &[]);

    let mut actions = harness.handle_request(3);
    actions.extend(harness.actions_until(3.0));

    assert!(is_rejected(&actions, 3));
    assert_eq!(sent_attempts(&actions), []);
}

#[test]
fn rejects_with_retry_after_where_the_settings_allow_it() {
    for max_retry_after in [2.0, 0.0] {
        let settings = Settings { max_retry_after, max_attempts: 1, ..safe_settings() };
        let mut harness = BalancerHarness::new(settings, &endpoints(1));
        let sent = harness.send_request(1);

        let actions = harness.end_attempt(sent, Outcome::Rejected, 0.01);

        let retry_after = actions.iter().find_map(|action| match action {
            Action::Reject { retry_after, .. } => Some(*retry_after),
            _ => None,
        });
        let retry_after = retry_after.expect("rejected at once");
        assert_eq!(
            retry_after.is_some_and(|seconds| seconds > 0.0 && seconds <= max_retry_after),
            max_retry_after > 0.0,
            "{retry_after:?}"
        );
    }
}

#[test]
fn cancels_or_withdraws_the_other_attempts_after_a_success() {
    let id = RequestId(1);
    let expected_actions = [
        Action::Cancel { id, attempt: AttemptNumber(0) },
        Action::Withdraw { id, attempt: AttemptNumber(0) },
    ];
    for (cancellation_allowed, expected) in [true, false].into_iter().zip(expected_actions) {
        let settings = Settings { cancellation_allowed, ..safe_settings() };
        let mut harness = BalancerHarness::new(settings, &endpoints(4));
        harness.handle_request(1);
        let second = harness.sends_until(0.5)[0];

        let actions = harness.end_attempt(second, Outcome::Success, 0.1);

        assert_eq!(actions, [expected]);
    }
}

#[test]
fn takes_no_action_after_a_response_has_started() {
    let mut harness = BalancerHarness::new(safe_settings(), &endpoints(4));
    harness.handle_request(1);

    let actions = harness.handle(Event::ResponseStarted { id: RequestId(1), attempt: AttemptNumber(0) });

    assert_eq!(actions, []);
    assert_eq!(harness.advance_to(5.0), []);
}
