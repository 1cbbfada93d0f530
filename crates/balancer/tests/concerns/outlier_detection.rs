//! Outlier detection: the relative latency of backends, and the threshold of outliers.

use super::fixtures::backend_indices;
use crate::decisions::outlier_detection::OutlierDetection;
use crate::interface::Time;
use crate::support::BackendIndex;
use crate::support::tests::assertions::assert_close;

/// The time constant of the send rate, in seconds. Relative latencies decay with half this time constant.
const RATE_TIME_CONSTANT: Time = 20.0;
/// The expected latency, in seconds.
const EXPECTED_LATENCY: Time = 0.1;

/// Returns the state at time 0 of backends without observations.
fn detection_without_observations(backends: &[BackendIndex]) -> OutlierDetection {
    let mut detection = OutlierDetection::default();
    detection.set_rate_time_constant(RATE_TIME_CONSTANT);
    for backend in backends {
        detection.add_backend(*backend, 0.0);
    }
    detection
}

#[test]
fn relative_latency_approaches_the_ratio_of_the_observed_to_the_expected_latency() {
    let [slow, unobserved] = backend_indices();
    let mut detection = detection_without_observations(&[slow, unobserved]);

    for _ in 0..200 {
        detection.record_latency(slow, 3.0 * EXPECTED_LATENCY, EXPECTED_LATENCY, 0.0);
    }

    assert_close(detection.relative_latency(slow, 0.0), 3.0);
    assert_close(detection.relative_latency(unobserved, 0.0), 1.0);
}

#[test]
fn skips_a_latency_while_the_expected_latency_is_unknown() {
    let [backend] = backend_indices();
    let mut detection = detection_without_observations(&[backend]);

    detection.record_latency(backend, 5.0, 0.0, 0.0);

    assert_close(detection.relative_latency(backend, 0.0), 1.0);
}

#[test]
fn caps_a_latency_at_that_of_a_failure_and_gives_a_fast_failure_more_weight_than_a_slow_one() {
    let [very_slow, failing_slowly, failing_fast] = backend_indices();
    let mut detection = detection_without_observations(&[very_slow, failing_slowly, failing_fast]);

    detection.record_latency(very_slow, 1000.0 * EXPECTED_LATENCY, EXPECTED_LATENCY, 0.0);
    detection.record_failure(failing_slowly, 0.5 * EXPECTED_LATENCY, EXPECTED_LATENCY, 0.0);
    detection.record_failure(failing_fast, 0.49 * EXPECTED_LATENCY, EXPECTED_LATENCY, 0.0);

    let slow_failure = detection.relative_latency(failing_slowly, 0.0);
    assert_close(detection.relative_latency(very_slow, 0.0), slow_failure);
    assert!(detection.relative_latency(failing_fast, 0.0) > slow_failure);
}

#[test]
fn relative_latency_decays_over_time_and_is_reset_after_a_restart() {
    let [failing, restarted] = backend_indices();
    let mut detection = detection_without_observations(&[failing, restarted]);
    detection.record_failure(failing, EXPECTED_LATENCY, EXPECTED_LATENCY, 0.0);
    detection.record_failure(restarted, EXPECTED_LATENCY, EXPECTED_LATENCY, 0.0);
    let excess = detection.relative_latency(failing, 0.0) - 1.0;

    detection.reset_latency(restarted, 0.0);

    let one_time_constant = 0.5 * RATE_TIME_CONSTANT;
    let excess_later = detection.relative_latency(failing, one_time_constant) - 1.0;
    assert_close(excess_later, excess * (-1f64).exp());
    assert_close(detection.relative_latency(restarted, 0.0), 1.0);
}

#[test]
fn penalises_time_without_a_response_only_if_calls_are_in_flight() {
    let [unresponsive] = backend_indices();
    let detection = detection_without_observations(&[unresponsive]);
    let now = 4.0 * EXPECTED_LATENCY;

    let without_calls = detection.latency_penalty(unresponsive, 0, EXPECTED_LATENCY, now);
    let with_calls = detection.latency_penalty(unresponsive, 1, EXPECTED_LATENCY, now);
    let without_expectation = detection.latency_penalty(unresponsive, 1, 0.0, now);

    assert_close(without_calls, 1.0);
    assert_close(with_calls, 4.0);
    assert_close(without_expectation, 1.0);
}

#[test]
fn does_not_penalise_a_backend_that_has_just_responded() {
    let [responding] = backend_indices();
    let mut detection = detection_without_observations(&[responding]);
    let now = 4.0 * EXPECTED_LATENCY;

    detection.record_activity(responding, now);

    assert_close(detection.latency_penalty(responding, 9, EXPECTED_LATENCY, now), 1.0);
}

#[test]
fn threshold_follows_the_fastest_warm_member_or_the_fastest_member_if_none_is_warm() {
    let [fast_in_slow_start, warm, slow] = backend_indices();
    let members = [fast_in_slow_start, warm, slow];
    let mut detection = detection_without_observations(&members);
    detection.record_latency(fast_in_slow_start, 0.0, EXPECTED_LATENCY, 0.0);
    detection.record_latency(slow, 5.0 * EXPECTED_LATENCY, EXPECTED_LATENCY, 0.0);

    let with_warm = detection.threshold([warm, slow].into_iter(), members.into_iter(), 0.0);
    let without_warm = detection.threshold([].into_iter(), members.into_iter(), 0.0);
    let without_members = detection.threshold([].into_iter(), [].into_iter(), 0.0);

    let best_of_all = detection.relative_latency(fast_in_slow_start, 0.0);
    assert_close(with_warm, 2.5);
    assert_close(without_warm, 2.5 * best_of_all);
    assert_eq!(without_members, f64::INFINITY);
}

#[test]
fn distinguishes_recent_activity_and_successes_from_older_ones() {
    let [backend] = backend_indices();
    let mut detection = detection_without_observations(&[backend]);
    let has_succeeded_before = detection.has_succeeded_since(backend, 0.0);

    detection.record_activity(backend, 1.0);
    detection.record_success(backend, 1.0);

    let one_time_constant = 0.5 * RATE_TIME_CONSTANT;
    assert!(!has_succeeded_before);
    assert!(detection.has_succeeded_since(backend, 0.5));
    assert!(!detection.has_succeeded_since(backend, 1.0));
    assert!(detection.was_recently_active(backend, 0.5 + one_time_constant));
    assert!(!detection.was_recently_active(backend, 1.0 + one_time_constant));
}
