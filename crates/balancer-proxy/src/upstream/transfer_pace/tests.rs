//! Tests of the pace of a body.

use super::{MIN_BYTES_PER_SECOND, TransferPace, time_allowed_for};
use std::time::Duration;

/// Far longer than a test takes.
const LONG: Duration = Duration::from_secs(3600);

#[test]
fn time_in_which_no_chunk_is_awaited_does_not_count() {
    let pace = TransferPace::new(Duration::ZERO);

    std::thread::sleep(Duration::from_millis(2));

    assert!(!pace.is_too_slow());
}

#[test]
fn a_body_is_too_slow_once_it_was_awaited_for_longer_than_it_is_allowed() {
    let mut strict = TransferPace::new(Duration::ZERO);
    let mut tolerant = TransferPace::new(LONG);

    strict.start_waiting();
    tolerant.start_waiting();
    std::thread::sleep(Duration::from_millis(2));

    assert!(strict.is_too_slow());
    assert!(!tolerant.is_too_slow());
}

#[test]
fn received_bytes_extend_the_time_that_the_body_is_allowed() {
    let mut pace = TransferPace::new(Duration::ZERO);
    let bytes_of_an_hour = LONG.as_secs() as usize * MIN_BYTES_PER_SECOND as usize;
    pace.start_waiting();
    std::thread::sleep(Duration::from_millis(2));

    pace.record_chunk(bytes_of_an_hour);

    assert!(!pace.is_too_slow());
    assert_eq!(pace.received_bytes(), bytes_of_an_hour);
    assert_eq!(time_allowed_for(bytes_of_an_hour), LONG);
}
