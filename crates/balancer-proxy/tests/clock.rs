//! The clock of the decision module, and its conversions from and to other clocks.

use balancer_proxy::clock::Clock;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

#[test]
fn the_time_starts_at_zero_and_never_decreases() {
    let clock = Clock::start();

    let first = clock.now();
    let second = clock.now();

    assert!(first >= 0.0);
    assert!(second >= first);
}

#[test]
fn the_unix_time_of_the_start_is_time_zero() {
    let before = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_secs_f64();
    let clock = Clock::start();
    let after = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_secs_f64();

    assert!(clock.from_unix_time(before) <= 0.0);
    assert!(clock.from_unix_time(after) >= 0.0);
}

#[test]
fn an_instant_is_the_start_plus_the_time() {
    let clock = Clock::start();

    let instant = clock.instant_at(1.5);

    assert_eq!(instant.into_std(), clock.start_instant() + Duration::from_millis(1500));
}

#[test]
fn a_time_that_no_duration_can_represent_becomes_the_start() {
    let clock = Clock::start();

    for time in [-1.0, f64::INFINITY, f64::NAN] {
        assert_eq!(clock.instant_at(time).into_std(), clock.start_instant(), "{time}");
    }
}
