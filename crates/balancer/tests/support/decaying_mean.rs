//! The mean of samples at irregular times.

use super::assertions::assert_close;
use crate::support::DecayingMean;

/// The time constant, in seconds.
const TIME_CONSTANT: f64 = 10.0;

#[test]
fn a_sample_after_one_time_constant_reduces_the_difference_to_one_over_e() {
    let mut mean = DecayingMean::zero_at(5.0);

    let updated = mean.update(3.0, 5.0 + TIME_CONSTANT, TIME_CONSTANT);

    assert_close(updated, 3.0 * (1.0 - (-1f64).exp()));
}

#[test]
fn a_sample_at_the_time_of_the_previous_sample_has_no_weight() {
    let mut mean = DecayingMean::zero_at(0.0);
    let before = mean.update(3.0, 1.0, TIME_CONSTANT);

    let after = mean.update(100.0, 1.0, TIME_CONSTANT);

    assert_close(after, before);
}

#[test]
fn the_mean_of_equal_samples_does_not_depend_on_their_number() {
    let mut once = DecayingMean::zero_at(0.0);
    let mut often = DecayingMean::zero_at(0.0);

    let after_one_sample = once.update(2.0, 4.0, TIME_CONSTANT);
    let after_four_samples = [1.0, 2.0, 3.0, 4.0].map(|now| often.update(2.0, now, TIME_CONSTANT));

    assert_close(after_four_samples[3], after_one_sample);
}
