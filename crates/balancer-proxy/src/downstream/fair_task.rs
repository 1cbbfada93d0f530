//! A task that lets the runtime poll the system for events each time the task wakes itself.
//!
//! The HTTP library serves up to 16 requests of a connection in a row, and then wakes its own task to go on.
//! A task that is woken while it runs is run again before the runtime asks the system for new events, up to
//! 61 times. One client that sends small requests at full speed, which the proxy answers by itself, so delays
//! each step of all other connections.

use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, Wake, Waker, ready};

/// Tells wakes that a task receives from itself from those that it receives from others.
struct WakeFilter {
    /// The waker of the task.
    task: Mutex<Waker>,
    is_polled: AtomicBool,
    /// Set if the task has been woken while it is polled.
    has_woken_itself: AtomicBool,
}

impl WakeFilter {
    fn start_poll(&self, task: &Waker) {
        self.task.lock().unwrap_or_else(PoisonError::into_inner).clone_from(task);
        self.has_woken_itself.store(false, Ordering::Relaxed);
        self.is_polled.store(true, Ordering::Relaxed);
    }

    /// Ends a poll, and returns whether the task has woken itself.
    fn end_poll(&self) -> bool {
        self.is_polled.store(false, Ordering::Relaxed);
        self.has_woken_itself.load(Ordering::Relaxed)
    }
}

impl Wake for WakeFilter {
    fn wake(self: Arc<Self>) {
        self.wake_by_ref();
    }

    fn wake_by_ref(self: &Arc<Self>) {
        if self.is_polled.load(Ordering::Relaxed) {
            self.has_woken_itself.store(true, Ordering::Relaxed);
        } else {
            self.task.lock().unwrap_or_else(PoisonError::into_inner).wake_by_ref();
        }
    }
}

/// A future that is polled again after it has woken itself only once the runtime has polled the system for
/// events.
pub(super) struct FairTask<F> {
    future: Pin<Box<F>>,
    wake_filter: Arc<WakeFilter>,
    /// Ready once the runtime has polled the system for events; `None` if the future may be polled.
    pause: Option<Pin<Box<dyn Future<Output = ()>>>>,
}

impl<F: Future> FairTask<F> {
    /// Creates the task of a future.
    pub(super) fn new(future: F) -> Self {
        let wake_filter = WakeFilter {
            task: Mutex::new(Waker::noop().clone()),
            is_polled: AtomicBool::new(false),
            has_woken_itself: AtomicBool::new(false),
        };
        Self { future: Box::pin(future), wake_filter: Arc::new(wake_filter), pause: None }
    }
}

impl<F: Future> Future for FairTask<F> {
    type Output = F::Output;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<F::Output> {
        if let Some(pause) = &mut self.pause {
            ready!(pause.as_mut().poll(cx));
            self.pause = None;
        }
        let waker = Waker::from(self.wake_filter.clone());
        self.wake_filter.start_poll(cx.waker());
        let output = self.future.as_mut().poll(&mut Context::from_waker(&waker));
        let has_woken_itself = self.wake_filter.end_poll();
        if output.is_pending() && has_woken_itself {
            let mut pause = Box::pin(tokio::task::yield_now());
            // The first poll asks the runtime to wake the task after it has polled the system for events.
            let _ = pause.as_mut().poll(cx);
            self.pause = Some(pause);
        }
        output
    }
}

#[cfg(test)]
mod tests;
