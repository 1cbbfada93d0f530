//! Traffic: the rates of sends and successful responses, and the expected latencies.

use super::fixtures::request_class;
use crate::decisions::traffic::{LoadState, Traffic};
use crate::interface::{ClassIndex, Effect, RequestClass, Settings, Time};
use crate::support::tests::assertions::assert_close;

/// The time constant of rates if the longest latency objective is 1 s, in seconds.
const RATE_TIME_CONSTANT: Time = 8.0;
/// The latency objective of the first class, in seconds.
const LATENCY_OBJECTIVE: Time = 1.0;
/// The index of the first class.
const FIRST_CLASS: ClassIndex = ClassIndex(0);

/// Returns settings with `count` classes, which have a latency objective of 1 s.
fn settings_with_classes(count: usize) -> Settings {
    let classes = vec![request_class("class", Effect::Safe); count];
    Settings { classes, ..Settings::default() }
}

/// Returns the state before any traffic, with one class.
fn traffic_of_one_class() -> Traffic {
    let mut traffic = Traffic::starting_at(0.0);
    traffic.apply_settings(&settings_with_classes(1), &[None]);
    traffic
}

/// Records ten sends per second from time 0 until `end`.
fn record_ten_sends_per_second(traffic: &mut Traffic, end: Time) {
    let sends = (10.0 * end) as u32;
    for send in 0..=sends {
        traffic.record_send(0.1 * f64::from(send));
    }
}

#[test]
fn time_constant_follows_the_longest_latency_objective_and_is_never_zero() {
    let mut traffic = traffic_of_one_class();
    let with_one_class = traffic.time_constant();
    let longer = RequestClass { latency_objective: 2.0 * LATENCY_OBJECTIVE, ..RequestClass::default() };
    let with_longer = Settings { classes: vec![RequestClass::default(), longer], ..Settings::default() };
    let without_times = Settings { clock_resolution: 0.0, ..settings_with_classes(0) };

    traffic.apply_settings(&with_longer, &[None, None]);
    let with_longer_class = traffic.time_constant();
    traffic.apply_settings(&without_times, &[]);

    assert_close(with_one_class, RATE_TIME_CONSTANT);
    assert_close(with_longer_class, 2.0 * RATE_TIME_CONSTANT);
    assert!(traffic.time_constant() > 0.0);
}

#[test]
fn measures_sends_and_successes_separately_and_decays_both_rates() {
    let mut traffic = traffic_of_one_class();

    record_ten_sends_per_second(&mut traffic, 100.0);
    traffic.record_success(100.0);
    let sends = traffic.sends_per_second(100.0);
    let successes = traffic.successes_per_second(100.0);
    let sends_later = traffic.sends_per_second(100.0 + 10.0 * RATE_TIME_CONSTANT);

    assert!((sends - 10.0).abs() < 0.1, "{sends}");
    assert!((successes - 1.0 / RATE_TIME_CONSTANT).abs() < 0.01, "{successes}");
    assert!(sends_later < 0.01, "{sends_later}");
}

#[test]
fn the_first_latencies_have_the_weights_of_a_plain_mean_even_under_overload() {
    let mut traffic = traffic_of_one_class();
    let before_the_first = traffic.expected_latency(FIRST_CLASS);

    traffic.record_latency(FIRST_CLASS, 0.1, LATENCY_OBJECTIVE, LoadState::Overloaded);
    traffic.record_latency(FIRST_CLASS, 0.2, LATENCY_OBJECTIVE, LoadState::Normal);

    assert_close(before_the_first, 0.0);
    assert_close(traffic.expected_latency(FIRST_CLASS), 0.15);
    assert_close(traffic.overall_expected_latency(), 0.15);
    assert_close(traffic.latency(FIRST_CLASS).samples(), 2.0);
}

#[test]
fn a_later_latency_has_less_weight_under_overload() {
    let rise_after_many = |load: LoadState| {
        let mut traffic = traffic_of_one_class();
        for _ in 0..50 {
            traffic.record_latency(FIRST_CLASS, 0.1, LATENCY_OBJECTIVE, LoadState::Normal);
        }
        traffic.record_latency(FIRST_CLASS, 0.2, LATENCY_OBJECTIVE, load);
        traffic.expected_latency(FIRST_CLASS) - 0.1
    };

    let normal = rise_after_many(LoadState::Normal);
    let overloaded = rise_after_many(LoadState::Overloaded);

    assert_close(normal, 0.002);
    assert_close(overloaded, 0.0001);
}

#[test]
fn caps_a_latency_at_a_quarter_of_the_latency_objective() {
    let mut traffic = traffic_of_one_class();

    traffic.record_latency(FIRST_CLASS, 0.9 * LATENCY_OBJECTIVE, LATENCY_OBJECTIVE, LoadState::Normal);

    assert_close(traffic.expected_latency(FIRST_CLASS), 0.25 * LATENCY_OBJECTIVE);
}

#[test]
fn keeps_the_expected_latency_of_a_class_when_settings_change() {
    let mut traffic = traffic_of_one_class();
    traffic.record_latency(FIRST_CLASS, 0.1, LATENCY_OBJECTIVE, LoadState::Normal);

    traffic.apply_settings(&settings_with_classes(2), &[None, Some(FIRST_CLASS)]);

    let removed_class = ClassIndex(2);
    assert_close(traffic.expected_latency(FIRST_CLASS), 0.0);
    assert_close(traffic.expected_latency(ClassIndex(1)), 0.1);
    assert_close(traffic.expected_latency(removed_class), 0.0);
    assert_close(traffic.overall_expected_latency(), 0.1);
}

#[test]
fn average_calls_in_flight_are_known_once_half_of_the_window_has_filled() {
    let mut traffic = traffic_of_one_class();
    traffic.record_latency(FIRST_CLASS, 0.2, LATENCY_OBJECTIVE, LoadState::Normal);

    // The window decays with the time constant, so half of it has filled after ln 2 = 0.69 time constants.
    record_ten_sends_per_second(&mut traffic, 0.68 * RATE_TIME_CONSTANT);
    let before = traffic.observed_calls_in_flight();
    traffic.record_send(0.7 * RATE_TIME_CONSTANT);
    let after = traffic.observed_calls_in_flight().expect("the average number of calls in flight is known");

    assert_eq!(before, None);
    assert!((after - 10.0 * 0.2).abs() < 0.1, "{after}");
    assert_close(traffic.expected_calls_in_flight(0.7 * RATE_TIME_CONSTANT), after);
}
