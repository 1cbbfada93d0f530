//! The clock of the decision module, and its conversions from Unix time and to instants.

use balancer_proxy::clock::Clock;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

#[test]
fn time_is_never_negative_and_never_decreases() {
    let clock = Clock::start();

    let first = clock.now();
    let second = clock.now();

    assert!(first >= 0.0);
    assert!(second >= first);
}

#[test]
fn converts_the_unix_time_of_the_start_to_zero() {
    let before = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_secs_f64();
    let clock = Clock::start();
    let after = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_secs_f64();

    assert!(clock.from_unix_time(before) <= 0.0);
    assert!(clock.from_unix_time(after) >= 0.0);
}

#[test]
fn converts_a_time_to_the_start_plus_that_time() {
    let clock = Clock::start();

    let instant = clock.instant_at(1.5);

    assert_eq!(instant.into_std(), clock.start_instant() + Duration::from_millis(1500));
}

#[test]
fn converts_a_time_that_no_duration_can_represent_to_the_start() {
    let clock = Clock::start();

    for time in [-1.0, f64::INFINITY, f64::NAN] {
        assert_eq!(clock.instant_at(time).into_std(), clock.start_instant(), "{time}");
    }
}
