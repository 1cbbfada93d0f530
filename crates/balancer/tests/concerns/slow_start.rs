//! Slow start: the request budgets of backends that are warming up.

use super::fixtures::backend_indices;
use crate::decisions::slow_start::{SlowStart, WarmRate};
use crate::interface::{Settings, Time};
use crate::support::BackendIndex;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// The rate that warm backends report, in requests per second. At the end of slow start, three times this
/// rate overloads a backend, and all balancers together may send half of that: 15 requests per second.
const REPORTED_WARM_RATE: WarmRate = WarmRate::Reported(10.0);
/// The time from the start of a backend until the backend has its full capacity, in seconds.
const SLOW_START_DURATION: Time = 10.0;
/// The time at which the backends of these tests start, in seconds.
const BACKEND_START: Time = 100.0;
/// The time at which the backends of these tests reach their full capacity, in seconds.
const BACKEND_WARM_AT: Time = BACKEND_START + SLOW_START_DURATION;
const RANDOM_SEED: u64 = 1;

/// A backend that started at [`BACKEND_START`], with the state of slow start.
struct WarmingBackend {
    index: BackendIndex,
    slow_start: SlowStart,
    random: SmallRng,
}

impl WarmingBackend {
    /// Returns a backend that is added to the state at `now`.
    fn added_at(now: Time) -> Self {
        let settings = Settings {
            slow_start_initial_capacity: 0.1,
            slow_start_duration: SLOW_START_DURATION,
            slow_start_overload_multiple: 3.0,
            slow_start_overload_window: 2.0,
            ..Settings::default()
        };
        let [index] = backend_indices();
        let mut slow_start = SlowStart::default();
        slow_start.apply_settings(&settings);
        slow_start.reset(index, now);
        Self { index, slow_start, random: SmallRng::seed_from_u64(RANDOM_SEED) }
    }

    fn has_budget(&mut self, warm_rate: WarmRate, now: Time) -> bool {
        self.slow_start.has_budget(self.index, BACKEND_START, warm_rate, now, &mut self.random)
    }

    /// Sends requests at `now` until the budget does not permit another one. Returns the number of requests.
    fn exhaust_budget(&mut self, warm_rate: WarmRate, now: Time) -> usize {
        let mut sent = 0;
        while self.has_budget(warm_rate, now) {
            self.slow_start.record_send(self.index);
            sent += 1;
        }
        sent
    }
}

#[test]
fn a_backend_is_warming_up_until_its_slow_start_is_over() {
    let WarmingBackend { slow_start, .. } = WarmingBackend::added_at(BACKEND_START);

    assert!(slow_start.is_warming_up(5.0, 5.0));
    assert!(slow_start.is_warming_up(5.0, 4.9 + SLOW_START_DURATION));
    assert!(!slow_start.is_warming_up(5.0, 5.0 + SLOW_START_DURATION));
    assert_eq!(slow_start.duration(), SLOW_START_DURATION);
}

#[test]
fn a_backend_has_no_budget_when_it_is_added_or_reset() {
    let mut backend = WarmingBackend::added_at(BACKEND_START);
    let when_added = backend.exhaust_budget(REPORTED_WARM_RATE, BACKEND_START);

    backend.slow_start.reset(backend.index, BACKEND_WARM_AT);
    let after_reset = backend.exhaust_budget(REPORTED_WARM_RATE, BACKEND_WARM_AT);

    assert_eq!([when_added, after_reset], [0, 0]);
}

#[test]
fn accumulates_unused_budget_over_the_overload_window_only() {
    let mut backend = WarmingBackend::added_at(BACKEND_START);

    let sent = backend.exhaust_budget(REPORTED_WARM_RATE, BACKEND_WARM_AT);

    assert_eq!(sent, 2 * 15);
}

#[test]
fn permits_more_requests_with_reported_rates_than_with_the_rate_of_this_balancer() {
    let own_rate = WarmRate::Own(10.0);

    let by_reported_rate =
        WarmingBackend::added_at(BACKEND_START).exhaust_budget(REPORTED_WARM_RATE, BACKEND_WARM_AT);
    let by_own_rate = WarmingBackend::added_at(BACKEND_START).exhaust_budget(own_rate, BACKEND_WARM_AT);

    assert_eq!(by_reported_rate, 2 * 15);
    assert!((20..=21).contains(&by_own_rate), "2 * 0.35 * 3 * 10 requests, not {by_own_rate}");
}

#[test]
fn permitted_rate_rises_with_the_capacity_of_the_backend() {
    let sent_within_a_second = |from: Time| {
        let mut backend = WarmingBackend::added_at(from);
        let times = (1..=100).map(|step| from + 0.01 * f64::from(step));
        times.map(|now| backend.exhaust_budget(REPORTED_WARM_RATE, now)).sum::<usize>()
    };

    let at_first = sent_within_a_second(BACKEND_START);
    let at_last = sent_within_a_second(BACKEND_WARM_AT);

    assert!(at_first <= 5, "{at_first}");
    assert!((10..=20).contains(&at_last), "{at_last}");
}

#[test]
fn permits_a_fraction_of_a_request_at_random_and_consumes_the_fraction_if_not_permitted() {
    let half_a_request_later = BACKEND_WARM_AT + 1.0 / 30.0;
    let mut backend = WarmingBackend::added_at(BACKEND_WARM_AT);
    let mut permitted = 0;
    let mut permitted_after_refusal = 0;

    for _ in 0..1000 {
        backend.slow_start.reset(backend.index, BACKEND_WARM_AT);
        if backend.has_budget(REPORTED_WARM_RATE, half_a_request_later) {
            permitted += 1;
        } else if backend.has_budget(REPORTED_WARM_RATE, half_a_request_later) {
            permitted_after_refusal += 1;
        }
    }

    assert!((450..=550).contains(&permitted), "{permitted}");
    assert_eq!(permitted_after_refusal, 0);
}

#[test]
fn a_send_beyond_the_budget_reduces_the_later_budget() {
    let mut backend = WarmingBackend::added_at(BACKEND_WARM_AT);
    for _ in 0..15 {
        backend.slow_start.record_send(backend.index);
    }

    let a_second_later = backend.exhaust_budget(REPORTED_WARM_RATE, BACKEND_WARM_AT + 1.0);
    let two_seconds_later = backend.exhaust_budget(REPORTED_WARM_RATE, BACKEND_WARM_AT + 2.0);

    assert_eq!([a_second_later, two_seconds_later], [0, 15]);
}
