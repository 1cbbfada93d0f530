//! The management protocol: one call for each connection, as a line of ASCII words, and one response.

use super::maintenance::NeverListed;
use super::maintenance_record::MaintenanceState;
use std::io;
use std::str::FromStr;
use thiserror::Error;
use tokio::io::{AsyncBufReadExt, AsyncRead, AsyncReadExt, BufReader};

/// Longest line of a call, in bytes, including the line feed.
pub(super) const MAX_LINE_BYTES: u64 = 256;

/// A call of an operator.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Call {
    /// `status`: reports whether the proxy is ready.
    Status,
    /// `stats`: reports the metrics.
    Stats,
    /// `maint-on ID` and `maint-off ID`: puts a backend into maintenance or back into service.
    SetMaintenance {
        /// The id by which discovery lists the backend.
        backend: String,
        /// The state that the backend gets.
        state: MaintenanceState,
    },
}

/// The error of a call. The response to the call is `ERR` with the text of the error.
#[derive(Debug, Error)]
pub(super) enum CallError {
    /// The line is not one of the calls.
    #[error("no call: status, stats, maint-on ID, maint-off ID")]
    Unknown,
    /// The line is longer than [`MAX_LINE_BYTES`], or the caller closed the connection before the end of
    /// the line.
    #[error("the call did not come whole")]
    Incomplete,
    /// The line did not arrive before the timeout.
    #[error("the call did not come in time")]
    Timeout,
    /// The call names a backend that discovery has never listed.
    #[error("{0}")]
    NeverListed(#[from] NeverListed),
    /// The proxy does not accept requests, or no backend in service has been listed since the
    /// proxy started.
    #[error("not ready")]
    NotReady,
    /// The metrics could not be serialized.
    #[error("no figures: {0}")]
    Metrics(#[from] serde_json::Error),
    /// The connection failed.
    #[error("{0}")]
    Io(#[from] io::Error),
}

impl Call {
    /// Reads a line and parses the call in it.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails, or the line is incomplete or not one of the calls.
    pub(super) async fn read(stream: impl AsyncRead + Unpin) -> Result<Self, CallError> {
        let mut line = Vec::new();
        BufReader::new(stream.take(MAX_LINE_BYTES)).read_until(b'\n', &mut line).await?;
        let line = line.strip_suffix(b"\n").ok_or(CallError::Incomplete)?;
        let line = std::str::from_utf8(line).map_err(|_| CallError::Unknown)?;
        line.parse()
    }

    fn set_maintenance(backend: &str, state: MaintenanceState) -> Self {
        Self::SetMaintenance { backend: backend.to_string(), state }
    }
}

impl FromStr for Call {
    type Err = CallError;

    fn from_str(line: &str) -> Result<Self, CallError> {
        let words: Vec<&str> = line.split_ascii_whitespace().collect();
        match words[..] {
            ["status"] => Ok(Self::Status),
            ["stats"] => Ok(Self::Stats),
            ["maint-on", backend] => Ok(Self::set_maintenance(backend, MaintenanceState::InMaintenance)),
            ["maint-off", backend] => Ok(Self::set_maintenance(backend, MaintenanceState::InService)),
            _ => Err(CallError::Unknown),
        }
    }
}

#[cfg(test)]
mod tests;
