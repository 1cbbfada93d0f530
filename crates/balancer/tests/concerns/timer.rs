//! Timers and the tokens that identify them to the caller.

use super::fixtures::safe_call;
use crate::decisions::calls::{CallKey, CallStage, CallTable};
use crate::decisions::timer::Timer;
use crate::interface::TimerToken;
use slotmap::KeyData;
use std::collections::BTreeSet;

/// Returns the keys of 20 calls. Five of these calls have ended, and later calls reuse their slots.
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
fn timers_of_call(key: CallKey) -> [Timer; 3] {
    [Timer::Retry(key), Timer::Deadline(key), Timer::QueueWait(key)]
}

#[test]
fn a_token_converts_back_to_its_timer() {
    let call_timers = call_keys().into_iter().flat_map(timers_of_call);

    for timer in call_timers.chain([Timer::EndpointPoll]) {
        let token = TimerToken::from(timer);

        assert_eq!(Timer::from(token), timer);
    }
}

/// Returns the key of a call in a slot that has been reused `reuses` times.
fn key_after_reuses(reuses: u64, slot: u64) -> CallKey {
    let version = 2 * reuses + 1;
    CallKey::from(KeyData::from_ffi(version << 32 | slot))
}

/// Guards against tokens that omit the highest bits of a call key. At 10,000 reuses per second, a slot of the
/// call table has been reused 2^29 times after 15 hours. Without the two highest bits of the key, the token
/// of a timer then identifies a call that ended long ago, and the open call is neither retried nor failed at
/// its deadline.
#[test]
fn a_token_converts_back_to_its_timer_after_any_number_of_slot_reuses() {
    for reuses in [0, 1, 1 << 29, 1 << 30, (1 << 31) - 1] {
        for slot in [1, 1 << 20, (1 << 31) - 1] {
            for timer in timers_of_call(key_after_reuses(reuses, slot)) {
                assert_eq!(Timer::from(TimerToken::from(timer)), timer, "{reuses} reuses of slot {slot}");
            }
        }
    }
}

#[test]
fn tokens_of_different_timers_differ_even_if_slots_of_ended_calls_are_reused() {
    let call_timers: Vec<Timer> = call_keys().into_iter().flat_map(timers_of_call).collect();
    let timers = call_timers.iter().copied().chain([Timer::EndpointPoll]);

    let tokens: BTreeSet<TimerToken> = timers.map(TimerToken::from).collect();

    assert_eq!(call_timers.len(), 3 * 20);
    assert_eq!(tokens.len(), call_timers.len() + 1);
}

#[test]
fn token_of_the_endpoint_poll_is_less_than_the_tokens_of_call_timers() {
    let poll = TimerToken::from(Timer::EndpointPoll);

    let is_greater = |timer: Timer| TimerToken::from(timer) > poll;

    assert!(call_keys().into_iter().flat_map(timers_of_call).all(is_greater));
}
