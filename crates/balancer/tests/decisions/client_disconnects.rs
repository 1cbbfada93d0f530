//! Requests of disconnected clients: the balancer sends neither a first attempt nor a retry.

use crate::common::actions::{is_rejected, sent_attempts};
use crate::common::balancer_harness::BalancerHarness;
use crate::common::fixtures::{endpoint, endpoints, safe_settings, settings_with_effect};
use balancer::{Action, AttemptNumber, Effect, Event, Outcome, Request, RequestId, Settings, Tier};

/// Creates a balancer with two backends.
fn harness_with_two_backends(settings: Settings) -> BalancerHarness {
    BalancerHarness::new(settings, &[endpoint(1), endpoint(2)])
}

/// Returns settings of safe requests with cancellation allowed, and settings with cancellation not allowed.
fn settings_with_and_without_cancellation() -> [Settings; 2] {
    [true, false].map(|cancellation_allowed| Settings { cancellation_allowed, ..safe_settings() })
}

/// Handles the disconnect of the client of request 1. Returns the actions that follow, also after the end of
/// the request's body and after a time in which every timer fires.
fn actions_after_disconnect(mut harness: BalancerHarness) -> Vec<Action> {
    let mut actions = harness.handle(Event::ClientDisconnected(RequestId(1)));
    actions.extend(harness.actions_until(harness.now + 30.0));
    actions.extend(harness.handle(Event::BodyReceived(RequestId(1))));
    actions.extend(harness.actions_until(harness.now + 30.0));
    assert_eq!(harness.balancer.open_requests(), 0);
    actions
}

#[test]
fn only_cancels_the_attempt_after_a_disconnect() {
    let mut harness = BalancerHarness::new(safe_settings(), &endpoints(4));
    harness.handle_request(1);

    let actions = harness.handle(Event::ClientDisconnected(RequestId(1)));

    assert_eq!(actions, [Action::Cancel { id: RequestId(1), attempt: AttemptNumber(0) }]);
    assert_eq!(harness.handle(Event::ClientDisconnected(RequestId(1))), []);
    assert_eq!(harness.advance_to(5.0), []);
}

#[test]
fn cancels_or_withdraws_the_attempt_of_a_disconnected_client() {
    let id = RequestId(1);
    let unsafe_settings = settings_with_effect(Effect::Unsafe);
    let expected_actions = [
        Action::Cancel { id, attempt: AttemptNumber(0) },
        Action::Withdraw { id, attempt: AttemptNumber(0) },
    ];
    for (cancellation_allowed, expected) in [true, false].into_iter().zip(expected_actions) {
        let settings = Settings { cancellation_allowed, ..unsafe_settings.clone() };
        let mut harness = harness_with_two_backends(settings);
        assert_eq!(sent_attempts(&harness.handle_request(1)).len(), 1);

        let actions = actions_after_disconnect(harness);

        assert_eq!(actions, [expected]);
    }
}

#[test]
fn does_not_retry_a_rejected_attempt_after_a_disconnect() {
    for settings in settings_with_and_without_cancellation() {
        let mut harness = harness_with_two_backends(settings);
        let sent = harness.send_request(1);
        assert!(harness.end_attempt(sent, Outcome::Rejected, 0.01).is_empty());

        let actions = actions_after_disconnect(harness);

        assert!(actions.is_empty(), "{actions:?}");
    }
}

#[test]
fn does_not_retry_after_a_failed_connection_and_a_disconnect() {
    for settings in settings_with_and_without_cancellation() {
        let mut harness = harness_with_two_backends(settings);
        let sent = harness.send_request(1);
        assert!(harness.end_attempt(sent, Outcome::NoConnection, 0.01).is_empty());

        let actions = actions_after_disconnect(harness);

        assert!(actions.is_empty(), "{actions:?}");
    }
}

#[test]
fn does_not_hedge_an_attempt_after_a_disconnect() {
    for settings in settings_with_and_without_cancellation() {
        let settings = Settings { hedging_allowed: true, ..settings };
        let mut harness = harness_with_two_backends(settings);
        assert_eq!(sent_attempts(&harness.handle_request(1)).len(), 1);

        let actions = actions_after_disconnect(harness);

        assert!(sent_attempts(&actions).is_empty(), "{actions:?}");
    }
}

#[test]
fn does_not_retry_a_streamed_request_after_a_disconnect() {
    for settings in settings_with_and_without_cancellation() {
        let mut harness = harness_with_two_backends(settings);
        let request = Request { id: RequestId(1), timeout: 2.0, streaming_body: true, ..Request::default() };
        let sent = sent_attempts(&harness.handle(Event::Request(request)))[0];
        assert!(harness.end_attempt(sent, Outcome::NoConnection, 0.01).is_empty());

        let actions = actions_after_disconnect(harness);

        assert!(actions.is_empty(), "{actions:?}");
    }
}

#[test]
fn does_not_send_a_request_queued_for_its_key_after_a_disconnect() {
    for mut settings in settings_with_and_without_cancellation() {
        settings.classes[0].ordered_by_key = true;
        let mut harness = harness_with_two_backends(settings);
        let keyed_request =
            |id| Request { id: RequestId(id), timeout: 2.0, key: Some(7), ..Request::default() };
        let sent = sent_attempts(&harness.handle(Event::Request(keyed_request(9))))[0];
        assert!(harness.handle(Event::Request(keyed_request(1))).is_empty());

        assert!(harness.handle(Event::ClientDisconnected(RequestId(1))).is_empty());

        assert!(sent_attempts(&harness.end_attempt(sent, Outcome::Success, 0.1)).is_empty());
        let actions = actions_after_disconnect(harness);

        assert!(actions.is_empty(), "{actions:?}");
    }
}

#[test]
fn does_not_send_a_request_queued_at_the_entry_tier_after_a_disconnect() {
    for settings in settings_with_and_without_cancellation() {
        let settings = Settings { tier: Tier::ENTRY, ..settings };
        let mut harness = harness_with_two_backends(settings);
        for id in 100..200 {
            harness.serve_request(id, 0.1);
        }
        let mut queued = Vec::new();
        let mut sent_at_once = Vec::new();
        for id in 1000..1100 {
            match sent_attempts(&harness.handle_request(id)).first() {
                Some(sent) => sent_at_once.push(*sent),
                None => queued.push(id),
            }
        }
        assert!(!queued.is_empty());

        for id in &queued {
            assert!(harness.handle(Event::ClientDisconnected(RequestId(*id))).is_empty());
        }

        for sent in sent_at_once {
            let actions = harness.end_attempt(sent, Outcome::Success, 0.1);
            assert!(
                sent_attempts(&actions).is_empty() && !queued.iter().any(|id| is_rejected(&actions, *id))
            );
        }
        let actions = actions_after_disconnect(harness);

        assert!(actions.is_empty(), "{actions:?}");
    }
}
