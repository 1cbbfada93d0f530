//! Attempts: the attempts that the effect of a class permits, and the limits of these attempts.

use super::fixtures::{
    CALL_TIMEOUT, attempt, backend_indices, call_for_request, request_with_id, settings_with_effect,
};
use crate::decisions::attempts::{Attempt, PermittedAttempt, is_safe_to_retry, next_attempt};
use crate::decisions::calls::Call;
use crate::decisions::scope::Scope;
use crate::interface::{CellId, Effect, IdempotencyGroup, Outcome, Request, Settings, Time, ZoneId};
use crate::support::tests::assertions::assert_close;

/// The resolution of clocks, in seconds.
const CLOCK_RESOLUTION: Time = 0.001;
/// The window of the idempotency key, in seconds.
const IDEMPOTENCY_WINDOW: Time = 1.0;
/// The outcomes after which the backend has not processed the request.
const UNPROCESSED_OUTCOMES: [Outcome; 3] = [Outcome::Rejected, Outcome::NoConnection, Outcome::NotSent];
/// The outcomes without a response after which the backend may have processed the request.
const POSSIBLY_PROCESSED_OUTCOMES: [Outcome; 4] =
    [Outcome::Error, Outcome::Timeout, Outcome::Reset, Outcome::Cancelled];

/// Returns the effect of requests whose repeats the backends of `group` detect within [`IDEMPOTENCY_WINDOW`].
fn idempotent_effect(group: IdempotencyGroup) -> Effect {
    Effect::Idempotent { group, window: IDEMPOTENCY_WINDOW }
}

/// Returns a call of a class with this effect after one attempt at time 0, in cell 3 and zone 4.
fn call_with_attempt(effect: Effect, outcome: Option<Outcome>) -> Call {
    let [backend] = backend_indices();
    let mut call = call_for_request(request_with_id(1), settings_with_effect(effect));
    call.add_attempt(Attempt { cell: CellId(3), zone: ZoneId(4), ..attempt(backend, outcome) });
    call
}

fn permitted_attempt(call: &Call, now: Time) -> Option<PermittedAttempt> {
    next_attempt(call, now, CLOCK_RESOLUTION)
}

fn is_permitted(call: &Call, now: Time) -> bool {
    permitted_attempt(call, now).is_some()
}

#[test]
fn permits_a_first_attempt_at_any_backend_until_the_deadline_for_every_effect() {
    for effect in [Effect::Safe, Effect::Unsafe, idempotent_effect(IdempotencyGroup::Cell)] {
        let call = call_for_request(request_with_id(1), settings_with_effect(effect));

        let permitted_attempt = permitted_attempt(&call, 0.0).expect("an attempt is permitted");

        assert!(matches!(permitted_attempt.scope, Scope::Anywhere), "{effect:?}");
        assert_close(permitted_attempt.write_deadline, CALL_TIMEOUT);
        assert!(!is_permitted(&call, CALL_TIMEOUT), "{effect:?}");
    }
}

#[test]
fn rejects_a_second_attempt_of_an_unsafe_request_unless_the_first_was_not_processed() {
    for outcome in POSSIBLY_PROCESSED_OUTCOMES {
        assert!(!is_permitted(&call_with_attempt(Effect::Unsafe, Some(outcome)), 0.5), "{outcome:?}");
    }
    for outcome in UNPROCESSED_OUTCOMES {
        assert!(is_permitted(&call_with_attempt(Effect::Unsafe, Some(outcome)), 0.5), "{outcome:?}");
    }
    assert!(!is_permitted(&call_with_attempt(Effect::Unsafe, None), 0.5));
}

#[test]
fn permits_a_repeat_of_an_idempotent_request_within_its_group_only() {
    let scope = |group: IdempotencyGroup| {
        let call = call_with_attempt(idempotent_effect(group), Some(Outcome::Timeout));
        permitted_attempt(&call, 0.5).expect("a repeat is permitted").scope
    };

    assert!(matches!(scope(IdempotencyGroup::All), Scope::Anywhere));
    assert!(matches!(scope(IdempotencyGroup::Zone), Scope::Zone(ZoneId(4))));
    assert!(matches!(scope(IdempotencyGroup::Cell), Scope::Cell(CellId(3))));
}

#[test]
fn permits_a_repeat_of_an_idempotent_request_until_one_clock_resolution_before_its_window_ends() {
    let call = call_with_attempt(idempotent_effect(IdempotencyGroup::All), Some(Outcome::Timeout));
    let end = IDEMPOTENCY_WINDOW - CLOCK_RESOLUTION;

    let before_the_end = permitted_attempt(&call, end - 0.0001).expect("a repeat is permitted");

    assert_close(before_the_end.write_deadline, end);
    assert!(!is_permitted(&call, end));
}

#[test]
fn group_and_window_of_a_repeat_follow_the_first_attempt_that_may_have_run() {
    let [backend] = backend_indices();
    let mut call = call_with_attempt(idempotent_effect(IdempotencyGroup::Cell), Some(Outcome::NoConnection));
    let second = attempt(backend, Some(Outcome::Timeout));
    call.add_attempt(Attempt { cell: CellId(5), sent_at: 0.25, ..second });
    call.add_attempt(Attempt { cell: CellId(6), sent_at: 0.5, ..second });

    let permitted_attempt = permitted_attempt(&call, 0.75).expect("a repeat is permitted");

    assert!(matches!(permitted_attempt.scope, Scope::Cell(CellId(5))));
    assert_close(permitted_attempt.write_deadline, 0.25 + IDEMPOTENCY_WINDOW - CLOCK_RESOLUTION);
}

#[test]
fn permits_at_most_the_maximum_number_of_attempts() {
    let [backend] = backend_indices();
    let settings = Settings { max_attempts: 2, ..settings_with_effect(Effect::Safe) };
    let mut call = call_for_request(request_with_id(1), settings);
    let rejected = attempt(backend, Some(Outcome::Rejected));
    call.add_attempt(rejected);
    let is_second_permitted = is_permitted(&call, 0.5);

    call.add_attempt(rejected);

    assert!(is_second_permitted);
    assert!(!is_permitted(&call, 0.5));
}

#[test]
fn permits_two_attempts_in_flight_only_if_hedging_is_allowed_and_the_body_is_buffered() {
    let is_hedge_permitted = |hedging_allowed: bool, streaming_body: bool| {
        let [backend] = backend_indices();
        let settings = Settings { hedging_allowed, ..settings_with_effect(Effect::Safe) };
        let mut call = call_for_request(Request { streaming_body, ..request_with_id(1) }, settings);
        call.add_attempt(attempt(backend, None));
        is_permitted(&call, 0.5)
    };

    assert!(is_hedge_permitted(true, false));
    assert!(!is_hedge_permitted(false, false));
    assert!(!is_hedge_permitted(true, true));
}

#[test]
fn permits_no_attempt_after_the_body_was_consumed() {
    let mut call = call_with_attempt(Effect::Safe, Some(Outcome::NoConnection));
    let is_permitted_before = is_permitted(&call, 0.5);

    call.record_body_consumed();

    assert!(is_permitted_before);
    assert!(!is_permitted(&call, 0.5));
}

#[test]
fn is_safe_to_retry_if_no_backend_processed_the_request_or_all_backends_detect_a_repeat() {
    let is_safe =
        |effect: Effect, outcome: Outcome| is_safe_to_retry(&call_with_attempt(effect, Some(outcome)));
    let detected_everywhere = idempotent_effect(IdempotencyGroup::All);
    let detected_in_zone = idempotent_effect(IdempotencyGroup::Zone);

    for outcome in POSSIBLY_PROCESSED_OUTCOMES {
        assert!(is_safe(Effect::Safe, outcome) && is_safe(detected_everywhere, outcome));
        assert!(!is_safe(Effect::Unsafe, outcome) && !is_safe(detected_in_zone, outcome));
    }
    for outcome in UNPROCESSED_OUTCOMES {
        assert!(is_safe(Effect::Unsafe, outcome) && is_safe(detected_in_zone, outcome));
    }
}
