//! Attempt counts: the attempts in flight at each backend, and the attempts that refer to a backend.

use super::fixtures::backend_indices;
use crate::decisions::attempt_counts::AttemptCounts;
use crate::support::BackendIndex;

/// Returns the counts of backends without attempts.
fn counts_without_attempts(backends: &[BackendIndex]) -> AttemptCounts {
    let mut counts = AttemptCounts::default();
    for backend in backends {
        counts.add_backend(*backend);
    }
    counts
}

#[test]
fn counts_attempts_in_flight_by_backend() {
    let [busy, idle] = backend_indices();
    let mut counts = counts_without_attempts(&[busy, idle]);

    counts.increment_in_flight(busy);
    counts.increment_in_flight(busy);
    counts.decrement_in_flight(busy);

    assert_eq!(counts.in_flight(busy), 1);
    assert_eq!(counts.in_flight(idle), 0);
}

#[test]
fn stays_at_zero_when_an_uncounted_attempt_ends() {
    let [backend] = backend_indices();
    let mut counts = counts_without_attempts(&[backend]);

    counts.decrement_in_flight(backend);

    assert_eq!(counts.in_flight(backend), 0);
}

#[test]
fn a_backend_is_referenced_by_an_attempt_in_flight_or_of_an_unfinished_call() {
    let [in_flight, of_unfinished_call, unused] = backend_indices();
    let mut counts = counts_without_attempts(&[in_flight, of_unfinished_call, unused]);

    counts.increment_in_flight(in_flight);
    counts.add_reference(of_unfinished_call);

    assert!(counts.is_referenced(in_flight));
    assert!(counts.is_referenced(of_unfinished_call));
    assert!(!counts.is_referenced(unused));
}

#[test]
fn a_backend_is_not_referenced_after_its_last_attempt() {
    let [backend] = backend_indices();
    let mut counts = counts_without_attempts(&[backend]);
    counts.increment_in_flight(backend);
    counts.add_reference(backend);

    counts.decrement_in_flight(backend);
    let is_referenced_by_call = counts.is_referenced(backend);
    counts.remove_reference(backend);

    assert!(is_referenced_by_call);
    assert!(!counts.is_referenced(backend));
}

#[test]
fn a_backend_added_at_a_reused_index_has_no_attempts() {
    let [backend] = backend_indices();
    let mut counts = counts_without_attempts(&[backend]);
    counts.increment_in_flight(backend);

    counts.add_backend(backend);

    assert_eq!(counts.in_flight(backend), 0);
    assert!(!counts.is_referenced(backend));
}
