//! Why the proxy could not start.

use crate::control::config::ConfigError;
use std::io;
use std::net::SocketAddr;
use thiserror::Error;

/// Why the proxy could not start.
#[derive(Debug, Error)]
pub enum StartError {
    /// The configuration is incomplete or invalid.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// An address can't be listened on, as a rule because another program has it.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address for clients or for management calls.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The operating system refused the runtime or a signal handler.
    #[error(transparent)]
    Io(#[from] io::Error),
}

impl StartError {
    /// Returns a function that adds the address to an error of listening on it.
    pub(super) fn listening_on(address: SocketAddr) -> impl Fn(io::Error) -> Self {
        move |source| Self::Listen { address, source }
    }
}
