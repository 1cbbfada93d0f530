//! The lifecycle of the server: starting, serving, shutting down. The server records each transition; the
//! handler of requests and the tasks of connections read the current state.

use super::shutdown_schedule::ShutdownSchedule;
use std::cell::Cell;
use tokio::sync::watch;

/// The current state in the lifecycle of the server.
pub(super) struct Lifecycle {
    /// Set once the server accepts connections.
    has_started: Cell<bool>,
    /// The schedule of the shutdown, from SIGTERM on.
    shutdown: Cell<Option<ShutdownSchedule>>,
    /// Set if another process accepts the new connections after SIGTERM.
    has_successor: Cell<bool>,
    /// Becomes true once each connection is to close as soon as it has no request.
    closing: watch::Sender<bool>,
}

impl Lifecycle {
    /// Creates the lifecycle of a server that does not accept connections yet.
    pub(super) fn new() -> Self {
        Self {
            has_started: Cell::new(false),
            shutdown: Cell::new(None),
            has_successor: Cell::new(false),
            closing: watch::Sender::new(false),
        }
    }

    /// Records that the server accepts connections.
    pub(super) fn start(&self) {
        self.has_started.set(true);
    }

    /// Returns whether the server accepts connections and SIGTERM has not arrived.
    pub(super) fn is_serving(&self) -> bool {
        self.has_started.get() && self.shutdown.get().is_none()
    }

    /// Records that SIGTERM has arrived.
    pub(super) fn start_shutdown(&self, schedule: ShutdownSchedule) {
        self.shutdown.set(Some(schedule));
    }

    /// Records that another process accepts the new connections.
    pub(super) fn record_successor(&self) {
        self.has_successor.set(true);
    }

    /// Returns the schedule of the shutdown, if SIGTERM has arrived.
    pub(super) fn shutdown(&self) -> Option<ShutdownSchedule> {
        self.shutdown.get()
    }

    /// Returns whether another process has accepted the new connections since SIGTERM.
    pub(super) fn has_successor(&self) -> bool {
        self.has_successor.get()
    }

    /// Notifies connections that each is to close as soon as it has no request.
    pub(super) fn close_connections(&self) {
        self.closing.send_replace(true);
    }

    /// Returns once connections are to close.
    pub(super) async fn wait_until_closing(&self) {
        let mut closing = self.closing.subscribe();
        // The wait fails only if the sender is dropped, and `self` owns the sender.
        let _ = closing.wait_for(|closing| *closing).await;
    }

    /// Returns whether a connection should close after its current response.
    pub(super) fn is_last_response(&self) -> bool {
        self.has_successor.get() || *self.closing.borrow()
    }
}

#[cfg(test)]
mod tests;
