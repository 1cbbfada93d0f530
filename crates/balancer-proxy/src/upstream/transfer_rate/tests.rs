//! Tests of the monitor of the transfer rate of a body.

use super::{
    MAX_SOCKET_BUFFER_BYTES, MIN_RECORDED_GAP, MIN_TRANSFER_BYTES_PER_SECOND, MIN_WAIT_FOR_SENT_CHUNK,
    TransferRateMonitor, time_allowed_for,
};
use crate::upstream::sender_wait::SenderWait;
use std::time::Duration;

/// An hour, which is a timeout that no test reaches.
const ONE_HOUR: Duration = Duration::from_secs(3600);
/// The least length of a pause between two chunks.
const PAUSE: Duration = Duration::from_millis(2);

/// Returns the monitor of a body that may take `base_timeout` in addition to the time for its bytes.
fn monitor(base_timeout: Duration) -> TransferRateMonitor {
    TransferRateMonitor::new(base_timeout, SenderWait::default())
}

#[test]
fn time_in_which_no_chunk_is_awaited_does_not_count() {
    let monitor = monitor(Duration::ZERO);

    std::thread::sleep(Duration::from_millis(2));

    assert!(!monitor.is_too_slow());
}

#[test]
fn a_body_is_too_slow_once_it_has_been_awaited_for_longer_than_allowed() {
    let mut strict = monitor(Duration::ZERO);
    let mut tolerant = monitor(ONE_HOUR);

    strict.start_waiting();
    tolerant.start_waiting();
    std::thread::sleep(Duration::from_millis(2));

    assert!(strict.is_too_slow());
    assert!(!tolerant.is_too_slow());
}

#[test]
fn received_bytes_extend_the_time_that_the_body_is_allowed() {
    let mut monitor = monitor(Duration::ZERO);
    let bytes_of_an_hour = ONE_HOUR.as_secs() as usize * MIN_TRANSFER_BYTES_PER_SECOND as usize;
    monitor.start_waiting();
    std::thread::sleep(Duration::from_millis(2));

    monitor.record_chunk(bytes_of_an_hour);

    assert!(!monitor.is_too_slow());
    assert_eq!(monitor.received_bytes(), bytes_of_an_hour);
    assert_eq!(time_allowed_for(bytes_of_an_hour), ONE_HOUR);
}

#[test]
fn time_counts_as_unreceived_only_while_no_chunk_is_awaited() {
    let mut monitor = monitor(Duration::ZERO);
    std::thread::sleep(PAUSE);
    let before_the_wait = monitor.time_unreceived();

    monitor.start_waiting();
    std::thread::sleep(MIN_WAIT_FOR_SENT_CHUNK);
    let while_waiting = monitor.time_unreceived();
    monitor.record_chunk(1);
    std::thread::sleep(PAUSE);

    assert!(before_the_wait >= PAUSE);
    assert_eq!(while_waiting, Duration::ZERO);
    assert!(monitor.time_unreceived() >= PAUSE);
}

#[test]
fn gaps_between_chunks_add_up_to_the_time_that_the_last_byte_may_have_waited() {
    let mut monitor = monitor(Duration::ZERO);
    for _ in 0..2 {
        std::thread::sleep(MIN_RECORDED_GAP);
        monitor.record_chunk(1);
    }
    monitor.start_waiting(); // for less than MIN_WAIT_FOR_SENT_CHUNK
    monitor.record_chunk(1);
    std::thread::sleep(PAUSE);
    let unreceived = monitor.time_unreceived();

    monitor.record_chunk(0);

    assert!(unreceived >= 2 * MIN_RECORDED_GAP + PAUSE);
    assert!(monitor.recorded_gaps() >= 2 * MIN_RECORDED_GAP);
}

#[test]
fn the_last_byte_was_not_sent_before_a_chunk_that_was_awaited_for_long() {
    let mut monitor = monitor(Duration::ZERO);
    std::thread::sleep(MIN_RECORDED_GAP);
    monitor.record_chunk(1);

    monitor.start_waiting();
    std::thread::sleep(MIN_WAIT_FOR_SENT_CHUNK);
    monitor.record_chunk(1);

    assert_eq!(monitor.recorded_gaps(), Duration::ZERO);
}

#[test]
fn the_last_byte_was_not_sent_before_more_bytes_than_socket_buffers_hold() {
    let mut monitor = monitor(Duration::ZERO);
    std::thread::sleep(MIN_RECORDED_GAP);
    monitor.record_chunk(MAX_SOCKET_BUFFER_BYTES);
    let gaps_within_the_buffers = monitor.recorded_gaps();

    monitor.start_waiting();
    monitor.record_chunk(1);

    assert!(gaps_within_the_buffers >= MIN_RECORDED_GAP);
    assert_eq!(monitor.recorded_gaps(), Duration::ZERO);
}
