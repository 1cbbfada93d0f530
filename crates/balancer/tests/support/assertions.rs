//! Assertions about real numbers.

/// The greatest difference of two real numbers that count as equal.
const TOLERANCE: f64 = 1e-9;

/// Asserts that two real numbers are equal but for rounding.
#[track_caller]
pub fn assert_close(actual: f64, expected: f64) {
    assert!((actual - expected).abs() < TOLERANCE, "{actual} is not {expected}");
}
