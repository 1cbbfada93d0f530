//! The mean of positive samples that does not depend on their times.

use super::assertions::assert_close;
use crate::support::SmoothedMean;

#[test]
fn has_no_mean_before_the_first_sample() {
    assert_eq!(SmoothedMean::default().get(), None);
}

#[test]
fn starts_at_the_first_sample_whatever_its_weight() {
    let mut mean = SmoothedMean::default();

    mean.update(5.0, 0.01);

    assert_eq!(mean.get(), Some(5.0));
}

#[test]
fn moves_towards_a_later_sample_by_the_weight() {
    let mut mean = SmoothedMean::default();
    mean.update(4.0, 0.25);

    mean.update(8.0, 0.25);
    mean.update(1.0, 0.5);

    assert_close(mean.get().expect("there is a mean"), 3.0);
}
