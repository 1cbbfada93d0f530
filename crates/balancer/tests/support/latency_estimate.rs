//! The running estimate of a latency.

use super::assertions::assert_close;
use crate::support::LatencyEstimate;

#[test]
fn is_zero_before_the_first_sample() {
    let estimate = LatencyEstimate::default();

    assert_close(estimate.samples(), 0.0);
    assert_close(estimate.mean(), 0.0);
    assert_close(estimate.deviation(), 0.0);
}

#[test]
fn moves_the_mean_and_the_mean_deviation_by_the_weight() {
    let mut estimate = LatencyEstimate::default();
    estimate.record(1.0, 1.0);

    estimate.record(2.0, 0.25);

    assert_close(estimate.samples(), 2.0);
    assert_close(estimate.mean(), 1.25);
    // The first sample deviates from a mean of 0 by 1, as does the second one from the mean of 1.
    assert_close(estimate.deviation(), 1.0);
}

#[test]
fn equal_samples_leave_no_deviation() {
    let mut estimate = LatencyEstimate::default();

    for _ in 0..200 {
        estimate.record(0.5, 0.2);
    }

    assert_close(estimate.mean(), 0.5);
    assert_close(estimate.deviation(), 0.0);
}

#[test]
fn a_sample_with_a_weight_of_zero_is_counted_only() {
    let mut estimate = LatencyEstimate::default();
    estimate.record(1.0, 1.0);

    estimate.record(9.0, 0.0);

    assert_close(estimate.samples(), 2.0);
    assert_close(estimate.mean(), 1.0);
}
