//! Ordering keys: which call of a key is next, and what blocks a key.

use super::fixtures::{attempt, backend_indices, call_keys, safe_call};
use crate::decisions::calls::{Call, CallKey};
use crate::decisions::ordered_keys::{OrderedKeys, may_still_run};
use crate::interface::{AttemptNumber, Outcome, RequestId, Time};

/// An ordering key.
const KEY: u64 = 7;
/// The number of queues beyond which idle ones are dropped.
const MANY_QUEUES: u64 = 16;

/// Returns the call of request 1, with one attempt.
fn call_with_attempt(outcome: Option<Outcome>) -> Call {
    let [backend] = backend_indices();
    let mut call = safe_call(1);
    call.add_attempt(attempt(backend, outcome));
    call
}

fn next_key(keys: &OrderedKeys) -> Option<CallKey> {
    keys.next(KEY).map(|next| next.key)
}

/// Returns the state after a key has rested until 5 s, has no call any more, and the calls of many other
/// keys have arrived at `now`.
fn keys_after_rest(now: Time) -> OrderedKeys {
    let [ended, other] = call_keys();
    let mut keys = OrderedKeys::default();
    keys.enqueue(KEY, ended, 0.0);
    keys.block_until(KEY, 5.0);
    keys.remove(KEY, ended, &call_with_attempt(Some(Outcome::Timeout)));
    for other_key in 0..MANY_QUEUES {
        keys.enqueue(100 + other_key, other, now);
    }
    keys
}

#[test]
fn the_next_call_is_the_first_to_arrive_that_has_not_ended() {
    let [first, second, third] = call_keys();
    let mut keys = OrderedKeys::default();
    for call in [first, second, third] {
        keys.enqueue(KEY, call, 0.0);
    }
    let answered = call_with_attempt(Some(Outcome::Success));

    let at_first = next_key(&keys);
    keys.remove(KEY, second, &safe_call(2));
    keys.remove(KEY, first, &answered);

    assert_eq!(at_first, Some(first));
    assert_eq!(next_key(&keys), Some(third));
    assert_eq!(keys.queue_len(KEY), 1);
    assert_eq!(keys.queue_len(KEY + 1), 0);
}

#[test]
fn an_attempt_in_flight_of_an_ended_call_blocks_its_key_until_the_attempt_ends() {
    let [ended, waiting] = call_keys();
    let mut keys = OrderedKeys::default();
    keys.enqueue(KEY, ended, 0.0);
    keys.enqueue(KEY, waiting, 0.0);

    keys.remove(KEY, ended, &call_with_attempt(None));
    let while_in_flight = next_key(&keys);
    let settled = keys.remove_orphan(RequestId(1), AttemptNumber(0));
    let settled_again = keys.remove_orphan(RequestId(1), AttemptNumber(0));

    assert_eq!(while_in_flight, None);
    assert_eq!(settled, Some(KEY));
    assert_eq!(settled_again, None);
    assert_eq!(next_key(&keys), Some(waiting));
}

#[test]
fn an_attempt_with_an_outcome_does_not_block_its_key() {
    let [ended, waiting] = call_keys();
    let mut keys = OrderedKeys::default();
    keys.enqueue(KEY, ended, 0.0);
    keys.enqueue(KEY, waiting, 0.0);

    keys.remove(KEY, ended, &call_with_attempt(Some(Outcome::Timeout)));

    assert_eq!(next_key(&keys), Some(waiting));
    assert_eq!(keys.remove_orphan(RequestId(1), AttemptNumber(0)), None);
}

#[test]
fn keeps_a_key_that_rests_when_idle_queues_are_dropped() {
    let [call] = call_keys();
    let mut keys = keys_after_rest(4.9);

    keys.enqueue(KEY, call, 4.9);

    assert_eq!(keys.next(KEY).map(|next| next.blocked_until), Some(5.0));
}

#[test]
fn drops_a_key_whose_rest_is_over_when_there_are_many() {
    let [call] = call_keys();
    let mut keys = keys_after_rest(5.0);

    keys.enqueue(KEY, call, 5.0);

    assert_eq!(keys.next(KEY).map(|next| next.blocked_until), Some(0.0));
}

#[test]
fn an_attempt_may_still_run_unless_its_backend_has_answered_or_was_not_reached() {
    let may_run = [Outcome::Timeout, Outcome::Reset, Outcome::Cancelled];
    let cannot_run =
        [Outcome::Success, Outcome::Error, Outcome::Rejected, Outcome::NoConnection, Outcome::NotSent];

    assert!(may_run.into_iter().all(may_still_run));
    assert!(!cannot_run.into_iter().any(may_still_run));
}
