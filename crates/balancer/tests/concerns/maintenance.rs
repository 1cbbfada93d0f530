//! Maintenance: the state of a backend from the beginning of its maintenance to the end of the slow start
//! after its return.

use crate::decisions::maintenance::{Maintenance, PriorUse};
use crate::interface::{BackendId, Time};

/// The backend that is in maintenance.
const MAINTAINED_BACKEND: BackendId = BackendId(1);
/// A backend that is not in maintenance unless a test begins its maintenance.
const OTHER_BACKEND: BackendId = BackendId(2);
/// The time at which the maintenance begins, in seconds.
const MAINTENANCE_BEGIN: Time = 10.0;
/// The time at which the maintenance ends, in seconds.
const MAINTENANCE_END: Time = 20.0;
/// The duration of slow start, in seconds.
const SLOW_START_DURATION: Time = 5.0;

/// Returns the state in which [`MAINTAINED_BACKEND`], which was used before, is in maintenance.
fn maintenance_of_used_backend() -> Maintenance {
    let mut maintenance = Maintenance::default();
    maintenance.begin(MAINTAINED_BACKEND, MAINTENANCE_BEGIN, PriorUse::Used);
    maintenance
}

#[test]
fn contains_a_backend_only_during_its_maintenance() {
    let mut maintenance = maintenance_of_used_backend();
    let contained = [MAINTAINED_BACKEND, OTHER_BACKEND].map(|backend| maintenance.contains(backend));

    maintenance.end(MAINTAINED_BACKEND, MAINTENANCE_END, None);

    assert_eq!(contained, [true, false]);
    assert!(!maintenance.contains(MAINTAINED_BACKEND));
}

#[test]
fn assumes_a_start_at_the_return_unless_the_list_shows_a_start_during_the_maintenance() {
    let assumed_start = |listed_start: Option<Time>| {
        let mut maintenance = maintenance_of_used_backend();
        maintenance.end(MAINTAINED_BACKEND, MAINTENANCE_END, listed_start);
        maintenance.assumed_start(MAINTAINED_BACKEND)
    };

    assert_eq!(maintenance_of_used_backend().assumed_start(MAINTAINED_BACKEND), None);
    assert_eq!(assumed_start(None), Some(MAINTENANCE_END));
    assert_eq!(assumed_start(Some(MAINTENANCE_BEGIN - 0.1)), Some(MAINTENANCE_END));
    assert_eq!(assumed_start(Some(MAINTENANCE_BEGIN)), None);
}

#[test]
fn ignores_the_end_of_maintenance_that_has_not_begun_or_has_already_ended() {
    let mut maintenance = maintenance_of_used_backend();
    maintenance.end(MAINTAINED_BACKEND, MAINTENANCE_END, None);

    maintenance.end(MAINTAINED_BACKEND, MAINTENANCE_END + 1.0, None);
    maintenance.end(OTHER_BACKEND, MAINTENANCE_END, None);

    assert_eq!(maintenance.assumed_start(MAINTAINED_BACKEND), Some(MAINTENANCE_END));
    assert_eq!(maintenance.assumed_start(OTHER_BACKEND), None);
}

#[test]
fn keeps_prior_use_until_the_slow_start_after_the_return_is_over() {
    let mut maintenance = maintenance_of_used_backend();
    maintenance.begin(OTHER_BACKEND, MAINTENANCE_BEGIN, PriorUse::Unused);
    maintenance.end(MAINTAINED_BACKEND, MAINTENANCE_END, None);
    let used = [MAINTAINED_BACKEND, OTHER_BACKEND].map(|backend| maintenance.was_used(backend));

    maintenance.remove_returned(MAINTENANCE_END + SLOW_START_DURATION - 0.1, SLOW_START_DURATION);
    let is_used_during_slow_start = maintenance.was_used(MAINTAINED_BACKEND);
    maintenance.remove_returned(MAINTENANCE_END + SLOW_START_DURATION, SLOW_START_DURATION);

    assert_eq!(used, [true, false]);
    assert!(is_used_during_slow_start);
    assert!(!maintenance.was_used(MAINTAINED_BACKEND));
}

#[test]
fn keeps_the_state_of_a_backend_in_maintenance_without_a_time_limit() {
    let mut maintenance = maintenance_of_used_backend();

    maintenance.remove_returned(MAINTENANCE_BEGIN + 1e9, SLOW_START_DURATION);

    assert!(maintenance.contains(MAINTAINED_BACKEND));
    assert!(maintenance.was_used(MAINTAINED_BACKEND));
}
