//! Hashes for the assignment of backends to subsets.

use crate::BackendId;

/// The golden gamma, which is the increment of SplitMix64: 2^64 divided by the golden ratio.
const GOLDEN_GAMMA: u64 = 0x9e37_79b9_7f4a_7c15;
/// An odd factor that gives the draws from each range a different seed.
const RANGE_MULTIPLIER: u64 = 0xd1b5_4a32_d192_ed03;

/// Returns the hash of a backend id in a round. Each round has a different hash function.
pub(crate) fn hash_in_round(id: BackendId, round: u64) -> u64 {
    mix(seed_in_round(id, round))
}

/// Returns the bucket of a backend id in a round, from 0 to `buckets` - 1, or 0 if `buckets` is 0.
///
/// The function is a consistent hash, and differs from round to round. If one bucket is added, an even share
/// of the ids of each bucket moves to the new bucket, and no other id moves.
///
/// The ranges of the draws are powers of two, from the smallest one that is not less than `buckets` down. A
/// draw that is not less than `buckets` is repeated. A draw in the upper half of the range is the bucket.
/// After a draw in the lower half, the next draw is from a range of half the size; a range of 1 means
/// bucket 0. The draws from the smaller ranges do not depend on the number of buckets, so that ids keep the
/// buckets that these draws select.
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

/// Returns a seed that is unique to the pair of backend id and round.
fn seed_in_round(id: BackendId, round: u64) -> u64 {
    (u64::from(id.0) << 24 ^ round).wrapping_mul(GOLDEN_GAMMA)
}

/// Returns a hash in which each bit depends on all bits of the argument: the finalizer of SplitMix64.
fn mix(mut hash: u64) -> u64 {
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
