//! The rate of events over a decaying window.

use super::assertions::assert_close;
use crate::support::DecayingRate;

/// The time constant, in seconds.
const TIME_CONSTANT: f64 = 10.0;

/// Returns a rate after ten events per second from time 0 to `seconds`.
fn rate_of_ten_events_per_second(seconds: u32) -> DecayingRate {
    let mut rate = DecayingRate::starting_at(0.0);
    for event in 1..=10 * seconds {
        rate.record(0.1 * f64::from(event), TIME_CONSTANT);
    }
    rate
}

#[test]
fn rate_is_zero_before_any_time_has_passed() {
    let mut rate = DecayingRate::starting_at(5.0);

    rate.record(5.0, TIME_CONSTANT);

    assert_close(rate.per_second(), 0.0);
    assert_close(rate.span(), 0.0);
}

#[test]
fn rate_equals_the_event_rate_before_and_after_the_window_has_filled() {
    for seconds in [1, 5, 100] {
        let rate = rate_of_ten_events_per_second(seconds).per_second();

        assert!((rate - 10.0).abs() < 0.5, "{rate} after {seconds} s");
    }
}

#[test]
fn span_approaches_the_time_constant() {
    let spans = [10, 20, 1000].map(|seconds| rate_of_ten_events_per_second(seconds).span());

    assert_close(spans[0], TIME_CONSTANT * (1.0 - (-1f64).exp()));
    assert_close(spans[1], TIME_CONSTANT * (1.0 - (-2f64).exp()));
    assert_close(spans[2], TIME_CONSTANT);
}

#[test]
fn rate_falls_by_a_factor_of_e_in_one_time_constant_without_events() {
    let mut rate = rate_of_ten_events_per_second(1000);
    let before = rate.per_second();

    rate.decay(1000.0 + TIME_CONSTANT, TIME_CONSTANT);

    assert_close(rate.per_second(), before * (-1f64).exp());
}

#[test]
fn a_decay_to_an_earlier_time_keeps_the_rate() {
    let mut rate = rate_of_ten_events_per_second(100);
    let before = rate.per_second();

    rate.decay(99.0, TIME_CONSTANT);

    assert_close(rate.per_second(), before);
}
