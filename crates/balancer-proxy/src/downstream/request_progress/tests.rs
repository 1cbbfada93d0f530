//! Tests of the progress of requests and responses on one connection.

use super::{HEAD_TIMEOUT, MIN_IDLE_BEFORE_EVICTION, MIN_SILENCE_BEFORE_EVICTION, RequestProgress};
use crate::downstream::write_progress::WRITE_TIMEOUT;
use std::time::Duration;
use tokio::time::Instant;

/// Returns the progress of a connection whose first request is complete.
fn progress_of_complete_request() -> RequestProgress {
    let progress = RequestProgress::new();
    progress.record_bytes();
    progress.complete_head();
    progress.complete_request();
    progress
}

#[test]
fn a_new_connection_has_no_request_in_flight_until_bytes_arrive() {
    let progress = RequestProgress::new();
    assert!(!progress.has_request_in_flight());

    progress.record_bytes();

    assert!(progress.has_request_in_flight());
    assert!(progress.is_receiving_head());
    assert!(progress.is_head_progressing());
    assert!(!progress.is_busy());
}

#[test]
fn a_request_is_in_flight_until_its_response_is_finished() {
    let progress = RequestProgress::new();
    progress.record_bytes();

    let body_timeout = progress.complete_head();
    let is_due_during_body = progress.is_response_due();
    let is_busy_during_body = progress.is_busy();
    progress.complete_request();
    let is_busy_after_request = progress.is_busy();
    progress.finish_response();

    assert!(body_timeout <= HEAD_TIMEOUT);
    assert!(is_due_during_body);
    assert!(!is_busy_during_body);
    assert!(is_busy_after_request);
    assert!(!progress.has_request_in_flight());
}

#[test]
fn bytes_that_arrive_before_the_response_start_the_next_head_after_it() {
    let progress = progress_of_complete_request();

    progress.record_bytes();
    progress.finish_response();

    assert!(progress.is_receiving_head());
}

#[test]
fn only_a_connection_that_never_completed_a_request_is_evictable_as_silent() {
    let silent = RequestProgress::new();
    let served = RequestProgress::new();
    served.record_bytes();
    served.complete_head();
    served.complete_request();
    served.finish_response();
    assert!(!silent.is_evictable_as_silent());

    std::thread::sleep(MIN_SILENCE_BEFORE_EVICTION);

    assert!(silent.is_evictable_as_silent());
    assert!(!served.is_evictable_as_silent());
}

/// Guards against early eviction. The proxy responds to a readiness request or an invalid request without
/// reading it to its end. A connection with only such requests counted as one without a request, and was
/// closed after 0.5 s instead of 2 s.
#[test]
fn a_connection_that_has_got_a_response_is_not_evictable_as_silent() {
    let progress = RequestProgress::new();
    progress.record_bytes();
    progress.complete_head();
    progress.finish_response();

    std::thread::sleep(MIN_SILENCE_BEFORE_EVICTION);

    assert!(!progress.is_evictable_as_silent());
}

/// Guards against the eviction of a connection whose client has sent a whole request, of which the proxy has
/// not read the end because no backend takes the body.
#[test]
fn a_connection_whose_body_is_not_awaited_is_not_evictable_as_silent() {
    let progress = RequestProgress::new();
    progress.record_bytes();
    progress.complete_head();

    std::thread::sleep(MIN_SILENCE_BEFORE_EVICTION);

    assert!(!progress.is_evictable_as_silent());
}

#[test]
fn a_connection_whose_body_is_awaited_is_evictable_once_its_client_has_been_silent() {
    let progress = RequestProgress::new();
    progress.record_bytes();
    progress.complete_head();
    progress.sender_wait().start();
    let is_evictable_at_first = progress.is_evictable_as_silent();

    std::thread::sleep(MIN_SILENCE_BEFORE_EVICTION);
    let is_evictable_after_silence = progress.is_evictable_as_silent();
    progress.record_bytes();

    assert!(!is_evictable_at_first);
    assert!(is_evictable_after_silence);
    assert!(!progress.is_evictable_as_silent(), "bytes have arrived that the body has not received yet");
}

#[test]
fn a_client_that_does_not_read_stays_busy_until_the_write_timeout() {
    let progress = progress_of_complete_request();

    progress.writes().record_blocked_write(Some(1), Instant::now());

    assert!(progress.is_busy());
    assert!(!progress.is_timed_out());
}

#[test]
fn a_client_that_does_not_read_is_timed_out_after_the_write_timeout() {
    let progress = progress_of_complete_request();

    progress.writes().record_blocked_write(Some(1), Instant::now() - 2 * WRITE_TIMEOUT);

    assert!(!progress.is_busy());
    assert!(progress.is_timed_out());
}

/// Guards against a response that is cut off at its end: the HTTP library finishes a response before the last
/// bytes are written, and the connection counted as idle.
#[test]
fn a_connection_whose_response_is_not_written_to_its_end_is_not_idle() {
    let progress = progress_of_complete_request();
    progress.finish_response();
    std::thread::sleep(MIN_IDLE_BEFORE_EVICTION);
    assert!(progress.is_evictable_as_idle());

    progress.writes().record_blocked_write(Some(1), Instant::now());

    assert!(progress.is_busy());
    assert!(progress.is_in_use());
    assert!(!progress.is_evictable_as_idle());
    assert!(!progress.is_timed_out());
    progress.writes().record_write();
    assert!(!progress.is_busy());
    assert!(!progress.is_in_use());
    assert!(progress.is_evictable_as_idle());
}

#[test]
fn the_next_head_does_not_time_out_before_the_response_is_written_to_its_end() {
    let progress = RequestProgress::new();
    progress.record_bytes();
    std::thread::sleep(HEAD_TIMEOUT + Duration::from_millis(10));
    assert!(progress.is_timed_out());

    progress.writes().record_blocked_write(Some(1), Instant::now());

    assert!(!progress.is_timed_out());
}
