//! The token bucket.

use super::assertions::assert_close;
use crate::support::TokenBucket;

/// The rate, in tokens per second.
const RATE: f64 = 2.0;
const CAPACITY: f64 = 5.0;

#[test]
fn adds_tokens_over_time_up_to_the_capacity() {
    let mut bucket = TokenBucket::new(1.0, 10.0);

    let available = [10.0, 11.5, 12.0, 100.0].map(|now| bucket.refill(now, RATE, CAPACITY));

    assert_eq!(available, [1.0, 4.0, 5.0, 5.0]);
}

#[test]
fn a_time_before_the_latest_refill_adds_nothing() {
    let mut bucket = TokenBucket::new(1.0, 10.0);

    let available = bucket.refill(5.0, RATE, CAPACITY);

    assert_close(available, 1.0);
}

#[test]
fn a_token_can_be_taken_that_is_not_available_and_is_missing_later() {
    let mut bucket = TokenBucket::new(0.5, 0.0);

    bucket.take();
    bucket.take();
    let at_once = bucket.refill(0.0, RATE, CAPACITY);
    let later = bucket.refill(1.0, RATE, CAPACITY);

    assert_close(at_once, -1.5);
    assert_close(later, 0.5);
}

#[test]
fn taking_what_is_available_leaves_no_debt() {
    let mut bucket = TokenBucket::new(1.5, 0.0);

    bucket.take_available();
    let after_one = bucket.refill(0.0, RATE, CAPACITY);
    bucket.take_available();
    let after_two = bucket.refill(0.0, RATE, CAPACITY);

    assert_close(after_one, 0.5);
    assert_close(after_two, 0.0);
}

#[test]
fn sets_the_tokens_available_until_the_next_refill() {
    let mut bucket = TokenBucket::new(3.0, 0.0);

    bucket.set(0.25);

    assert_close(bucket.refill(0.0, RATE, CAPACITY), 0.25);
    assert_close(bucket.refill(1.0, RATE, CAPACITY), 2.25);
}
