//! The errors that prevent the proxy from starting.

use crate::control::config::ConfigError;
use std::io;
use std::net::SocketAddr;
use thiserror::Error;

/// An error that prevents the proxy from starting.
#[derive(Debug, Error)]
pub enum StartError {
    /// The configuration is incomplete or invalid.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// An address cannot be bound, usually because another program listens on it.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address for clients or for management calls.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The operating system refused the runtime, a signal handler or the address of a listener.
    #[error("cannot start: {0}")]
    Io(#[from] io::Error),
}

impl StartError {
    /// Returns a function that adds `address` to an error from binding that address.
    pub(super) fn listening_on(address: SocketAddr) -> impl Fn(io::Error) -> Self {
        move |source| Self::Listen { address, source }
    }
}
