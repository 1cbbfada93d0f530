//! The request to close a connection. The table makes it when the connection is evicted or times out;
//! the task that serves the connection carries it out, or withdraws it.

use std::cell::Cell;
use tokio::sync::Notify;

/// Whether a connection is to be closed.
#[derive(Default)]
pub struct CloseRequest {
    is_requested: Cell<bool>,
    notify: Notify,
}

impl CloseRequest {
    /// Requests that the connection is closed.
    pub fn request(&self) {
        self.is_requested.set(true);
        self.notify.notify_one();
    }

    /// Withdraws the request: the connection is in use again.
    pub fn withdraw(&self) {
        self.is_requested.set(false);
    }

    /// Whether the connection is to be closed.
    pub fn is_requested(&self) -> bool {
        self.is_requested.get()
    }

    /// Returns once [`Self::request`] has been called. Calls before the wait count as one.
    pub async fn requested(&self) {
        self.notify.notified().await;
    }
}
