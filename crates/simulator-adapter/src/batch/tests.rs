//! Tests of the messages that report panics.

use super::failure_message;
use std::panic::catch_unwind;

#[test]
fn reports_a_panic_on_one_line() {
    let formatted = catch_unwind(|| panic!("index {}\nout of range", 3)).unwrap_err();
    let plain = catch_unwind(|| panic!("plain")).unwrap_err();

    assert_eq!(failure_message(formatted.as_ref()), "panic: index 3 out of range");
    assert_eq!(failure_message(plain.as_ref()), "panic: plain");
}
