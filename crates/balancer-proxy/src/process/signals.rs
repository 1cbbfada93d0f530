//! The signals that the process handles.

use std::io;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// The signals that the process handles. All other signals have their default effect.
pub(super) struct Signals {
    /// SIGHUP, which requests a reload of the configuration.
    pub(super) hangup: Signal,
    /// SIGTERM, which requests a graceful shutdown.
    pub(super) terminate: Signal,
}

impl Signals {
    /// Installs the handlers. A signal that arrives afterwards is kept until it is received.
    ///
    /// # Errors
    ///
    /// Returns an error if the operating system refuses a handler.
    pub(super) fn install() -> io::Result<Self> {
        let hangup = signal(SignalKind::hangup())?;
        let terminate = signal(SignalKind::terminate())?;
        Ok(Self { hangup, terminate })
    }
}
