//! Tests of the progress of writes, with given times and numbers of unacknowledged bytes.

use super::{WRITE_TIMEOUT, WriteProgress};
use std::time::Duration;
use tokio::time::Instant;

const SECOND: Duration = Duration::from_secs(1);

/// Records a blocked write each second from `start` for this time. The function returns the number of
/// unacknowledged bytes for the seconds since `start`. Returns the time of the last record.
fn record_each_second(
    progress: &WriteProgress,
    start: Instant,
    duration: Duration,
    unacknowledged_bytes: impl Fn(u64) -> Option<usize>,
) -> Instant {
    for second in 0..=duration.as_secs() {
        progress.record_blocked_write(unacknowledged_bytes(second), start + Duration::from_secs(second));
    }
    start + duration
}

/// Guards against a client that reads slowly and is taken for one that does not read.
#[test]
fn a_blocked_write_does_not_time_out_while_its_bytes_are_acknowledged() {
    let progress = WriteProgress::default();

    let now = record_each_second(&progress, Instant::now(), 10 * WRITE_TIMEOUT, |second| {
        let steps = usize::try_from(second / 8).unwrap(); // a client's system acknowledges in large steps
        Some(4_000_000 - 100_000 * steps)
    });

    assert!(!progress.is_timed_out(now));
}

#[test]
fn a_blocked_write_times_out_when_no_more_bytes_are_acknowledged() {
    let progress = WriteProgress::default();
    let start = Instant::now();

    let stopped = record_each_second(&progress, start, WRITE_TIMEOUT, |second| {
        Some(4_000_000 - usize::try_from(second).unwrap())
    });
    let unacknowledged_bytes = Some(4_000_000 - usize::try_from(WRITE_TIMEOUT.as_secs()).unwrap());
    let now = record_each_second(&progress, stopped, WRITE_TIMEOUT, |_| unacknowledged_bytes);

    assert!(!progress.is_timed_out(now));
    assert!(progress.is_timed_out(now + SECOND));
}

#[test]
fn a_blocked_write_times_out_if_the_system_reports_no_number_of_bytes() {
    let progress = WriteProgress::default();

    let now = record_each_second(&progress, Instant::now(), WRITE_TIMEOUT, |_| None);

    assert!(progress.is_timed_out(now + SECOND));
}

#[test]
fn a_write_that_is_accepted_ends_the_time_of_the_blocked_write() {
    let progress = WriteProgress::default();
    let now = record_each_second(&progress, Instant::now(), WRITE_TIMEOUT, |_| Some(1));

    progress.record_write();

    assert!(!progress.is_timed_out(now + SECOND));
    progress.record_blocked_write(Some(1), now + SECOND);
    assert!(!progress.is_timed_out(now + WRITE_TIMEOUT));
}
