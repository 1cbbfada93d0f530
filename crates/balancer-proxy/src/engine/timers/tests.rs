//! Tests of the timers.

use super::{Timer, Timers};
use crate::clock::Clock;
use balancer::{RequestId, TimerToken};
use std::time::Duration;

/// Longer than any step takes, even on a busy machine.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// Removes the timers that are due at time `now`, and returns their tokens.
fn due_tokens(timers: &Timers, now: f64) -> Vec<u64> {
    let mut tokens = Vec::new();
    while let Some(scheduled) = timers.pop_due(now) {
        match scheduled.timer {
            Timer::Decision(TimerToken(token)) => tokens.push(token),
            other => panic!("unexpected timer: {other:?}"),
        }
    }
    tokens
}

#[test]
fn expires_timers_by_due_time_and_at_the_same_time_in_the_order_of_setting() {
    let timers = Timers::default();
    for (due, token) in [(3.0, 1), (1.0, 2), (2.0, 3), (1.0, 4), (4.0, 5)] {
        timers.set(due, Timer::Decision(TimerToken(token)));
    }

    assert!(due_tokens(&timers, 0.9).is_empty());
    assert_eq!(due_tokens(&timers, 3.0), [2, 4, 3, 1]);
    assert_eq!(due_tokens(&timers, 5.0), [5]);
}

#[test]
fn a_wait_for_the_first_timer_ends_when_an_earlier_timer_is_set() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap();
    let clock = Clock::start();
    let timers = Timers::default();
    timers.set(1e6, Timer::RequestDeadline(RequestId(1)));

    let ended = runtime.block_on(async {
        let wait = tokio::time::timeout(TEST_TIMEOUT, timers.wait_until_due(&clock));
        let set_earlier_timer = async {
            tokio::task::yield_now().await; // the wait has begun
            timers.set(0.0, Timer::RequestDeadline(RequestId(2)));
        };
        tokio::join!(wait, set_earlier_timer).0
    });

    assert!(ended.is_ok());
    let first = timers.pop_due(clock.now()).unwrap();
    assert!(matches!(first.timer, Timer::RequestDeadline(RequestId(2))));
}
