//! Tests of the restart of tasks after a panic.

use super::restart_on_panic;
use std::cell::Cell;
use std::rc::Rc;

#[test]
fn restarts_a_task_that_panics_until_it_completes() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap();
    let starts = Rc::new(Cell::new(0));
    let counter = starts.clone();
    let task = move || {
        counter.set(counter.get() + 1);
        let start = counter.get();
        async move { assert!(start > 2, "the first two starts panic") }
    };

    tokio::task::LocalSet::new().block_on(&runtime, restart_on_panic(task));

    assert_eq!(starts.get(), 3);
}
