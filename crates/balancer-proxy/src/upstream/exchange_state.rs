//! The state that an exchange shares with the socket of its connection: the time at which data of the
//! response last arrived, and the write progress of the request.

use super::completion_flag::CompletionFlag;
use crate::metrics::Metrics;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::Instant;

/// Time without new data after which a response that has started is treated as invalid.
const RESPONSE_STALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval between two checks for a stalled response.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The time at which data of the current response last arrived; `None` until the first byte arrives. The
/// time is behind a mutex because hyper requires its callback for informational responses to be `Send`.
#[derive(Clone, Default)]
pub(super) struct ResponseActivity(Arc<Mutex<Option<Instant>>>);

impl ResponseActivity {
    /// Records that data has just arrived.
    pub(super) fn record(&self) {
        self.replace(Some(Instant::now()));
    }

    /// Clears the time: the response has not started yet.
    pub(super) fn clear(&self) {
        self.replace(None);
    }

    /// Returns once a response that has started stalls.
    pub(super) async fn wait_for_stall(&self) {
        while !self.is_stalled() {
            tokio::time::sleep(STALL_CHECK_INTERVAL).await;
        }
    }

    fn replace(&self, last_arrival: Option<Instant>) {
        if let Ok(mut current) = self.0.lock() {
            *current = last_arrival;
        }
    }

    fn is_stalled(&self) -> bool {
        self.0.lock().is_ok_and(|last| last.is_some_and(|last| last.elapsed() >= RESPONSE_STALL_TIMEOUT))
    }
}

/// The limits of an exchange and the records of its progress, as set by the caller of the exchange.
#[derive(Clone, Default)]
pub(super) struct ExchangeContext {
    /// Set once the complete request has been written. The engine shares this flag: when the engine ends the
    /// attempt, the flag shows whether the backend may execute the request.
    pub(super) request_written: CompletionFlag,
    /// The time after which the last byte of the request is not written; `None` without such a limit.
    pub(super) write_deadline: Option<Instant>,
    /// The metrics that count a request that has been written; `None` if the request is not counted.
    pub(super) metrics: Option<Rc<Metrics>>,
}

/// The kind of data that arrives before the request has been written completely.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum EarlyInput {
    /// The data belongs to the response.
    #[default]
    PartOfResponse,
    /// The data belongs to an earlier exchange, and makes the connection unusable.
    Stale,
}

/// The write progress of the current request of a connection.
#[derive(Default)]
pub(super) struct RequestWriteState {
    context: RefCell<ExchangeContext>,
    /// Set once the body has yielded its end: the next write contains the last byte of the request.
    end_of_body: CompletionFlag,
    early_input: Cell<EarlyInput>,
}

impl RequestWriteState {
    /// Resets the write progress for a new request.
    pub(super) fn start_request(&self, context: &ExchangeContext) {
        context.request_written.clear();
        self.end_of_body.clear();
        self.context.replace(context.clone());
    }

    /// Sets the kind of data that may arrive before the request has been written completely.
    pub(super) fn set_early_input(&self, early_input: EarlyInput) {
        self.early_input.set(early_input);
    }

    /// Returns the flag that the body of the request sets once the body has yielded its end.
    pub(super) fn end_of_body(&self) -> &CompletionFlag {
        &self.end_of_body
    }

    /// Returns whether data that arrives now cannot belong to the response.
    pub(super) fn is_input_unexpected(&self) -> bool {
        self.early_input.get() == EarlyInput::Stale && !self.context.borrow().request_written.is_set()
    }

    /// Returns whether the deadline for writing the last byte has passed.
    pub(super) fn is_write_deadline_exceeded(&self) -> bool {
        self.context.borrow().write_deadline.is_some_and(|deadline| Instant::now() >= deadline)
    }

    /// Records that the complete request has been written, and counts the request once.
    pub(super) fn finish_request(&self) {
        let mut context = self.context.borrow_mut();
        context.request_written.set();
        if let Some(metrics) = context.metrics.take() {
            metrics.count_written_attempt();
        }
    }
}
