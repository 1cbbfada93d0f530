//! Timers and the tokens by which the caller hands them back.

use super::fixtures::safe_call;
use crate::decisions::calls::{CallKey, CallStage, CallTable};
use crate::decisions::timer::Timer;
use crate::interface::TimerToken;
use slotmap::KeyData;
use std::collections::BTreeSet;

/// Returns the keys of some calls. Some are at the places of calls that have ended.
fn call_keys() -> Vec<CallKey> {
    let mut table = CallTable::default();
    let first: Vec<CallKey> = (0..10).map(|id| table.insert(safe_call(id), CallStage::Ready)).collect();
    for ended in &first[..5] {
        table.remove(*ended);
    }
    let later = (10..20).map(|id| table.insert(safe_call(id), CallStage::Ready));
    first.iter().copied().chain(later).collect()
}

/// Returns all timers of a call.
fn timers_of(key: CallKey) -> [Timer; 3] {
    [Timer::Retry(key), Timer::Deadline(key), Timer::QueueWait(key)]
}

#[test]
fn a_token_stands_for_the_timer_that_it_was_made_of() {
    let of_calls = call_keys().into_iter().flat_map(timers_of);

    for timer in of_calls.chain([Timer::EndpointPoll]) {
        let token = TimerToken::from(timer);

        assert_eq!(Timer::from(token), timer);
    }
}

/// Returns the key of a call in a slot that has been reused `reuses` times.
fn key_after_reuses(reuses: u64, slot: u64) -> CallKey {
    let version = 2 * reuses + 1;
    CallKey::from(KeyData::from_ffi(version << 32 | slot))
}

/// At 10,000 reuses a second a slot of the call table has been reused 2^29 times after 15 hours. Tokens lost the
/// two highest bits of a key then: the timer of a call stood for a call that had ended long ago, and the call was
/// neither retried nor failed at its deadline.
#[test]
fn a_token_stands_for_its_timer_however_often_the_slot_of_the_call_was_reused() {
    for reuses in [0, 1, 1 << 29, 1 << 30, (1 << 31) - 1] {
        for slot in [1, 1 << 20, (1 << 31) - 1] {
            for timer in timers_of(key_after_reuses(reuses, slot)) {
                assert_eq!(Timer::from(TimerToken::from(timer)), timer, "{reuses} reuses of slot {slot}");
            }
        }
    }
}

#[test]
fn the_tokens_of_different_timers_differ_also_where_a_call_has_ended() {
    let of_calls: Vec<Timer> = call_keys().into_iter().flat_map(timers_of).collect();
    let timers = of_calls.iter().copied().chain([Timer::EndpointPoll]);

    let tokens: BTreeSet<TimerToken> = timers.map(TimerToken::from).collect();

    assert_eq!(of_calls.len(), 3 * 20);
    assert_eq!(tokens.len(), of_calls.len() + 1);
}

#[test]
fn the_token_of_the_endpoint_poll_is_less_than_those_of_calls() {
    let poll = TimerToken::from(Timer::EndpointPoll);

    let is_greater = |timer: Timer| TimerToken::from(timer) > poll;

    assert!(call_keys().into_iter().flat_map(timers_of).all(is_greater));
}
