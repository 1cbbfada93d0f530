//! Tests of the signal of a flush.

use super::FlushSignal;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, Wake, Waker};

/// Counts how often a task is woken.
#[derive(Default)]
struct WakeCounter(AtomicUsize);

impl Wake for WakeCounter {
    fn wake(self: Arc<Self>) {
        self.0.fetch_add(1, Ordering::SeqCst);
    }
}

#[test]
fn a_flush_before_the_wait_does_not_count() {
    let signal = FlushSignal::default();
    let mut cx = Context::from_waker(Waker::noop());

    signal.record_flush();

    assert_eq!(signal.poll_flushed(&mut cx), Poll::Pending);
    assert_eq!(signal.poll_flushed(&mut cx), Poll::Pending);
}

#[test]
fn a_flush_during_the_wait_ends_this_wait_and_no_other() {
    let signal = FlushSignal::default();
    let mut cx = Context::from_waker(Waker::noop());
    assert_eq!(signal.poll_flushed(&mut cx), Poll::Pending);

    signal.record_flush();

    assert_eq!(signal.poll_flushed(&mut cx), Poll::Ready(()));
    assert_eq!(signal.poll_flushed(&mut cx), Poll::Pending);
}

#[test]
fn the_task_is_woken_when_the_wait_begins_and_when_it_ends() {
    let signal = FlushSignal::default();
    let counter = Arc::new(WakeCounter::default());
    let waker = Waker::from(counter.clone());
    let mut cx = Context::from_waker(&waker);

    let _ = signal.poll_flushed(&mut cx);
    let wakes_at_begin = counter.0.load(Ordering::SeqCst);
    let _ = signal.poll_flushed(&mut cx);
    let wakes_during_wait = counter.0.load(Ordering::SeqCst);
    signal.record_flush();
    let wakes_at_end = counter.0.load(Ordering::SeqCst);

    assert_eq!((wakes_at_begin, wakes_during_wait, wakes_at_end), (1, 1, 2));
}
