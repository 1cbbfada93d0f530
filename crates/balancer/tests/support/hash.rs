//! The hashes for the assignment of backends to subsets.

use crate::BackendId;
use crate::support::{bucket_in_round, hash_in_round};
use std::collections::BTreeSet;

/// Returns the ids from 0 to 99 in the order of their hashes in a round.
fn ids_in_hash_order(round: u64) -> Vec<u32> {
    let mut ids: Vec<u32> = (0..100).collect();
    ids.sort_by_key(|id| hash_in_round(BackendId(*id), round));
    ids
}

#[test]
fn each_round_orders_the_backends_differently() {
    let orders: BTreeSet<Vec<u32>> = (0..20).map(ids_in_hash_order).collect();

    assert_eq!(orders.len(), 20);
    assert_eq!(ids_in_hash_order(3), ids_in_hash_order(3));
}

#[test]
fn hashes_of_all_backends_in_all_rounds_are_distinct() {
    let in_round = |round| (0..1000).map(move |id| hash_in_round(BackendId(id), round));

    let hashes: BTreeSet<u64> = (0..10).flat_map(in_round).collect();

    assert_eq!(hashes.len(), 10 * 1000);
}

#[test]
fn ids_are_distributed_evenly_over_the_buckets_in_each_round() {
    let ids = 40_000;
    for (round, buckets) in [(0, 1), (1, 2), (2, 7), (1 << 16, 40), ((1 << 16) + 1, 40)] {
        let mut hits = vec![0; buckets];

        for id in 0..ids {
            hits[bucket_in_round(BackendId(id), round, buckets)] += 1;
        }

        let mean = f64::from(ids) / buckets as f64;
        let deviation = hits.iter().map(|hits| (f64::from(*hits) - mean).abs()).fold(0.0, f64::max);
        assert!(deviation <= 5.0 * mean.sqrt(), "{buckets} buckets: {hits:?}");
    }
}

#[test]
fn buckets_of_two_rounds_are_independent() {
    let ids = 40_000;
    let buckets = 8;
    let mut hits = vec![0; buckets * buckets];

    for id in 0..ids {
        let first = bucket_in_round(BackendId(id), 1 << 16, buckets);
        let second = bucket_in_round(BackendId(id), (1 << 16) + 1, buckets);
        hits[first * buckets + second] += 1;
    }

    let mean = f64::from(ids) / (buckets * buckets) as f64;
    let deviation = hits.iter().map(|hits| (f64::from(*hits) - mean).abs()).fold(0.0, f64::max);
    assert!(deviation <= 5.0 * mean.sqrt(), "{hits:?}");
}

#[test]
fn an_additional_bucket_moves_ids_only_to_the_new_bucket() {
    for buckets in 1..60 {
        for id in 0..500 {
            let before = bucket_in_round(BackendId(id), 3, buckets);

            let after = bucket_in_round(BackendId(id), 3, buckets + 1);

            assert!(after == before || after == buckets, "{buckets} buckets");
        }
    }
}

#[test]
fn returns_the_first_bucket_if_there_is_at_most_one_bucket() {
    assert_eq!(bucket_in_round(BackendId(u32::MAX), 0, 0), 0);
    assert_eq!(bucket_in_round(BackendId(u32::MAX), 0, 1), 0);
}
