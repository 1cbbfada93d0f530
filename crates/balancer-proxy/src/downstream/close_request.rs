//! The request to close a connection. The connection table makes the request when the connection is evicted
//! or times out. The task that serves the connection closes the connection or withdraws the request.

use std::cell::Cell;
use tokio::sync::Notify;

/// A request to close one connection, which may be made and withdrawn any number of times.
#[derive(Default)]
pub(super) struct CloseRequest {
    is_requested: Cell<bool>,
    notify: Notify,
}

impl CloseRequest {
    /// Requests that the connection be closed.
    pub(super) fn request(&self) {
        self.is_requested.set(true);
        self.notify.notify_one();
    }

    /// Withdraws the request, as the connection is in use again.
    pub(super) fn withdraw(&self) {
        self.is_requested.set(false);
    }

    /// Returns whether the connection is to be closed.
    pub(super) fn is_requested(&self) -> bool {
        self.is_requested.get()
    }

    /// Returns once the close is requested, at once if it has been requested before.
    pub(super) async fn wait(&self) {
        while !self.is_requested() {
            self.notify.notified().await;
        }
    }
}
