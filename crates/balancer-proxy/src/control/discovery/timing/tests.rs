//! Tests of jitter, backoff and the bounds in the module's documentation.

use super::{
    Backoff, Jitter, LastCall, MAX_CHANGES_TIME, MAX_FULL_LIST_TIME, MAX_JITTER_FRACTION, MIN_BACKOFF,
    REPEATED_POLL_RESPONSE_TIMEOUT,
};
use std::time::Duration;
use tokio::time::Instant;

/// Largest deviation that the rounding of durations may cause.
const ROUNDING_TOLERANCE: Duration = Duration::from_micros(1);

/// Longest delay from a failed poll to the next one: `POLL_BACKOFF_AFTER_FAILURE` of the decision module with
/// its largest random factor.
const MAX_POLL_BACKOFF_AFTER_FAILURE: Duration = Duration::from_millis(375);

/// Longest time that a sound discovery takes for a response after the wait that the call allows.
const SLOW_RESPONSE: Duration = Duration::from_secs(2);

/// Time after which a change counts as notified.
const CHANGE_BOUND: Duration = Duration::from_secs(6);

/// Time after SIGHUP at which what the discovery at a new address says counts as notified.
const NEW_ADDRESS_BOUND: Duration = Duration::from_secs(4);

/// Returns the longest duration of a call of the watch until its timeout.
fn longest_call(last_call: LastCall) -> Duration {
    let timing = last_call.next_timing();
    timing.max_change_wait + longest_with_jitter(timing.response_timeout)
}

/// Returns the longest duration that jitter may produce from `duration`.
fn longest_with_jitter(duration: Duration) -> Duration {
    duration.mul_f64(1.0 + MAX_JITTER_FRACTION)
}

/// Returns the shortest duration that jitter may produce from `duration`.
fn shortest_with_jitter(duration: Duration) -> Duration {
    duration.mul_f64(1.0 - MAX_JITTER_FRACTION)
}

#[test]
fn jitter_stays_within_its_bounds_and_reaches_near_both() {
    let jitter = Jitter::new(1);
    let second = Duration::from_secs(1);

    let durations: Vec<_> = (0..1000).map(|_| jitter.apply(second)).collect();

    let (least, most) = (*durations.iter().min().unwrap(), *durations.iter().max().unwrap());
    let (shortest, longest) = (shortest_with_jitter(second), longest_with_jitter(second));
    assert!(least >= shortest && least < shortest.mul_f64(1.02), "{least:?}");
    assert!(most <= longest && most > longest.mul_f64(0.98), "{most:?}");
}

#[test]
fn jitter_depends_on_the_seed_alone() {
    let first_of_seed = |seed| Jitter::new(seed).apply(Duration::from_secs(1));

    assert_eq!(first_of_seed(7), first_of_seed(7));
    assert_ne!(first_of_seed(7), first_of_seed(8));
}

#[test]
fn a_call_after_a_failure_waits_shorter_for_a_change_and_longer_for_its_response() {
    let after_success = LastCall::Succeeded.next_timing();
    let after_failure = LastCall::Failed.next_timing();

    assert!(after_failure.max_change_wait < after_success.max_change_wait);
    assert!(after_failure.response_timeout > after_success.response_timeout);
}

#[test]
fn backoff_doubles_up_to_its_maximum_and_starts_again_after_a_reset() {
    let jitter = Jitter::new(1);
    let mut backoff = Backoff::new();
    let call_start = Instant::now() + Duration::from_secs(3600);
    let mut next_interval = || backoff.next_call_at(call_start, &jitter) - call_start;

    for expected_ms in [50, 100, 200, 400, 800, 1000, 1000] {
        let interval = next_interval();

        let expected = Duration::from_millis(expected_ms);
        assert!(
            interval + ROUNDING_TOLERANCE >= shortest_with_jitter(expected),
            "{expected_ms} ms: {interval:?}"
        );
        assert!(
            interval <= longest_with_jitter(expected) + ROUNDING_TOLERANCE,
            "{expected_ms} ms: {interval:?}"
        );
    }
    backoff.reset();
    let interval = backoff.next_call_at(call_start, &jitter) - call_start;
    assert!(interval <= longest_with_jitter(MIN_BACKOFF) + ROUNDING_TOLERANCE, "{interval:?}");
}

#[test]
fn the_shortest_backoff_passes_after_a_call_that_took_long() {
    let jitter = Jitter::new(1);
    let mut backoff = Backoff::new();
    let failed_at = Instant::now();
    let call_start = failed_at.checked_sub(Duration::from_secs(5)).unwrap_or(failed_at);

    let next_call = backoff.next_call_at(call_start, &jitter);

    assert!(next_call + ROUNDING_TOLERANCE >= failed_at + shortest_with_jitter(MIN_BACKOFF));
}

#[test]
fn two_failed_calls_in_a_row_end_within_the_bound_of_the_protocol() {
    let full_list_call = longest_with_jitter(LastCall::Succeeded.next_timing().response_timeout);
    let pushed_backoffs = 2 * longest_with_jitter(MIN_BACKOFF);

    let polled_backoffs = 2 * MAX_POLL_BACKOFF_AFTER_FAILURE;
    let repeated_poll = LastCall::Failed.next_timing().max_change_wait + REPEATED_POLL_RESPONSE_TIMEOUT;

    let after_a_success = longest_call(LastCall::Succeeded) + longest_call(LastCall::Failed);
    let after_failures = 2 * longest_call(LastCall::Failed) + full_list_call;
    let polled_after_a_success = longest_call(LastCall::Succeeded) + repeated_poll;
    let polled_after_failures = 2 * repeated_poll;

    assert!(after_a_success + pushed_backoffs < CHANGE_BOUND);
    assert!(after_failures + pushed_backoffs < CHANGE_BOUND);
    assert!(polled_after_a_success + polled_backoffs < CHANGE_BOUND);
    assert!(polled_after_failures + polled_backoffs < CHANGE_BOUND);
}

#[test]
fn a_slow_response_after_a_call_without_a_response_arrives_within_the_bounds_of_the_protocol() {
    let backoffs = [longest_with_jitter(MIN_BACKOFF), MAX_POLL_BACKOFF_AFTER_FAILURE];
    let repeated_poll = LastCall::Failed.next_timing().max_change_wait + REPEATED_POLL_RESPONSE_TIMEOUT;
    let failed_calls = [longest_call(LastCall::Succeeded), longest_call(LastCall::Failed), repeated_poll];
    let failed_full_list_call = longest_with_jitter(LastCall::Succeeded.next_timing().response_timeout);

    for backoff in backoffs {
        for failed_call in failed_calls {
            assert!(failed_call + backoff + SLOW_RESPONSE < CHANGE_BOUND, "{failed_call:?}, {backoff:?}");
        }
        assert!(failed_full_list_call + backoff + SLOW_RESPONSE < NEW_ADDRESS_BOUND, "{backoff:?}");
    }
}

#[test]
fn a_slow_full_list_after_a_slow_restart_of_the_generations_arrives_within_the_bound_of_the_protocol() {
    let after_a_success = LastCall::Succeeded.next_timing().max_change_wait + 2 * SLOW_RESPONSE;
    let call_after_a_failure = LastCall::Failed.next_timing().max_change_wait + SLOW_RESPONSE;

    assert!(after_a_success < CHANGE_BOUND);
    for backoff in [longest_with_jitter(MIN_BACKOFF), MAX_POLL_BACKOFF_AFTER_FAILURE] {
        assert!(backoff + call_after_a_failure + SLOW_RESPONSE < CHANGE_BOUND, "{backoff:?}");
    }
}

#[test]
fn a_call_goes_on_for_as_long_as_a_sound_discovery_may_take() {
    assert!(MAX_FULL_LIST_TIME >= CHANGE_BOUND);
    assert!(MAX_CHANGES_TIME > SLOW_RESPONSE);
}
