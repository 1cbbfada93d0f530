//! Assertions on floating-point numbers.

/// The greatest absolute difference between two numbers that count as equal.
const ROUNDING_TOLERANCE: f64 = 1e-9;

/// Asserts that two numbers are equal except for rounding.
#[track_caller]
pub fn assert_close(actual: f64, expected: f64) {
    assert!((actual - expected).abs() < ROUNDING_TOLERANCE, "{actual} is not {expected}");
}
