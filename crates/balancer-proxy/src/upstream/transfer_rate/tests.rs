//! Tests of the monitor of the transfer rate of a body.

use super::{MIN_TRANSFER_BYTES_PER_SECOND, TransferRateMonitor, time_allowed_for};
use std::time::Duration;

/// An hour, which is a timeout that no test reaches.
const ONE_HOUR: Duration = Duration::from_secs(3600);

#[test]
fn time_in_which_no_chunk_is_awaited_does_not_count() {
    let monitor = TransferRateMonitor::new(Duration::ZERO);

    std::thread::sleep(Duration::from_millis(2));

    assert!(!monitor.is_too_slow());
}

#[test]
fn a_body_is_too_slow_once_it_has_been_awaited_for_longer_than_allowed() {
    let mut strict = TransferRateMonitor::new(Duration::ZERO);
    let mut tolerant = TransferRateMonitor::new(ONE_HOUR);

    strict.start_waiting();
    tolerant.start_waiting();
    std::thread::sleep(Duration::from_millis(2));

    assert!(strict.is_too_slow());
    assert!(!tolerant.is_too_slow());
}

#[test]
fn received_bytes_extend_the_time_that_the_body_is_allowed() {
    let mut monitor = TransferRateMonitor::new(Duration::ZERO);
    let bytes_of_an_hour = ONE_HOUR.as_secs() as usize * MIN_TRANSFER_BYTES_PER_SECOND as usize;
    monitor.start_waiting();
    std::thread::sleep(Duration::from_millis(2));

    monitor.record_chunk(bytes_of_an_hour);

    assert!(!monitor.is_too_slow());
    assert_eq!(monitor.received_bytes(), bytes_of_an_hour);
    assert_eq!(time_allowed_for(bytes_of_an_hour), ONE_HOUR);
}
