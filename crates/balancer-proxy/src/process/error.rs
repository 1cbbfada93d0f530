//! Why the proxy could not start.

use crate::control::config::ConfigError;
use std::io;
use thiserror::Error;

/// Why the proxy could not start.
#[derive(Debug, Error)]
pub enum StartError {
    /// The configuration is incomplete or invalid.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The operating system refused the runtime, a signal handler or an address.
    #[error(transparent)]
    Io(#[from] io::Error),
}
