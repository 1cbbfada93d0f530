//! Maintenance: from its begin to the end of the slow start that follows.

use crate::decisions::maintenance::{Maintenance, PriorUse};
use crate::interface::{BackendId, Time};

const BACKEND: BackendId = BackendId(1);
const OTHER: BackendId = BackendId(2);
/// The time at which the maintenance begins, in seconds.
const BEGIN: Time = 10.0;
/// The time at which the maintenance ends, in seconds.
const END: Time = 20.0;
const SLOW_START_DURATION: Time = 5.0;

/// Returns the state in which a backend that was used is in maintenance.
fn maintenance_begun() -> Maintenance {
    let mut maintenance = Maintenance::default();
    maintenance.begin(BACKEND, BEGIN, PriorUse::Used);
    maintenance
}

#[test]
fn contains_a_backend_from_the_begin_to_the_end_of_its_maintenance() {
    let mut maintenance = maintenance_begun();
    let contained = [BACKEND, OTHER].map(|backend| maintenance.contains(backend));

    maintenance.end(BACKEND, END, None);

    assert_eq!(contained, [true, false]);
    assert!(!maintenance.contains(BACKEND));
}

#[test]
fn a_backend_counts_as_started_at_its_return_unless_its_start_is_listed() {
    let assumed_start = |listed_start: Option<Time>| {
        let mut maintenance = maintenance_begun();
        maintenance.end(BACKEND, END, listed_start);
        maintenance.assumed_start(BACKEND)
    };

    assert_eq!(maintenance_begun().assumed_start(BACKEND), None);
    assert_eq!(assumed_start(None), Some(END));
    assert_eq!(assumed_start(Some(BEGIN - 0.1)), Some(END));
    assert_eq!(assumed_start(Some(BEGIN)), None);
}

#[test]
fn ignores_the_end_of_a_maintenance_that_has_not_begun_or_has_ended() {
    let mut maintenance = maintenance_begun();
    maintenance.end(BACKEND, END, None);

    maintenance.end(BACKEND, END + 1.0, None);
    maintenance.end(OTHER, END, None);

    assert_eq!(maintenance.assumed_start(BACKEND), Some(END));
    assert_eq!(maintenance.assumed_start(OTHER), None);
}

#[test]
fn remembers_prior_use_until_the_slow_start_after_the_return_is_over() {
    let mut maintenance = maintenance_begun();
    maintenance.begin(OTHER, BEGIN, PriorUse::Unused);
    maintenance.end(BACKEND, END, None);
    let used = [BACKEND, OTHER].map(|backend| maintenance.was_used(backend));

    maintenance.prune_returned(END + SLOW_START_DURATION - 0.1, SLOW_START_DURATION);
    let is_used_during_slow_start = maintenance.was_used(BACKEND);
    maintenance.prune_returned(END + SLOW_START_DURATION, SLOW_START_DURATION);

    assert_eq!(used, [true, false]);
    assert!(is_used_during_slow_start);
    assert!(!maintenance.was_used(BACKEND));
}

#[test]
fn does_not_forget_a_backend_in_maintenance_however_long_that_lasts() {
    let mut maintenance = maintenance_begun();

    maintenance.prune_returned(BEGIN + 1e9, SLOW_START_DURATION);

    assert!(maintenance.contains(BACKEND));
    assert!(maintenance.was_used(BACKEND));
}
