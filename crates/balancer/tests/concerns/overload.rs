//! Overload detection: the overload level that follows from the excess of calls in flight.

use crate::decisions::overload::{LoadSample, OverloadDetector};
use crate::interface::Time;
use crate::support::tests::assertions::assert_close;

/// The expected number of calls in flight.
const EXPECTED_CALLS: f64 = 100.0;
/// The size of one deviation at [`EXPECTED_CALLS`], in calls.
const CALLS_PER_DEVIATION: f64 = 35.0;
/// The time constant of the send rate, in seconds.
const RATE_TIME_CONSTANT: Time = 10.0;

/// Returns a sample with this excess, in deviations, at backends that have many calls in flight.
fn sample_with_excess(deviations: f64) -> LoadSample {
    let calls_in_flight = EXPECTED_CALLS + deviations * CALLS_PER_DEVIATION;
    LoadSample { calls_in_flight, expected_calls: EXPECTED_CALLS, calls_per_backend: 50.0 }
}

/// Returns the overload level of a first sample.
fn level_of_first_sample(sample: LoadSample) -> f64 {
    OverloadDetector::starting_at(0.0).update(sample, 0.0, RATE_TIME_CONSTANT)
}

#[test]
fn level_rises_from_zero_at_the_excess_threshold_to_one_at_twice_the_threshold() {
    let deviations = [-1.0, 0.0, 3.5, 5.25, 7.0, 20.0];

    let levels = deviations.map(|excess| level_of_first_sample(sample_with_excess(excess)));

    for (level, expected) in levels.into_iter().zip([0.0, 0.0, 0.0, 0.5, 1.0, 1.0]) {
        assert_close(level, expected);
    }
}

#[test]
fn reports_an_overload_for_a_lasting_excess_below_the_initial_threshold() {
    let mut detector = OverloadDetector::starting_at(0.0);
    let sample = sample_with_excess(2.0);

    let at_first = detector.update(sample, 0.0, RATE_TIME_CONSTANT);
    let after_a_while = detector.update(sample, RATE_TIME_CONSTANT, RATE_TIME_CONSTANT);

    assert_close(at_first, 0.0);
    assert_close(after_a_while, 1.0);
}

#[test]
fn threshold_falls_by_four_deviations_for_each_deviation_beyond_the_tolerated_mean_excess() {
    // After this time, the mean excess is half of a lasting excess.
    let half_life = 0.15 * RATE_TIME_CONSTANT * 2f64.ln();
    let level_at_half_life = |excess: f64| {
        let mut detector = OverloadDetector::starting_at(0.0);
        detector.update(sample_with_excess(excess), half_life, RATE_TIME_CONSTANT)
    };

    let with_threshold_of_one_and_a_half = level_at_half_life(1.8);
    let with_threshold_of_half = level_at_half_life(2.4);

    assert_close(with_threshold_of_one_and_a_half, 1.8 / 1.5 - 1.0);
    assert_close(with_threshold_of_half, 1.0);
}

#[test]
fn threshold_rises_again_after_an_overload() {
    let mut detector = OverloadDetector::starting_at(0.0);
    detector.update(sample_with_excess(2.0), RATE_TIME_CONSTANT, RATE_TIME_CONSTANT);

    detector.update(sample_with_excess(0.0), 3.0 * RATE_TIME_CONSTANT, RATE_TIME_CONSTANT);
    let level = detector.update(sample_with_excess(2.0), 3.0 * RATE_TIME_CONSTANT, RATE_TIME_CONSTANT);

    assert_close(level, 0.0);
}

#[test]
fn reports_no_overload_up_to_nine_calls_in_flight_at_each_backend() {
    let excessive = sample_with_excess(20.0);

    let at_the_limit = level_of_first_sample(LoadSample { calls_per_backend: 9.0, ..excessive });
    let beyond_the_limit = level_of_first_sample(LoadSample { calls_per_backend: 9.1, ..excessive });

    assert_close(at_the_limit, 0.0);
    assert_close(beyond_the_limit, 1.0);
}

#[test]
fn a_deviation_is_at_least_one_call_if_no_calls_are_expected() {
    let sample_with_calls = |calls_in_flight| LoadSample {
        calls_in_flight,
        expected_calls: 0.0,
        calls_per_backend: calls_in_flight.max(10.0),
    };

    let at_the_threshold = level_of_first_sample(sample_with_calls(3.5));
    let at_twice_the_threshold = level_of_first_sample(sample_with_calls(7.0));

    assert_close(at_the_threshold, 0.0);
    assert_close(at_twice_the_threshold, 1.0);
}
