//! Ordering keys: in a class that is ordered by key, the requests of a key are dispatched one at a time.

use crate::common::actions::{SentAttempt, is_failed, is_rejected, sent_attempts};
use crate::common::balancer_harness::BalancerHarness;
use crate::common::fixtures::{endpoints, settings_with_effect};
use balancer::{Action, AttemptNumber, Effect, Event, Outcome, Request, RequestId};

/// Creates a balancer with a class of unsafe requests that is ordered by key. A key is blocked for 0.2 s
/// after an attempt without a response.
fn harness_with_ordered_class() -> BalancerHarness {
    let mut settings = settings_with_effect(Effect::Unsafe);
    settings.classes[0].ordered_by_key = true;
    settings.classes[0].late_priority_weight = 0.5;
    settings.key_block_duration = 0.2;
    BalancerHarness::new(settings, &endpoints(4))
}

fn request_with_key(harness: &mut BalancerHarness, id: u64, key: u64) -> Vec<Action> {
    let request = Request { id: RequestId(id), key: Some(key), timeout: 2.0, ..Request::default() };
    harness.handle(Event::Request(request))
}

fn request_ids(attempts: &[SentAttempt]) -> Vec<RequestId> {
    attempts.iter().map(|sent| sent.request).collect()
}

#[test]
fn dispatches_requests_of_a_key_one_at_a_time_in_order_of_arrival() {
    let mut harness = harness_with_ordered_class();
    let first = sent_attempts(&request_with_key(&mut harness, 1, 7))[0];
    assert_eq!(sent_attempts(&request_with_key(&mut harness, 2, 7)), []);
    assert_eq!(sent_attempts(&request_with_key(&mut harness, 3, 7)), []);
    assert_eq!(
        sent_attempts(&request_with_key(&mut harness, 4, 8)).len(),
        1,
        "a request of another key does not wait"
    );
    harness.advance_to(0.1);

    let next = sent_attempts(&harness.end_attempt(first, Outcome::Success, 0.1));

    assert_eq!(request_ids(&next), [RequestId(2)], "in the order of arrival");
    // The client of request 2 disconnects. The cancelled attempt blocks the key until its end and for 0.2 s
    // after that.
    assert!(
        harness
            .handle(Event::ClientDisconnected(RequestId(2)))
            .contains(&Action::Cancel { id: RequestId(2), attempt: AttemptNumber(0) })
    );
    assert_eq!(harness.sends_until(0.4), []);
    assert_eq!(sent_attempts(&harness.end_attempt(next[0], Outcome::Cancelled, 0.3)), []);
    assert_eq!(harness.sends_until(0.59), [], "the key is still blocked");
    assert_eq!(request_ids(&harness.sends_until(0.62)), [RequestId(3)]);
}

#[test]
fn responds_to_a_queued_request_before_its_deadline() {
    let mut harness = harness_with_ordered_class();
    request_with_key(&mut harness, 1, 7);
    assert_eq!(sent_attempts(&request_with_key(&mut harness, 2, 7)), []);

    let actions = harness.actions_until(3.0);

    assert!(is_failed(&actions, 1), "the backend may have processed the first request");
    assert!(is_rejected(&actions, 2), "the queued request was never sent");
    assert_eq!(sent_attempts(&actions), []);
}

#[test]
fn rejects_at_once_a_request_whose_deadline_is_too_near_for_the_queue_of_its_key() {
    // Each request takes 0.2 s. Behind many others, a request with a timeout of 2 s would wait in the queue
    // beyond its deadline.
    let mut harness = harness_with_ordered_class();
    for id in 0..60 {
        harness.serve_request(id, 0.2);
    }

    let rejections =
        (100..140).filter(|id| is_rejected(&request_with_key(&mut harness, *id, 7), *id)).count();

    assert!((15..39).contains(&rejections), "{rejections}");
}
