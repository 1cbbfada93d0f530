//! Requests whose bodies are streamed: their timers, retries and load.

use crate::common::actions::{SentAttempt, is_failed, is_rejected, sent_attempts};
use crate::common::balancer_harness::BalancerHarness;
use crate::common::fixtures::{endpoint, safe_settings, settings_with_effect};
use balancer::{BackendId, Effect, Event, Outcome, Request, RequestId, Settings, Tier};

/// Handles the arrival of a request with a streamed body, and returns the first attempt.
fn send_streamed_request(harness: &mut BalancerHarness, id: u64) -> SentAttempt {
    let request = Request { id: RequestId(id), timeout: 2.0, streaming_body: true, ..Request::default() };
    sent_attempts(&harness.handle(Event::Request(request)))[0]
}

#[test]
fn starts_the_timeout_of_a_streamed_request_when_the_body_has_been_received() {
    let mut harness = BalancerHarness::new(safe_settings(), &[endpoint(1), endpoint(2)]);
    send_streamed_request(&mut harness, 1);
    assert!(harness.advance_to(30.0).is_empty(), "neither hedged nor ended while the body is being received");

    harness.handle(Event::BodyReceived(RequestId(1)));
    harness.handle(Event::BodyReceived(RequestId(1)));

    assert!(harness.sends_until(30.5).is_empty(), "the body cannot be streamed to two backends");
    let actions = harness.actions_until(32.0);
    assert!(is_rejected(&actions, 1), "{actions:?}");
}

/// A streamed request whose first attempt fails.
struct StreamedRetryCase {
    /// Whether the body has been consumed when the attempt fails.
    body_consumed: bool,
    settings: Settings,
}

#[test]
fn retries_a_streamed_request_only_until_its_body_is_consumed() {
    let cases = [
        StreamedRetryCase { body_consumed: false, settings: safe_settings() },
        StreamedRetryCase { body_consumed: true, settings: safe_settings() },
        StreamedRetryCase { body_consumed: true, settings: settings_with_effect(Effect::Unsafe) },
    ];
    for StreamedRetryCase { body_consumed, settings } in cases {
        let mut harness = BalancerHarness::new(settings, &[endpoint(1), endpoint(2)]);
        let sent = send_streamed_request(&mut harness, 1);
        if body_consumed {
            harness.handle(Event::BodyConsumed(RequestId(1)));
        }

        let mut actions = harness.end_attempt(sent, Outcome::NoConnection, 0.01);

        assert_eq!(
            is_rejected(&actions, 1),
            body_consumed,
            "a request whose body is consumed is rejected at once"
        );
        actions.extend(harness.actions_until(3.0));
        assert_eq!(sent_attempts(&actions).len(), usize::from(!body_consumed));
        assert!(!is_failed(&actions, 1));
    }
}

/// No backend has got the complete request, so that the client may send it again whatever its effect is.
#[test]
fn rejects_a_request_whose_body_stalls_once_its_attempt_has_ended() {
    for settings in [safe_settings(), settings_with_effect(Effect::Unsafe)] {
        let mut harness = BalancerHarness::new(settings, &[endpoint(1), endpoint(2)]);
        let sent = send_streamed_request(&mut harness, 1);

        let at_the_stall = harness.handle(Event::BodyStalled(RequestId(1)));
        let at_the_end = harness.end_attempt(sent, Outcome::NoConnection, 2.0);

        assert!(at_the_stall.is_empty(), "{at_the_stall:?}");
        assert!(is_rejected(&at_the_end, 1), "{at_the_end:?}");
        assert!(sent_attempts(&at_the_end).is_empty(), "no time is left for a retry");
        assert_eq!(harness.balancer.open_requests(), 0);
    }
}

#[test]
fn rejects_a_request_at_once_if_its_body_stalls_between_two_attempts() {
    let mut harness = BalancerHarness::new(safe_settings(), &[endpoint(1), endpoint(2)]);
    let sent = send_streamed_request(&mut harness, 1);
    assert!(!is_rejected(&harness.end_attempt(sent, Outcome::NoConnection, 0.01), 1), "a retry is due");

    let actions = harness.handle(Event::BodyStalled(RequestId(1)));

    assert!(is_rejected(&actions, 1), "{actions:?}");
}

#[test]
fn a_stall_that_is_reported_after_the_body_has_been_received_has_no_effect() {
    let mut harness = BalancerHarness::new(safe_settings(), &[endpoint(1), endpoint(2)]);
    let sent = send_streamed_request(&mut harness, 1);
    harness.handle(Event::BodyReceived(RequestId(1)));

    let actions = harness.handle(Event::BodyStalled(RequestId(1)));

    assert!(actions.is_empty(), "{actions:?}");
    harness.end_attempt(sent, Outcome::Success, 0.1);
    assert_eq!(harness.balancer.open_requests(), 0);
}

/// Without the failure of the attempt, a balancer would go on sending to a backend that hangs within bodies.
#[test]
fn counts_a_stalled_body_as_a_failure_of_its_backend() {
    let mut harness = BalancerHarness::new(safe_settings(), &[endpoint(1), endpoint(2)]);
    for id in 0..20 {
        harness.serve_request(id, 0.1);
    }
    assert_eq!(harness.balancer.backends_avoided(), 0);

    let streamed: Vec<_> = (100..110).map(|id| send_streamed_request(&mut harness, id)).collect();
    for sent in streamed {
        if sent.backend == BackendId(1) {
            harness.handle(Event::BodyStalled(sent.request));
            harness.end_attempt(sent, Outcome::NoConnection, 2.0);
        } else {
            harness.handle(Event::BodyReceived(sent.request));
            harness.end_attempt(sent, Outcome::Success, 0.1);
        }
    }

    assert_eq!(harness.balancer.backends_avoided(), 1);
}

#[test]
fn does_not_count_slowly_streamed_bodies_as_overload() {
    // While 40 bodies are in transfer, the entry tier has to send all other requests at once.
    let settings = Settings { tier: Tier::ENTRY, ..safe_settings() };
    let mut harness = BalancerHarness::new(settings, &[endpoint(1), endpoint(2)]);
    for id in 0..100 {
        harness.serve_request(id, 0.1);
    }
    let streamed: Vec<_> = (1000..1040).map(|id| send_streamed_request(&mut harness, id)).collect();

    for id in 100..200 {
        harness.serve_request(id, 0.1); // panics if the request is not sent at once
    }

    for sent in streamed {
        harness.handle(Event::BodyReceived(sent.request));
        harness.end_attempt(sent, Outcome::Success, 10.0);
    }
    assert_eq!(harness.balancer.open_requests(), 0);
    for id in 200..300 {
        harness.serve_request(id, 0.1);
    }
}
