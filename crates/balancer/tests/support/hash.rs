//! The hash and the sequence by which backends are assigned.

use crate::BackendId;
use crate::support::{hash_in_round, van_der_corput};
use std::collections::BTreeSet;

/// Returns the first backends in the order of their hashes in a round.
fn shuffled(round: u64) -> Vec<u32> {
    let mut ids: Vec<u32> = (0..100).collect();
    ids.sort_by_key(|id| hash_in_round(BackendId(*id), round));
    ids
}

#[test]
fn each_round_shuffles_the_backends_in_its_own_way() {
    let orders: BTreeSet<Vec<u32>> = (0..20).map(shuffled).collect();

    assert_eq!(orders.len(), 20);
    assert_eq!(shuffled(3), shuffled(3));
}

#[test]
fn backends_of_all_rounds_have_hashes_of_their_own() {
    let in_round = |round| (0..1000).map(move |id| hash_in_round(BackendId(id), round));

    let hashes: BTreeSet<u64> = (0..10).flat_map(in_round).collect();

    assert_eq!(hashes.len(), 10 * 1000);
}

#[test]
fn the_sequence_halves_the_widest_gaps_and_skips_what_lies_beyond_the_range() {
    let sequence = |count: usize| (0..count).map(|index| van_der_corput(index, count)).collect::<Vec<_>>();

    assert_eq!(sequence(8), [0, 4, 2, 6, 1, 5, 3, 7]);
    assert_eq!(sequence(5), [0, 4, 2, 1, 3]);
    assert_eq!(sequence(1), [0]);
}

#[test]
fn the_sequence_has_each_element_of_the_range_once() {
    for count in 1..=40 {
        let elements: BTreeSet<usize> = (0..count).map(|index| van_der_corput(index, count)).collect();

        assert_eq!(elements, (0..count).collect(), "{count}");
    }
}

#[test]
fn an_element_that_the_sequence_does_not_have_is_zero() {
    assert_eq!(van_der_corput(8, 8), 0);
    assert_eq!(van_der_corput(5, 5), 0);
    assert_eq!(van_der_corput(0, 0), 0);
}
