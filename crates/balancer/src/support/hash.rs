//! Hash and low-discrepancy sequence for the assignment of backends to subsets.

use crate::BackendId;

/// Returns the hash of a backend id, which differs by round. The mixing is the finalizer of SplitMix64.
pub(crate) fn hash_in_round(id: BackendId, round: u64) -> u64 {
    let mut hash = (u64::from(id.0) << 24 ^ round).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}

/// Returns element `index` of the van der Corput sequence over `0..count`, or 0 where there is no such
/// element. Any number of elements from the front of the sequence is spread evenly over the range.
pub(crate) fn van_der_corput(index: usize, count: usize) -> usize {
    let size = count.next_power_of_two();
    let shift = usize::BITS - size.trailing_zeros();
    let order = (0..size).map(|i| i.reverse_bits().checked_shr(shift).unwrap_or(0));
    order.filter(|element| *element < count).nth(index).unwrap_or(0)
}
