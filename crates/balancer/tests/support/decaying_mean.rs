//! The mean of samples at irregular times.

use super::assertions::assert_close;
use crate::support::DecayingMean;

/// The time constant, in seconds.
const TIME_CONSTANT: f64 = 10.0;

#[test]
fn a_sample_after_one_time_constant_closes_all_but_a_fraction_of_one_over_e() {
    let mut mean = DecayingMean::zero_at(5.0);

    let updated = mean.update(3.0, 5.0 + TIME_CONSTANT, TIME_CONSTANT);

    assert_close(updated, 3.0 * (1.0 - (-1f64).exp()));
}

#[test]
fn a_sample_at_the_time_of_the_latest_one_changes_nothing() {
    let mut mean = DecayingMean::zero_at(0.0);
    let before = mean.update(3.0, 1.0, TIME_CONSTANT);

    let after = mean.update(100.0, 1.0, TIME_CONSTANT);

    assert_close(after, before);
}

#[test]
fn equal_samples_count_alike_however_the_time_between_them_is_divided() {
    let mut once = DecayingMean::zero_at(0.0);
    let mut often = DecayingMean::zero_at(0.0);

    let of_one = once.update(2.0, 4.0, TIME_CONSTANT);
    let of_four = [1.0, 2.0, 3.0, 4.0].map(|now| often.update(2.0, now, TIME_CONSTANT));

    assert_close(of_four[3], of_one);
}
