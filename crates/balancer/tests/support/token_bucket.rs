//! The token bucket.

use super::assertions::assert_close;
use crate::support::TokenBucket;

/// The refill rate.
const TOKENS_PER_SECOND: f64 = 2.0;
/// The greatest number of tokens in the bucket.
const CAPACITY_TOKENS: f64 = 5.0;

#[test]
fn adds_tokens_over_time_up_to_the_capacity() {
    let mut bucket = TokenBucket::new(1.0, 10.0);

    let available =
        [10.0, 11.5, 12.0, 100.0].map(|now| bucket.refill(now, TOKENS_PER_SECOND, CAPACITY_TOKENS));

    assert_eq!(available, [1.0, 4.0, 5.0, 5.0]);
}

#[test]
fn adds_no_tokens_for_a_time_before_the_latest_refill() {
    let mut bucket = TokenBucket::new(1.0, 10.0);

    let available = bucket.refill(5.0, TOKENS_PER_SECOND, CAPACITY_TOKENS);

    assert_close(available, 1.0);
}

#[test]
fn take_makes_the_number_of_tokens_negative_if_none_is_available() {
    let mut bucket = TokenBucket::new(0.5, 0.0);

    bucket.take();
    bucket.take();
    let at_once = bucket.refill(0.0, TOKENS_PER_SECOND, CAPACITY_TOKENS);
    let later = bucket.refill(1.0, TOKENS_PER_SECOND, CAPACITY_TOKENS);

    assert_close(at_once, -1.5);
    assert_close(later, 0.5);
}

#[test]
fn take_available_does_not_make_the_number_of_tokens_negative() {
    let mut bucket = TokenBucket::new(1.5, 0.0);

    bucket.take_available();
    let after_one = bucket.refill(0.0, TOKENS_PER_SECOND, CAPACITY_TOKENS);
    bucket.take_available();
    let after_two = bucket.refill(0.0, TOKENS_PER_SECOND, CAPACITY_TOKENS);

    assert_close(after_one, 0.5);
    assert_close(after_two, 0.0);
}

#[test]
fn set_replaces_the_number_of_available_tokens() {
    let mut bucket = TokenBucket::new(3.0, 0.0);

    bucket.set(0.25);

    assert_close(bucket.refill(0.0, TOKENS_PER_SECOND, CAPACITY_TOKENS), 0.25);
    assert_close(bucket.refill(1.0, TOKENS_PER_SECOND, CAPACITY_TOKENS), 2.25);
}
