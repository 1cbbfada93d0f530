//! Tests of the schedule of a graceful shutdown.

use super::{
    FULL_SERVICE_FRACTION, MAX_DEADLINE_BEFORE_SIGKILL, MAX_SERVICE_WITH_SUCCESSOR, RESPONSE_MARGIN,
    SIGKILL_MARGIN, ShutdownSchedule,
};
use std::time::Duration;

#[test]
fn derives_the_duration_of_full_service_from_the_longest_deadline() {
    let schedule = ShutdownSchedule::new(1.0);

    let kill_delay = Duration::from_secs(1) + SIGKILL_MARGIN;
    assert_eq!(schedule.full_service_duration(), kill_delay.mul_f64(FULL_SERVICE_FRACTION));
}

#[test]
fn bounds_deadlines_that_are_long_or_not_valid() {
    let longest = ShutdownSchedule::new(MAX_DEADLINE_BEFORE_SIGKILL.as_secs_f64());

    for deadline in [60.0, f64::INFINITY, f64::NAN, -1.0] {
        let schedule = ShutdownSchedule::new(deadline);

        assert_eq!(schedule.full_service_duration(), longest.full_service_duration(), "{deadline}");
    }
}

#[test]
fn serves_no_longer_with_a_successor_than_without_one() {
    let short = ShutdownSchedule::new(0.1);
    let long = ShutdownSchedule::new(3.0);

    assert_eq!(short.service_duration_with_successor(), short.full_service_duration());
    assert_eq!(long.service_duration_with_successor(), MAX_SERVICE_WITH_SUCCESSOR);
}

#[test]
fn leaves_requests_the_time_until_the_margin_before_sigkill() {
    let schedule = ShutdownSchedule::new(1.0);

    let time_left = schedule.time_left();

    let time_to_sigkill = Duration::from_secs(1) + SIGKILL_MARGIN;
    let longest = (time_to_sigkill - RESPONSE_MARGIN).as_secs_f64();
    assert!(time_left > 0.0 && time_left <= longest, "{time_left}");
}
