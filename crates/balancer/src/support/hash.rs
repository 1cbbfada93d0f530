//! Hashes for the assignment of backends to subsets.

use crate::BackendId;

/// The increment of SplitMix64: 2^64 over the golden ratio.
const GOLDEN_RATIO: u64 = 0x9e37_79b9_7f4a_7c15;
/// An odd number that tells the draws from different ranges apart.
const RANGE_MULTIPLIER: u64 = 0xd1b5_4a32_d192_ed03;

/// Returns the hash of a backend id, which differs by round.
pub(crate) fn hash_in_round(id: BackendId, round: u64) -> u64 {
    mix(seed_in_round(id, round))
}

/// Returns the bucket of a backend id among `buckets`, or 0 where there are none. The bucket differs by round.
/// One more bucket takes an even share of the ids from each of the others, and moves no other id.
///
/// An id draws from a range that is twice as large as the one below, until a draw decides: one in the upper
/// half is the bucket if there is such a bucket, and is repeated otherwise; one in the lower half leaves the
/// choice to the smaller ranges, which do not depend on the number of buckets.
pub(crate) fn bucket_in_round(id: BackendId, round: u64, buckets: usize) -> usize {
    let seed = seed_in_round(id, round);
    let buckets = buckets.max(1) as u64;
    let mut range = buckets.next_power_of_two();
    while range > 1 {
        let half = range / 2;
        let mut state = mix(seed.wrapping_add(range.wrapping_mul(RANGE_MULTIPLIER)));
        let mut draw = state & (range - 1);
        while draw >= buckets {
            state = mix(state);
            draw = state & (range - 1);
        }
        if draw >= half {
            return draw as usize;
        }
        range = half;
    }
    0
}

/// Returns a number that no other id in this round, nor the same id in another round, has.
fn seed_in_round(id: BackendId, round: u64) -> u64 {
    (u64::from(id.0) << 24 ^ round).wrapping_mul(GOLDEN_RATIO)
}

/// Mixes all bits: the finalizer of SplitMix64.
fn mix(mut hash: u64) -> u64 {
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
