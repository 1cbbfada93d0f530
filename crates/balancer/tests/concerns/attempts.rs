//! Attempts: which attempts the effect of a class permits, and within which bounds.

use super::fixtures::{TIMEOUT, attempt, backend_indices, call_of, request, settings_with_effect};
use crate::decisions::attempts::{Attempt, PermittedAttempt, is_safe_to_retry, next_attempt};
use crate::decisions::calls::Call;
use crate::decisions::scope::Scope;
use crate::interface::{CellId, Effect, IdempotencyGroup, Outcome, Request, Settings, Time, ZoneId};
use crate::support::tests::assertions::assert_close;

/// The resolution of clocks, in seconds.
const QUANTUM: Time = 0.001;
/// The window of the idempotency key, in seconds.
const WINDOW: Time = 1.0;
/// The outcomes of an attempt that the backend has not processed.
const NOT_RUN: [Outcome; 3] = [Outcome::Rejected, Outcome::NoConnection, Outcome::NotSent];
/// The outcomes of an unanswered attempt that the backend may have processed.
const MAY_HAVE_RUN: [Outcome; 4] = [Outcome::Error, Outcome::Timeout, Outcome::Reset, Outcome::Cancelled];

/// Returns an effect whose repeats are recognised for [`WINDOW`].
fn idempotent(group: IdempotencyGroup) -> Effect {
    Effect::Idempotent { group, window: WINDOW }
}

/// Returns a call of this effect after one attempt at time 0, in cell 3 and zone 4.
fn call_after(effect: Effect, outcome: Option<Outcome>) -> Call {
    let [backend] = backend_indices();
    let mut call = call_of(request(1), settings_with_effect(effect));
    call.add_attempt(Attempt { cell: CellId(3), zone: ZoneId(4), ..attempt(backend, outcome) });
    call
}

fn permission(call: &Call, now: Time) -> Option<PermittedAttempt> {
    next_attempt(call, now, QUANTUM)
}

fn is_permitted(call: &Call, now: Time) -> bool {
    permission(call, now).is_some()
}

#[test]
fn permits_a_first_attempt_anywhere_until_the_deadline_whatever_the_effect() {
    for effect in [Effect::Safe, Effect::Unsafe, idempotent(IdempotencyGroup::Cell)] {
        let call = call_of(request(1), settings_with_effect(effect));

        let permission = permission(&call, 0.0).expect("an attempt is permitted");

        assert!(matches!(permission.scope, Scope::Anywhere), "{effect:?}");
        assert_close(permission.write_deadline, TIMEOUT);
        assert!(!is_permitted(&call, TIMEOUT), "{effect:?}");
    }
}

#[test]
fn rejects_a_second_attempt_of_an_unsafe_request_unless_the_first_was_not_processed() {
    for outcome in MAY_HAVE_RUN {
        assert!(!is_permitted(&call_after(Effect::Unsafe, Some(outcome)), 0.5), "{outcome:?}");
    }
    for outcome in NOT_RUN {
        assert!(is_permitted(&call_after(Effect::Unsafe, Some(outcome)), 0.5), "{outcome:?}");
    }
    assert!(!is_permitted(&call_after(Effect::Unsafe, None), 0.5));
}

#[test]
fn permits_a_repeat_of_an_idempotent_request_within_its_group_only() {
    let scope = |group: IdempotencyGroup| {
        let call = call_after(idempotent(group), Some(Outcome::Timeout));
        permission(&call, 0.5).expect("a repeat is permitted").scope
    };

    assert!(matches!(scope(IdempotencyGroup::All), Scope::Anywhere));
    assert!(matches!(scope(IdempotencyGroup::Zone), Scope::Zone(ZoneId(4))));
    assert!(matches!(scope(IdempotencyGroup::Cell), Scope::Cell(CellId(3))));
}

#[test]
fn permits_a_repeat_of_an_idempotent_request_until_a_quantum_before_the_end_of_its_window() {
    let call = call_after(idempotent(IdempotencyGroup::All), Some(Outcome::Timeout));
    let end = WINDOW - QUANTUM;

    let before_the_end = permission(&call, end - 0.0001).expect("a repeat is permitted");

    assert_close(before_the_end.write_deadline, end);
    assert!(!is_permitted(&call, end));
}

#[test]
fn the_first_attempt_that_may_have_run_sets_the_group_and_the_window() {
    let [backend] = backend_indices();
    let mut call = call_after(idempotent(IdempotencyGroup::Cell), Some(Outcome::NoConnection));
    let second = attempt(backend, Some(Outcome::Timeout));
    call.add_attempt(Attempt { cell: CellId(5), sent_at: 0.25, ..second });
    call.add_attempt(Attempt { cell: CellId(6), sent_at: 0.5, ..second });

    let permission = permission(&call, 0.75).expect("a repeat is permitted");

    assert!(matches!(permission.scope, Scope::Cell(CellId(5))));
    assert_close(permission.write_deadline, 0.25 + WINDOW - QUANTUM);
}

#[test]
fn permits_no_more_attempts_than_the_settings_do() {
    let [backend] = backend_indices();
    let settings = Settings { max_attempts: 2, ..settings_with_effect(Effect::Safe) };
    let mut call = call_of(request(1), settings);
    let rejected = attempt(backend, Some(Outcome::Rejected));
    call.add_attempt(rejected);
    let is_second_permitted = is_permitted(&call, 0.5);

    call.add_attempt(rejected);

    assert!(is_second_permitted);
    assert!(!is_permitted(&call, 0.5));
}

#[test]
fn permits_two_attempts_in_flight_only_of_a_buffered_request_where_hedging_is_allowed() {
    let is_hedge_permitted = |hedging_allowed: bool, streaming_body: bool| {
        let [backend] = backend_indices();
        let settings = Settings { hedging_allowed, ..settings_with_effect(Effect::Safe) };
        let mut call = call_of(Request { streaming_body, ..request(1) }, settings);
        call.add_attempt(attempt(backend, None));
        is_permitted(&call, 0.5)
    };

    assert!(is_hedge_permitted(true, false));
    assert!(!is_hedge_permitted(false, false));
    assert!(!is_hedge_permitted(true, true));
}

#[test]
fn permits_no_attempt_after_the_body_was_consumed() {
    let mut call = call_after(Effect::Safe, Some(Outcome::NoConnection));
    let is_permitted_before = is_permitted(&call, 0.5);

    call.record_body_consumed();

    assert!(is_permitted_before);
    assert!(!is_permitted(&call, 0.5));
}

#[test]
fn a_client_may_safely_retry_what_did_not_run_or_is_recognised_everywhere() {
    let is_safe = |effect: Effect, outcome: Outcome| is_safe_to_retry(&call_after(effect, Some(outcome)));
    let recognised_everywhere = idempotent(IdempotencyGroup::All);
    let recognised_in_zone = idempotent(IdempotencyGroup::Zone);

    for outcome in MAY_HAVE_RUN {
        assert!(is_safe(Effect::Safe, outcome) && is_safe(recognised_everywhere, outcome));
        assert!(!is_safe(Effect::Unsafe, outcome) && !is_safe(recognised_in_zone, outcome));
    }
    for outcome in NOT_RUN {
        assert!(is_safe(Effect::Unsafe, outcome) && is_safe(recognised_in_zone, outcome));
    }
}
