//! Which part of its life the server is in: starting, serving, or shutting down. The server records the
//! steps; requests and connections read them.

use super::shutdown_schedule::ShutdownSchedule;
use std::cell::Cell;
use tokio::sync::watch;

/// Which part of its life the server is in.
pub struct Lifecycle {
    /// The server has begun to accept connections.
    has_started: Cell<bool>,
    /// Set at SIGTERM.
    shutdown: Cell<Option<ShutdownSchedule>>,
    /// Another process has taken the new connections since SIGTERM.
    has_successor: Cell<bool>,
    /// Connections are to close as soon as they have no request.
    closing: watch::Sender<bool>,
}

impl Lifecycle {
    /// The server before it accepts connections.
    pub fn new() -> Self {
        Self {
            has_started: Cell::new(false),
            shutdown: Cell::new(None),
            has_successor: Cell::new(false),
            closing: watch::Sender::new(false),
        }
    }

    /// Records that the server has begun to accept connections.
    pub fn start(&self) {
        self.has_started.set(true);
    }

    /// Whether the server accepts connections, and SIGTERM has not arrived.
    pub fn is_serving(&self) -> bool {
        self.has_started.get() && self.shutdown.get().is_none()
    }

    /// Records that SIGTERM has arrived.
    pub fn begin_shutdown(&self, schedule: ShutdownSchedule) {
        self.shutdown.set(Some(schedule));
    }

    /// Records that another process takes the new connections.
    pub fn set_has_successor(&self, has_successor: bool) {
        self.has_successor.set(has_successor);
    }

    /// The times of the shutdown, if SIGTERM has arrived.
    pub fn shutdown(&self) -> Option<ShutdownSchedule> {
        self.shutdown.get()
    }

    /// Whether another process has taken the new connections since SIGTERM.
    pub fn has_successor(&self) -> bool {
        self.has_successor.get()
    }

    /// Asks connections to close as soon as they have no request.
    pub fn close_connections(&self) {
        self.closing.send_replace(true);
    }

    /// Returns once connections are to close.
    pub async fn connections_closing(&self) {
        let mut closing = self.closing.subscribe();
        // The sender lives as long as `self`, so that this can't fail.
        let _ = closing.wait_for(|closing| *closing).await;
    }

    /// Whether a connection should close after its current response.
    pub fn is_last_response(&self) -> bool {
        self.has_successor.get() || *self.closing.borrow()
    }
}
