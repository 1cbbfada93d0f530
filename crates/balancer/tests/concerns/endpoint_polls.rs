//! The schedule of polls: the spread of the first ones, and the waits after failures.

use crate::decisions::endpoint_polls::EndpointPolls;
use crate::interface::{Settings, Time};
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// The time of the events of these tests, in seconds.
const NOW: Time = 100.0;

fn polling_settings() -> Settings {
    Settings { must_poll_endpoints: true, endpoint_poll_limit: 10.0, ..Settings::default() }
}

/// Returns a source of random draws for each of many balancers.
fn generators() -> impl Iterator<Item = SmallRng> {
    (0..500).map(SmallRng::seed_from_u64)
}

/// Asserts that waits fill a range, from one end to the other.
#[track_caller]
fn assert_fill(waits: &[Time], least: Time, greatest: Time) {
    let shortest = waits.iter().copied().fold(f64::INFINITY, f64::min);
    let longest = waits.iter().copied().fold(0.0, f64::max);
    let margin = 0.05 * (greatest - least);
    assert!((least..least + margin).contains(&shortest), "{shortest}");
    assert!((greatest - margin..=greatest).contains(&longest), "{longest}");
}

#[test]
fn spreads_first_polls_over_half_of_the_longest_interval() {
    let first_wait = |mut random: SmallRng| {
        let at = EndpointPolls::default().schedule_first(NOW, &polling_settings(), &mut random);
        at.expect("a poll is scheduled") - NOW
    };

    let waits: Vec<Time> = generators().map(first_wait).collect();

    assert_fill(&waits, 0.0, 5.0);
}

#[test]
fn schedules_the_first_poll_once_and_only_where_the_list_is_not_pushed() {
    let mut random = SmallRng::seed_from_u64(1);
    let mut polls = EndpointPolls::default();

    let while_pushed = polls.schedule_first(NOW, &Settings::default(), &mut random);
    let first = polls.schedule_first(NOW, &polling_settings(), &mut random);
    let again = polls.schedule_first(NOW, &polling_settings(), &mut random);

    assert_eq!(while_pushed, None);
    assert!(first.is_some());
    assert_eq!(again, None);
}

#[test]
fn a_first_retry_waits_a_quarter_of_a_second_on_average() {
    let first_wait = |mut random: SmallRng| EndpointPolls::default().schedule_retry(NOW, &mut random) - NOW;

    let waits: Vec<Time> = generators().map(first_wait).collect();

    assert_fill(&waits, 0.125, 0.375);
}

#[test]
fn a_retry_after_a_poll_that_fails_at_once_starts_a_second_after_it_on_average() {
    let second_wait = |mut random: SmallRng| {
        let mut polls = EndpointPolls::default();
        let started_at = polls.schedule_retry(NOW, &mut random);
        polls.schedule_retry(started_at, &mut random) - started_at
    };

    let waits: Vec<Time> = generators().map(second_wait).collect();

    assert_fill(&waits, 0.5, 1.5);
}

#[test]
fn a_retry_after_a_poll_that_fails_late_waits_as_the_first_one_does() {
    let wait_after_late_failure = |mut random: SmallRng| {
        let mut polls = EndpointPolls::default();
        let failed_at = polls.schedule_retry(NOW, &mut random) + 2.0;
        polls.schedule_retry(failed_at, &mut random) - failed_at
    };

    let waits: Vec<Time> = generators().map(wait_after_late_failure).collect();

    assert_fill(&waits, 0.125, 0.375);
}
