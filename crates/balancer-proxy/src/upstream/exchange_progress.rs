//! The state that an exchange shares with the socket of its connection: when data of the response
//! last arrived, and how much of the request has been written.

use super::shared_flag::SharedFlag;
use crate::metrics::Metrics;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::Instant;

/// A response that has begun and of which nothing more arrives for this long counts as invalid.
const RESPONSE_STALL_TIMEOUT: Duration = Duration::from_millis(500);
/// How often a response is checked for such a stall.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// When data of the current response last arrived; unset until its first byte. It is behind a
/// mutex because hyper requires its callback for informational responses to be `Send`.
#[derive(Clone, Default)]
pub struct ResponseActivity(Arc<Mutex<Option<Instant>>>);

impl ResponseActivity {
    /// Data has just arrived.
    pub fn record(&self) {
        self.replace(Some(Instant::now()));
    }

    /// The response has not begun yet.
    pub fn clear(&self) {
        self.replace(None);
    }

    /// Returns once a response that has begun stalls.
    pub async fn stalled(&self) {
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

/// How an exchange is observed and bounded from outside.
#[derive(Clone, Default)]
pub struct ExchangeContext {
    /// Set once the complete request has been written. The engine shares it: when it ends the
    /// attempt, the flag decides whether the request may run.
    pub request_written: SharedFlag,
    /// The last byte of the request is not written after this.
    pub write_deadline: Option<Instant>,
    /// Where a request that has been written is counted.
    pub metrics: Option<Rc<Metrics>>,
}

/// How much of the current request has been written.
#[derive(Default)]
pub struct RequestWriteState {
    options: RefCell<ExchangeContext>,
    /// The end of the body has been handed out: the next write contains the last byte.
    final_data: SharedFlag,
    /// Data that arrives before the request has been written is an error.
    rejects_early_data: Cell<bool>,
}

impl RequestWriteState {
    /// A new request is about to be written.
    pub fn begin(&self, options: &ExchangeContext) {
        options.request_written.set(false);
        self.final_data.set(false);
        self.options.replace(options.clone());
    }

    /// Sets whether data that arrives before the request has been written is an error. Otherwise it
    /// belongs to the response.
    pub fn reject_early_data(&self, reject: bool) {
        self.rejects_early_data.set(reject);
    }

    /// Set by the body of the request once its end has been handed out.
    pub fn final_data(&self) -> &SharedFlag {
        &self.final_data
    }

    /// Data that arrives now can't belong to the response.
    pub fn is_too_early(&self) -> bool {
        self.rejects_early_data.get() && !self.options.borrow().request_written.get()
    }

    /// The deadline for writing the last byte has passed.
    pub fn is_write_deadline_exceeded(&self) -> bool {
        self.options.borrow().write_deadline.is_some_and(|deadline| Instant::now() >= deadline)
    }

    /// The complete request has been written. It is counted once.
    pub fn finish(&self) {
        let mut options = self.options.borrow_mut();
        options.request_written.set(true);
        if let Some(metrics) = options.metrics.take() {
            metrics.count_written_attempt();
        }
    }
}
