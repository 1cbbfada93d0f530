//! Ordering keys: the next call of a key, and the attempts that block a key.

use super::fixtures::{attempt, backend_indices, call_keys, safe_call};
use crate::decisions::calls::{Call, CallKey};
use crate::decisions::ordered_keys::{OrderedKeys, may_still_run};
use crate::interface::{AttemptNumber, Outcome, RequestId, Time};

/// The ordering key of the calls of these tests.
const ORDERING_KEY: u64 = 7;
/// The number of queues at which idle queues are removed.
const PRUNE_THRESHOLD_QUEUES: u64 = 16;

/// Returns the call of request 1 with one attempt, which has this outcome.
fn call_with_attempt(outcome: Option<Outcome>) -> Call {
    let [backend] = backend_indices();
    let mut call = safe_call(1);
    call.add_attempt(attempt(backend, outcome));
    call
}

fn next_call_key(keys: &OrderedKeys) -> Option<CallKey> {
    keys.next(ORDERING_KEY).map(|next| next.key)
}

/// Returns the state at `now`, after calls of [`PRUNE_THRESHOLD_QUEUES`] other keys have arrived.
/// [`ORDERING_KEY`] has no calls and is blocked until 5 s.
fn keys_with_blocked_key(now: Time) -> OrderedKeys {
    let [ended, other] = call_keys();
    let mut keys = OrderedKeys::default();
    keys.enqueue(ORDERING_KEY, ended, 0.0);
    keys.block_until(ORDERING_KEY, 5.0);
    keys.remove(ORDERING_KEY, ended, &call_with_attempt(Some(Outcome::Timeout)));
    for other_key in 0..PRUNE_THRESHOLD_QUEUES {
        keys.enqueue(100 + other_key, other, now);
    }
    keys
}

#[test]
fn returns_the_earliest_unfinished_call_as_the_next_call() {
    let [first, second, third] = call_keys();
    let mut keys = OrderedKeys::default();
    for call in [first, second, third] {
        keys.enqueue(ORDERING_KEY, call, 0.0);
    }
    let answered_call = call_with_attempt(Some(Outcome::Success));

    let at_first = next_call_key(&keys);
    keys.remove(ORDERING_KEY, second, &safe_call(2));
    keys.remove(ORDERING_KEY, first, &answered_call);

    assert_eq!(at_first, Some(first));
    assert_eq!(next_call_key(&keys), Some(third));
    assert_eq!(keys.queue_len(ORDERING_KEY), 1);
    assert_eq!(keys.queue_len(ORDERING_KEY + 1), 0);
}

#[test]
fn an_attempt_in_flight_of_an_ended_call_blocks_its_key_until_the_attempt_ends() {
    let [ended, waiting] = call_keys();
    let mut keys = OrderedKeys::default();
    keys.enqueue(ORDERING_KEY, ended, 0.0);
    keys.enqueue(ORDERING_KEY, waiting, 0.0);

    keys.remove(ORDERING_KEY, ended, &call_with_attempt(None));
    let while_in_flight = next_call_key(&keys);
    let key_of_removed_attempt = keys.remove_attempt_of_ended_call(RequestId(1), AttemptNumber(0));
    let removed_again = keys.remove_attempt_of_ended_call(RequestId(1), AttemptNumber(0));

    assert_eq!(while_in_flight, None);
    assert_eq!(key_of_removed_attempt, Some(ORDERING_KEY));
    assert_eq!(removed_again, None);
    assert_eq!(next_call_key(&keys), Some(waiting));
}

#[test]
fn an_attempt_with_an_outcome_does_not_block_its_key() {
    let [ended, waiting] = call_keys();
    let mut keys = OrderedKeys::default();
    keys.enqueue(ORDERING_KEY, ended, 0.0);
    keys.enqueue(ORDERING_KEY, waiting, 0.0);

    keys.remove(ORDERING_KEY, ended, &call_with_attempt(Some(Outcome::Timeout)));

    assert_eq!(next_call_key(&keys), Some(waiting));
    assert_eq!(keys.remove_attempt_of_ended_call(RequestId(1), AttemptNumber(0)), None);
}

#[test]
fn keeps_a_blocked_key_when_idle_queues_are_removed() {
    let [call] = call_keys();
    let mut keys = keys_with_blocked_key(4.9);

    keys.enqueue(ORDERING_KEY, call, 4.9);

    assert_eq!(keys.next(ORDERING_KEY).map(|next| next.blocked_until), Some(5.0));
}

#[test]
fn removes_a_key_that_is_no_longer_blocked_if_there_are_many_queues() {
    let [call] = call_keys();
    let mut keys = keys_with_blocked_key(5.0);

    keys.enqueue(ORDERING_KEY, call, 5.0);

    assert_eq!(keys.next(ORDERING_KEY).map(|next| next.blocked_until), Some(0.0));
}

#[test]
fn an_attempt_may_still_run_unless_its_backend_has_responded_or_was_not_reached() {
    let may_run = [Outcome::Timeout, Outcome::Reset, Outcome::Cancelled];
    let cannot_run =
        [Outcome::Success, Outcome::Error, Outcome::Rejected, Outcome::NoConnection, Outcome::NotSent];

    assert!(may_run.into_iter().all(may_still_run));
    assert!(!cannot_run.into_iter().any(may_still_run));
}
