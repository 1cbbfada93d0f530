//! The management protocol: one call a connection, a line of ASCII words each way.

use super::maintenance::NeverListed;
use super::maintenance_record::MaintenanceState;
use std::io;
use std::str::FromStr;
use thiserror::Error;
use tokio::io::{AsyncBufReadExt, AsyncRead, AsyncReadExt, BufReader};

/// Longest line of a call.
pub(super) const MAX_LINE_BYTES: u64 = 256;

/// What operators can call for.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Call {
    /// `status`: whether the proxy is ready.
    Status,
    /// `stats`: the metrics.
    Stats,
    /// `maint-on ID` and `maint-off ID`: puts a backend into maintenance or back into service.
    SetMaintenance {
        /// The id by which discovery lists the backend.
        backend: String,
        /// Its state from now on.
        state: MaintenanceState,
    },
}

/// Why a call is answered with `ERR`, which these texts follow.
#[derive(Debug, Error)]
pub(super) enum CallError {
    /// The line is none of the calls.
    #[error("no call: status, stats, maint-on ID, maint-off ID")]
    Unknown,
    /// The line is too long, or the caller closed the connection before its end.
    #[error("the call did not come whole")]
    Incomplete,
    /// The line took too long to arrive.
    #[error("the call did not come in time")]
    Timeout,
    /// The call names a backend that discovery has never listed.
    #[error("{0}")]
    NeverListed(#[from] NeverListed),
    /// The proxy does not serve clients, or not any more.
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
    /// Reads a call, to the end of its line.
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
