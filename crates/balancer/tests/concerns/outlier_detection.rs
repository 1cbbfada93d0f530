//! Outlier detection: the relative latency of backends, and the threshold of outliers.

use super::fixtures::backend_indices;
use crate::decisions::outlier_detection::OutlierDetection;
use crate::interface::Time;
use crate::support::BackendIndex;
use crate::support::tests::assertions::assert_close;

/// The time constant of the send rate, in seconds. That of relative latencies is half of it.
const RATE_TIME_CONSTANT: Time = 20.0;
/// The expected latency, in seconds.
const EXPECTED: Time = 0.1;

/// Returns the state at time 0 of backends of which nothing has been observed.
fn detection_of(backends: &[BackendIndex]) -> OutlierDetection {
    let mut detection = OutlierDetection::default();
    detection.set_rate_time_constant(RATE_TIME_CONSTANT);
    for backend in backends {
        detection.add_backend(*backend, 0.0);
    }
    detection
}

#[test]
fn approaches_the_ratio_of_the_observed_latency_to_the_expected_one() {
    let [slow, unobserved] = backend_indices();
    let mut detection = detection_of(&[slow, unobserved]);

    for _ in 0..200 {
        detection.record_latency(slow, 3.0 * EXPECTED, EXPECTED, 0.0);
    }

    assert_close(detection.relative_latency(slow, 0.0), 3.0);
    assert_close(detection.relative_latency(unobserved, 0.0), 1.0);
}

#[test]
fn skips_a_latency_while_none_is_expected() {
    let [backend] = backend_indices();
    let mut detection = detection_of(&[backend]);

    detection.record_latency(backend, 5.0, 0.0, 0.0);

    assert_close(detection.relative_latency(backend, 0.0), 1.0);
}

#[test]
fn counts_a_latency_as_no_more_than_a_failure_and_a_fast_failure_as_more_than_a_slow_one() {
    let [endless, failing_slowly, failing_fast] = backend_indices();
    let mut detection = detection_of(&[endless, failing_slowly, failing_fast]);

    detection.record_latency(endless, 1000.0 * EXPECTED, EXPECTED, 0.0);
    detection.record_failure(failing_slowly, 0.5 * EXPECTED, EXPECTED, 0.0);
    detection.record_failure(failing_fast, 0.49 * EXPECTED, EXPECTED, 0.0);

    let slow_failure = detection.relative_latency(failing_slowly, 0.0);
    assert_close(detection.relative_latency(endless, 0.0), slow_failure);
    assert!(detection.relative_latency(failing_fast, 0.0) > slow_failure);
}

#[test]
fn returns_to_the_expected_latency_over_time_and_at_once_after_a_restart() {
    let [failing, restarted] = backend_indices();
    let mut detection = detection_of(&[failing, restarted]);
    detection.record_failure(failing, EXPECTED, EXPECTED, 0.0);
    detection.record_failure(restarted, EXPECTED, EXPECTED, 0.0);
    let excess = detection.relative_latency(failing, 0.0) - 1.0;

    detection.reset_latency(restarted, 0.0);

    let one_time_constant = 0.5 * RATE_TIME_CONSTANT;
    let excess_later = detection.relative_latency(failing, one_time_constant) - 1.0;
    assert_close(excess_later, excess * (-1f64).exp());
    assert_close(detection.relative_latency(restarted, 0.0), 1.0);
}

#[test]
fn penalises_silence_only_of_a_backend_with_calls_in_flight() {
    let [silent] = backend_indices();
    let detection = detection_of(&[silent]);
    let now = 4.0 * EXPECTED;

    let without_calls = detection.latency_penalty(silent, 0, EXPECTED, now);
    let with_calls = detection.latency_penalty(silent, 1, EXPECTED, now);
    let without_expectation = detection.latency_penalty(silent, 1, 0.0, now);

    assert_close(without_calls, 1.0);
    assert_close(with_calls, 4.0);
    assert_close(without_expectation, 1.0);
}

#[test]
fn a_backend_that_answers_is_not_silent() {
    let [answering] = backend_indices();
    let mut detection = detection_of(&[answering]);
    let now = 4.0 * EXPECTED;

    detection.record_activity(answering, now);

    assert_close(detection.latency_penalty(answering, 9, EXPECTED, now), 1.0);
}

#[test]
fn compares_with_the_best_warm_member_and_with_any_member_where_none_is_warm() {
    let [fast_in_slow_start, warm, slow] = backend_indices();
    let members = [fast_in_slow_start, warm, slow];
    let mut detection = detection_of(&members);
    detection.record_latency(fast_in_slow_start, 0.0, EXPECTED, 0.0);
    detection.record_latency(slow, 5.0 * EXPECTED, EXPECTED, 0.0);

    let with_warm = detection.threshold([warm, slow].into_iter(), members.into_iter(), 0.0);
    let without_warm = detection.threshold([].into_iter(), members.into_iter(), 0.0);
    let without_members = detection.threshold([].into_iter(), [].into_iter(), 0.0);

    let best_of_all = detection.relative_latency(fast_in_slow_start, 0.0);
    assert_close(with_warm, 2.5);
    assert_close(without_warm, 2.5 * best_of_all);
    assert_eq!(without_members, f64::INFINITY);
}

#[test]
fn tells_recent_activity_and_responses_from_older_ones() {
    let [backend] = backend_indices();
    let mut detection = detection_of(&[backend]);
    let has_responded_before = detection.has_succeeded_since(backend, 0.0);

    detection.record_activity(backend, 1.0);
    detection.record_success(backend, 1.0);

    let one_time_constant = 0.5 * RATE_TIME_CONSTANT;
    assert!(!has_responded_before);
    assert!(detection.has_succeeded_since(backend, 0.5));
    assert!(!detection.has_succeeded_since(backend, 1.0));
    assert!(detection.was_recently_active(backend, 0.5 + one_time_constant));
    assert!(!detection.was_recently_active(backend, 1.0 + one_time_constant));
}
