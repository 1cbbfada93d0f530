//! Tests of the limit on calls in progress.

use super::{CallsInProgress, MAX_CALLS_IN_PROGRESS};
use std::cell::RefCell;
use std::rc::Rc;
use tokio::sync::watch;
use tokio::task::LocalSet;

/// Runs a test on one thread, as the proxy runs its tasks.
fn run_locally(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().build().unwrap();
    LocalSet::new().block_on(&runtime, test);
}

/// Calls whose discovery responds to all of them at once when the test says so.
struct HeldCalls {
    calls: CallsInProgress,
    /// The numbers of the calls that have got their responses.
    responded: Rc<RefCell<Vec<usize>>>,
    release: watch::Sender<bool>,
}

impl HeldCalls {
    fn new() -> Self {
        let release = watch::Sender::new(false);
        Self { calls: CallsInProgress::default(), responded: Rc::default(), release }
    }

    fn start(&self, number: usize) {
        let responded = self.responded.clone();
        let mut released = self.release.subscribe();
        self.calls.start(async move {
            released.wait_for(|is_released| *is_released).await.unwrap();
            responded.borrow_mut().push(number);
        });
    }

    /// Responds to all calls in progress, and returns the numbers of all calls that have got a response.
    async fn respond(&self) -> Vec<usize> {
        // Each task runs before and after the release.
        tokio::task::yield_now().await;
        self.release.send_replace(true);
        tokio::task::yield_now().await;
        let mut responded = self.responded.borrow().clone();
        responded.sort_unstable();
        responded
    }
}

#[test]
fn earlier_calls_and_the_newest_go_on_at_the_limit() {
    run_locally(async {
        let held = HeldCalls::new();

        for number in 0..MAX_CALLS_IN_PROGRESS + 3 {
            held.start(number);
        }

        let mut expected: Vec<_> = (0..MAX_CALLS_IN_PROGRESS - 1).collect();
        expected.push(MAX_CALLS_IN_PROGRESS + 2);
        assert_eq!(held.respond().await, expected);
    });
}

#[test]
fn calls_that_have_ended_do_not_count() {
    run_locally(async {
        let held = HeldCalls::new();
        for number in 0..MAX_CALLS_IN_PROGRESS {
            held.start(number);
        }
        held.respond().await;

        held.start(MAX_CALLS_IN_PROGRESS);

        assert_eq!(held.respond().await, Vec::from_iter(0..=MAX_CALLS_IN_PROGRESS));
    });
}

#[test]
fn no_call_goes_on_after_all_were_aborted() {
    run_locally(async {
        let held = HeldCalls::new();
        held.start(0);
        held.start(1);

        held.calls.abort_all();

        assert!(held.respond().await.is_empty());
    });
}
