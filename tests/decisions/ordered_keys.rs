//! Classes that keep the order of an ordering key: one request of a key runs at a time.

use crate::common::balancer_harness::{
    BalancerHarness, endpoints, is_failed, is_rejected, sends, settings_with_effect, without_times,
};
use balancer_proxy::*;

fn ordered(effect: Effect) -> Settings {
    let mut settings = settings_with_effect(effect);
    settings.classes[0].ordered_by_key = true;
    settings.classes[0].late_priority_weight = 0.5;
    settings.key_rest_duration = 0.2;
    settings
}

fn keyed_request(harness: &mut BalancerHarness, id: u64, key: u64) -> Vec<Action> {
    let request = Request { id: RequestId(id), key: Some(key), timeout: 2.0, ..Request::default() };
    harness.handle(Event::Request(request))
}

#[test]
fn requests_of_a_key_run_one_after_another() {
    let mut harness = BalancerHarness::new(ordered(Effect::Unsafe), &endpoints(4));
    let to = sends(&keyed_request(&mut harness, 1, 7))[0].1;
    assert_eq!(sends(&keyed_request(&mut harness, 2, 7)), []);
    assert_eq!(sends(&keyed_request(&mut harness, 3, 7)), []);
    assert_eq!(sends(&keyed_request(&mut harness, 4, 8)).len(), 1, "another key is free");
    harness.advance_to(0.1);
    let next = sends(&harness.end_attempt(1, 0, to, Outcome::Success, 0.1));
    assert_eq!(next.iter().map(|s| s.0).collect::<Vec<_>>(), [2], "in the order of arrival");
    // The one in front leaves; its cancelled attempt holds the key, and then the key rests.
    assert!(
        harness
            .handle(Event::ClientDisconnected(RequestId(2)))
            .contains(&Action::Cancel { id: RequestId(2), attempt: 0 })
    );
    assert_eq!(sends(&without_times(harness.advance_to(0.4))), []);
    assert_eq!(sends(&harness.end_attempt(2, 0, next[0].1, Outcome::Cancelled, 0.3)), []);
    assert_eq!(sends(&without_times(harness.advance_to(0.59))), [], "it rests");
    assert_eq!(sends(&without_times(harness.advance_to(0.62))).iter().map(|s| s.0).collect::<Vec<_>>(), [3]);
}

#[test]
fn a_held_request_is_answered_in_time_and_a_hopeless_one_at_once() {
    let mut harness = BalancerHarness::new(ordered(Effect::Unsafe), &endpoints(4));
    keyed_request(&mut harness, 1, 7);
    assert_eq!(sends(&keyed_request(&mut harness, 2, 7)), []);
    let seen = without_times(harness.advance_to(3.0));
    assert!(is_failed(&seen, 1), "it may have run");
    assert!(is_rejected(&seen, 2), "it was never sent");
    assert_eq!(sends(&seen), []);
    // Behind many that take 0.4 s each, one with 2 s left would only lengthen the queue.
    let mut harness = BalancerHarness::new(ordered(Effect::Unsafe), &endpoints(4));
    for id in 0..60 {
        harness.serve(id, 0.2);
    }
    let refusals = (100..140).filter(|id| is_rejected(&keyed_request(&mut harness, *id, 7), *id)).count();
    assert!((15..39).contains(&refusals), "{refusals}");
}
