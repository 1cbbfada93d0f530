//! Retransmission control: the retry timers, T1, and the probability of a retry.

use crate::decisions::retransmission::{RetryTimer, first_interval, retry_probability};
use crate::interface::Time;
use crate::support::LatencyEstimate;
use crate::support::tests::assertions::assert_close;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// T1 of the calls of these tests, in seconds.
const T1: Time = 0.5;
/// The resolution of timers, in seconds.
const CLOCK_RESOLUTION: Time = 0.01;
/// The average send rate, at which ten calls are sent in one T1.
const SENDS_PER_SECOND: f64 = 20.0;

/// Returns an estimate from samples with the weights of a plain mean.
fn estimate_from_latencies(latencies: &[Time]) -> LatencyEstimate {
    let mut estimate = LatencyEstimate::default();
    for (index, latency) in latencies.iter().enumerate() {
        estimate.record(*latency, 1.0 / (index + 1) as f64);
    }
    estimate
}

#[test]
fn retry_timers_fire_after_t1_and_then_at_doubling_intervals() {
    let dispatched_at = 100.0;
    let mut random = SmallRng::seed_from_u64(1);
    let mut timer = RetryTimer::new(T1);
    let mut intervals = Vec::new();

    for _ in 0..3 {
        intervals.push(timer.next_time(dispatched_at, &mut random) - dispatched_at);
        timer.record_firing();
    }

    for (interval, expected) in intervals.into_iter().zip([T1, 3.0 * T1, 7.0 * T1]) {
        assert!((interval / expected - 1.0).abs() <= 0.1, "{interval} is not about {expected}");
    }
}

#[test]
fn spreads_retry_timers_evenly_within_a_tenth_of_t1_on_both_sides() {
    let mut random = SmallRng::seed_from_u64(1);
    let timer = RetryTimer::new(T1);

    let firings: Vec<Time> = (0..1000).map(|_| timer.next_time(0.0, &mut random)).collect();

    let least = firings.iter().copied().fold(f64::INFINITY, f64::min);
    let greatest = firings.iter().copied().fold(0.0, f64::max);
    let early = firings.iter().filter(|time| **time < T1).count();
    assert!((0.9 * T1..0.91 * T1).contains(&least), "{least}");
    assert!((1.09 * T1..=1.1 * T1).contains(&greatest), "{greatest}");
    assert!((450..=550).contains(&early), "{early}");
}

#[test]
fn has_fired_once_only_between_the_first_and_the_second_firing() {
    let mut timer = RetryTimer::new(T1);
    let mut has_fired_once = [timer.has_fired_once(); 3];

    for state in &mut has_fired_once[1..] {
        timer.record_firing();
        *state = timer.has_fired_once();
    }

    assert_eq!(has_fired_once, [false, true, false]);
}

#[test]
fn t1_is_the_mean_latency_plus_four_mean_deviations() {
    let latency = estimate_from_latencies(&[0.1, 0.2, 0.1, 0.2]);

    let t1 = first_interval(&latency, 100.0, CLOCK_RESOLUTION);

    assert_close(t1, latency.mean() + 4.0 * latency.deviation());
}

#[test]
fn t1_leaves_time_for_a_retry_and_is_at_least_the_clock_resolution() {
    let unknown = LatencyEstimate::default();
    let slow = estimate_from_latencies(&[5.0]);
    let instant = estimate_from_latencies(&[0.0]);

    assert_close(first_interval(&unknown, 2.0, CLOCK_RESOLUTION), 0.8);
    assert_close(first_interval(&slow, 2.0, CLOCK_RESOLUTION), 0.8);
    assert_close(first_interval(&instant, 2.0, CLOCK_RESOLUTION), CLOCK_RESOLUTION);
    assert_close(first_interval(&unknown, 0.0, CLOCK_RESOLUTION), CLOCK_RESOLUTION);
    assert_close(first_interval(&slow, -1.0, CLOCK_RESOLUTION), CLOCK_RESOLUTION);
}

#[test]
fn retry_probability_falls_linearly_from_one_to_a_tenth_between_the_thresholds() {
    let unanswered = [0, 10, 11, 12, 15, 1000];

    let probabilities = unanswered.map(|calls| retry_probability(T1, calls, SENDS_PER_SECOND, 0.0));

    for (probability, expected) in probabilities.into_iter().zip([1.0, 1.0, 0.82, 0.64, 0.1, 0.1]) {
        assert_close(probability, expected);
    }
}

#[test]
fn retry_probability_is_one_for_a_single_unanswered_call_of_a_quiet_balancer() {
    let quiet_sends_per_second = 0.01;

    assert_close(retry_probability(T1, 1, quiet_sends_per_second, 0.0), 1.0);
    assert_close(retry_probability(T1, 2, quiet_sends_per_second, 0.0), 0.1);
}

#[test]
fn overload_level_lowers_the_retry_probability_to_no_less_than_a_tenth() {
    let levels = [0.0, 0.25, 0.9, 1.0];

    let probabilities = levels.map(|level| retry_probability(T1, 0, SENDS_PER_SECOND, level));

    for (probability, expected) in probabilities.into_iter().zip([1.0, 0.75, 0.1, 0.1]) {
        assert_close(probability, expected);
    }
}
