//! The schedule of polls of the endpoint list: the spread of first polls, and the delays after failed polls.

use crate::decisions::endpoint_polls::EndpointPolls;
use crate::interface::{Settings, Time};
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// The time of the events of these tests, in seconds.
const EVENT_TIME: Time = 100.0;

fn polling_settings() -> Settings {
    Settings { must_poll_endpoints: true, endpoint_poll_limit: 10.0, ..Settings::default() }
}

/// Returns a random generator for each of 500 balancers.
fn random_generators() -> impl Iterator<Item = SmallRng> {
    (0..500).map(SmallRng::seed_from_u64)
}

/// Asserts that all waits lie in a range, and that the shortest and the longest are near its ends.
#[track_caller]
fn assert_waits_fill_range(waits: &[Time], least: Time, greatest: Time) {
    let shortest = waits.iter().copied().fold(f64::INFINITY, f64::min);
    let longest = waits.iter().copied().fold(0.0, f64::max);
    let margin = 0.05 * (greatest - least);
    assert!((least..least + margin).contains(&shortest), "{shortest}");
    assert!((greatest - margin..=greatest).contains(&longest), "{longest}");
}

#[test]
fn spreads_first_polls_over_half_of_the_longest_poll_interval() {
    let first_wait = |mut random: SmallRng| {
        let at = EndpointPolls::default().schedule_first(EVENT_TIME, &polling_settings(), &mut random);
        at.expect("a poll is scheduled") - EVENT_TIME
    };

    let waits: Vec<Time> = random_generators().map(first_wait).collect();

    assert_waits_fill_range(&waits, 0.0, 5.0);
}

#[test]
fn schedules_the_first_poll_once_unless_the_list_is_pushed() {
    let mut random = SmallRng::seed_from_u64(1);
    let mut polls = EndpointPolls::default();

    let while_pushed = polls.schedule_first(EVENT_TIME, &Settings::default(), &mut random);
    let first = polls.schedule_first(EVENT_TIME, &polling_settings(), &mut random);
    let again = polls.schedule_first(EVENT_TIME, &polling_settings(), &mut random);

    assert_eq!(while_pushed, None);
    assert!(first.is_some());
    assert_eq!(again, None);
}

#[test]
fn waits_a_quarter_of_a_second_on_average_before_the_first_retry() {
    let first_wait =
        |mut random: SmallRng| EndpointPolls::default().schedule_retry(EVENT_TIME, &mut random) - EVENT_TIME;

    let waits: Vec<Time> = random_generators().map(first_wait).collect();

    assert_waits_fill_range(&waits, 0.125, 0.375);
}

#[test]
fn starts_a_retry_one_second_on_average_after_the_start_of_a_poll_that_failed_at_once() {
    let second_wait = |mut random: SmallRng| {
        let mut polls = EndpointPolls::default();
        let started_at = polls.schedule_retry(EVENT_TIME, &mut random);
        polls.schedule_retry(started_at, &mut random) - started_at
    };

    let waits: Vec<Time> = random_generators().map(second_wait).collect();

    assert_waits_fill_range(&waits, 0.5, 1.5);
}

#[test]
fn waits_a_quarter_of_a_second_on_average_after_a_poll_that_failed_late() {
    let wait_after_late_failure = |mut random: SmallRng| {
        let mut polls = EndpointPolls::default();
        let failed_at = polls.schedule_retry(EVENT_TIME, &mut random) + 2.0;
        polls.schedule_retry(failed_at, &mut random) - failed_at
    };

    let waits: Vec<Time> = random_generators().map(wait_after_late_failure).collect();

    assert_waits_fill_range(&waits, 0.125, 0.375);
}

/// Returns the waits between polls that are all rejected at once. `list_after` rejections are followed by a
/// list.
fn waits_after_rejections(mut random: SmallRng, list_after: usize) -> [Time; 4] {
    let mut polls = EndpointPolls::default();
    let mut started_at = polls.schedule_retry(EVENT_TIME, &mut random);
    std::array::from_fn(|rejections| {
        if rejections == list_after {
            polls.record_list();
        }
        let next = polls.schedule_retry_after_rejection(started_at, &mut random);
        let wait = next - started_at;
        started_at = next;
        wait
    })
}

#[test]
fn doubles_the_mean_wait_from_one_second_after_each_rejection_up_to_three_seconds() {
    let waits: Vec<_> = random_generators().map(|random| waits_after_rejections(random, 4)).collect();

    for (rejections, mean) in [1.0, 2.0, 3.0, 3.0].into_iter().enumerate() {
        let waits: Vec<Time> = waits.iter().map(|waits| waits[rejections]).collect();
        assert_waits_fill_range(&waits, 0.5 * mean, 1.5 * mean);
    }
}

#[test]
fn begins_again_with_one_second_after_a_list() {
    let waits: Vec<Time> = random_generators().map(|random| waits_after_rejections(random, 2)[2]).collect();

    assert_waits_fill_range(&waits, 0.5, 1.5);
}

#[test]
fn a_failure_between_rejections_is_followed_by_a_poll_as_soon_as_any_failure() {
    let wait_after_failure = |mut random: SmallRng| {
        let mut polls = EndpointPolls::default();
        let mut at = EVENT_TIME;
        for _ in 0..3 {
            at = polls.schedule_retry_after_rejection(at, &mut random);
        }
        let failed_at = at + 2.0;
        polls.schedule_retry(failed_at, &mut random) - failed_at
    };

    let waits: Vec<Time> = random_generators().map(wait_after_failure).collect();

    assert_waits_fill_range(&waits, 0.125, 0.375);
}
