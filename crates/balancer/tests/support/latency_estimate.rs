//! The estimate of the mean and the deviation of a latency.

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
    // The first sample differs by 1 from the initial mean of 0, and the second one by 1 from the mean of 1.
    assert_close(estimate.deviation(), 1.0);
}

#[test]
fn deviation_of_equal_samples_approaches_zero() {
    let mut estimate = LatencyEstimate::default();

    for _ in 0..200 {
        estimate.record(0.5, 0.2);
    }

    assert_close(estimate.mean(), 0.5);
    assert_close(estimate.deviation(), 0.0);
}

#[test]
fn counts_a_sample_of_zero_weight_without_changing_the_mean() {
    let mut estimate = LatencyEstimate::default();
    estimate.record(1.0, 1.0);

    estimate.record(9.0, 0.0);

    assert_close(estimate.samples(), 2.0);
    assert_close(estimate.mean(), 1.0);
}
