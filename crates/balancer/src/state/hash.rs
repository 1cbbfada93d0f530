//! Hashing and low-discrepancy ordering for the assignment of backends.

use crate::BackendId;

/// Hashes a backend id, in a different way for each round (the finalizer of SplitMix64).
pub(crate) fn hash_in_round(id: BackendId, round: u64) -> u64 {
    let mut hash = (u64::from(id.0) << 24 ^ round).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}

/// Element `index` of the van der Corput order of `0..count`: however few elements are taken from the
/// front, they are spread over the range. 0 where there is no such element.
pub(crate) fn van_der_corput(index: usize, count: usize) -> usize {
    let size = count.next_power_of_two();
    let shift = usize::BITS - size.trailing_zeros();
    let order = (0..size).map(|i| i.reverse_bits().checked_shr(shift).unwrap_or(0));
    order.filter(|element| *element < count).nth(index).unwrap_or(0)
}
