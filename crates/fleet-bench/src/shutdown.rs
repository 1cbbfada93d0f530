//! Graceful shutdown of a run on Ctrl-C or SIGTERM.

use crate::error::Error;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use tokio::signal::unix::{SignalKind, signal};

/// Interval at which a sleep checks for a signal.
const SIGNAL_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// A flag that Ctrl-C and SIGTERM set. A run returns an error once it finds the flag set. The child processes
/// of the run are killed when their owners are dropped.
#[derive(Clone, Debug)]
pub struct ShutdownSignal(Arc<AtomicBool>);

impl ShutdownSignal {
    /// Installs handlers for both signals. From then on the signals only set the returned flag.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Io`] if the system does not install the handlers.
    pub fn install() -> Result<Self, Error> {
        let shutdown = Self(Arc::default());
        let handler = shutdown.clone();
        let runtime = tokio::runtime::Builder::new_current_thread().enable_io().build()?;
        let (mut interrupt, mut terminate) = {
            let _runtime_context = runtime.enter();
            (signal(SignalKind::interrupt())?, signal(SignalKind::terminate())?)
        };
        std::thread::spawn(move || {
            runtime.block_on(async {
                tokio::select! {
                    _ = interrupt.recv() => {}
                    _ = terminate.recv() => {}
                }
            });
            handler.0.store(true, Ordering::Relaxed);
        });
        Ok(shutdown)
    }

    /// Checks for a signal.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Interrupted`] once a signal has arrived.
    pub fn check(&self) -> Result<(), Error> {
        if self.0.load(Ordering::Relaxed) { Err(Error::Interrupted) } else { Ok(()) }
    }

    /// Sleeps for this duration, or until a signal arrives.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Interrupted`] once a signal has arrived.
    pub fn sleep(&self, duration: Duration) -> Result<(), Error> {
        self.sleep_until(Instant::now() + duration)
    }

    /// Sleeps until this time, or until a signal arrives.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Interrupted`] once a signal has arrived.
    pub fn sleep_until(&self, wake_at: Instant) -> Result<(), Error> {
        loop {
            self.check()?;
            let remaining = wake_at.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return Ok(());
            }
            std::thread::sleep(remaining.min(SIGNAL_POLL_INTERVAL));
        }
    }
}
