//! Functions for values that appear in several tables.

use crate::report::Value;

/// Returns a count in percent of the total; 0 if the total is 0.
pub fn percent(part: f64, total: f64) -> Value {
    Value::from(if total > 0.0 { 100.0 * part / total } else { 0.0 })
}

/// Returns the quantile of a sorted slice at a fraction from 0 (first element) to 1 (last element);
/// `None` if the slice is empty.
pub fn quantile<T>(sorted: &[T], fraction: f64) -> Option<&T> {
    let index = (fraction * sorted.len() as f64) as usize;
    sorted.get(index.min(sorted.len().saturating_sub(1)))
}
