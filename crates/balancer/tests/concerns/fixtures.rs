//! Backends and comparisons that the tests of several concerns start from.

use crate::interface::{BackendId, Endpoint};
use crate::support::{BackendIndex, BackendMap};

/// The greatest difference of two real numbers that count as equal.
const TOLERANCE: f64 = 1e-9;

/// Asserts that two real numbers are equal but for rounding.
#[track_caller]
pub fn assert_close(actual: f64, expected: f64) {
    assert!((actual - expected).abs() < TOLERANCE, "{actual} is not {expected}");
}

/// Returns the indices of the first backends of a balancer.
pub fn backend_indices<const COUNT: usize>() -> [BackendIndex; COUNT] {
    let mut backends = BackendMap::default();
    std::array::from_fn(|_| {
        let index = backends.next_index();
        backends.insert(index, ());
        index
    })
}

/// Returns an endpoint in service.
pub fn endpoint(id: u32) -> Endpoint {
    Endpoint { id: BackendId(id), ..Endpoint::default() }
}
