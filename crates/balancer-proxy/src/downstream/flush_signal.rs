//! A signal that all bytes of a response that the HTTP library holds have been written to the socket.
//!
//! The library ends a connection as soon as the body of a response fails, and discards what it has not
//! written. [`super::response_body`] awaits the signal before it reports a failure, so that the client gets
//! all bytes of the response that were passed to the library. [`super::client_socket`] gives the signal.

use std::cell::RefCell;
use std::task::{Context, Poll, Waker};

/// The progress of the flush that is awaited.
#[derive(Default)]
enum FlushState {
    /// No flush is awaited.
    #[default]
    NotAwaited,
    /// A flush is awaited, and wakes this task.
    Awaited(Waker),
    /// A flush has taken place since it was awaited.
    Flushed,
}

/// A signal that the HTTP library has written all bytes that it holds.
#[derive(Default)]
pub(super) struct FlushSignal {
    state: RefCell<FlushState>,
}

impl FlushSignal {
    /// Records that the HTTP library has written all bytes that it holds.
    pub(super) fn record_flush(&self) {
        let mut state = self.state.borrow_mut();
        if let FlushState::Awaited(waker) = &*state {
            waker.wake_by_ref();
            *state = FlushState::Flushed;
        }
    }

    /// Returns `Ready` once a flush has taken place since the first call. Wakes the task at once after the
    /// first call: the library flushes whenever its connection is polled, but need not do so in the poll that
    /// makes this call.
    pub(super) fn poll_flushed(&self, cx: &mut Context<'_>) -> Poll<()> {
        let mut state = self.state.borrow_mut();
        match &*state {
            FlushState::Flushed => {
                *state = FlushState::NotAwaited;
                return Poll::Ready(());
            }
            FlushState::NotAwaited => cx.waker().wake_by_ref(),
            FlushState::Awaited(_) => {}
        }
        *state = FlushState::Awaited(cx.waker().clone());
        Poll::Pending
    }
}

#[cfg(test)]
mod tests;
