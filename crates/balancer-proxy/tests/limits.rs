//! The limits of the process: budgets and the capacities that are derived from descriptors and memory.

use balancer_proxy::limits::{
    Budget, Capacities, MAX_BUFFERED_BODY_BYTES, MAX_HEAD_BYTES, OtherProcess, ProcessLimits,
};

const AMPLE_MEMORY_BYTES: usize = 1 << 40;
/// Memory that each client connection is counted with, in bytes.
const CLIENT_CONNECTION_BYTES: usize = 28 << 10;

#[test]
fn a_budget_issues_units_up_to_its_limit() {
    let budget = Budget::new(3);

    let permit = budget.try_acquire(2);

    assert!(permit.is_some());
    assert!(budget.try_acquire(2).is_none());
    assert!(!budget.is_full());
    let _last_unit = budget.try_acquire(1).unwrap();
    assert!(budget.is_full() && !budget.is_exceeded());
}

#[test]
fn a_dropped_permit_returns_all_of_its_units() {
    let budget = Budget::new(3);
    let permit = budget.try_acquire(3).unwrap();

    drop(permit);

    assert!(budget.try_acquire(3).is_some());
}

#[test]
fn a_permit_is_extended_by_available_units_and_returns_them_with_its_own() {
    let budget = Budget::new(3);
    let mut permit = budget.try_acquire(1).unwrap();

    assert!(permit.try_extend(2));
    assert!(!permit.try_extend(1));
    assert!(budget.is_full());
    drop(permit);

    assert!(budget.try_acquire(3).is_some());
}

#[test]
fn permits_beyond_a_lowered_limit_stay_valid_and_block_new_ones() {
    let budget = Budget::new(3);
    let first = budget.try_acquire(1).unwrap();
    let second = budget.try_acquire(1).unwrap();

    budget.set_limit(1);

    assert!(budget.is_exceeded() && budget.is_full());
    drop(first);
    assert!(!budget.is_exceeded());
    assert!(budget.try_acquire(1).is_none());
    drop(second);
    assert!(budget.try_acquire(1).is_some());
}

#[test]
fn each_of_two_processes_gets_half_of_the_limits() {
    let limits = ProcessLimits { file_descriptors: 101, memory_bytes: 4001 };

    assert_eq!(limits.for_this_process(OtherProcess::Absent), limits);
    assert_eq!(
        limits.for_this_process(OtherProcess::Running),
        ProcessLimits { file_descriptors: 50, memory_bytes: 2000 }
    );
}

#[test]
fn clients_get_three_fifths_of_the_descriptors_that_are_not_reserved() {
    let limits = ProcessLimits { file_descriptors: 141, memory_bytes: AMPLE_MEMORY_BYTES };

    let capacities = Capacities::new(limits, 17);

    assert_eq!(capacities.client_connections, 60);
    assert_eq!(capacities.backend_connections, 40);
}

#[test]
fn capacities_do_not_grow_beyond_16384_descriptors() {
    let at_bound = ProcessLimits { file_descriptors: 16_384, memory_bytes: AMPLE_MEMORY_BYTES };
    let above_bound = ProcessLimits { file_descriptors: 1_000_000, ..at_bound };

    assert_eq!(Capacities::new(above_bound, 0), Capacities::new(at_bound, 0));
}

#[test]
fn connections_and_requests_are_bounded_by_their_fractions_of_the_memory() {
    let memory_bytes = 4 * 10 * (MAX_HEAD_BYTES + MAX_BUFFERED_BODY_BYTES);
    let limits = ProcessLimits { file_descriptors: 10_000, memory_bytes };

    let capacities = Capacities::new(limits, 0);

    assert_eq!(capacities.client_connections, memory_bytes * 3 / 8 / CLIENT_CONNECTION_BYTES);
    assert_eq!(capacities.backend_connections, 10);
    assert_eq!(capacities.request_bytes, memory_bytes / 4);
}

#[test]
fn one_connection_of_each_kind_and_one_body_are_possible_within_any_limits() {
    let limits = ProcessLimits { file_descriptors: 0, memory_bytes: 0 };

    let capacities = Capacities::new(limits, 17);

    let expected =
        Capacities { client_connections: 1, backend_connections: 1, request_bytes: MAX_BUFFERED_BODY_BYTES };
    assert_eq!(capacities, expected);
}
