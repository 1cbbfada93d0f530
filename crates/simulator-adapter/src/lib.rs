//! Runs instances of the decision module for a simulator, which sends events and receives actions over a text
//! protocol.
//!
//! # Model
//!
//! The simulator simulates clients, backends, discovery and the network, and obtains the decisions of each
//! proxy from this program. One process runs any number of *instances*. Each instance is one
//! [`balancer::Balancer`], with the name that the simulator gave the instance. Instances share no decision
//! state and no random numbers, so that the actions of an instance do not depend on the other instances of
//! the process.
//!
//! The simulator owns the clock. It writes a *batch* of events with one common time to standard input, and
//! waits for the *reply*, which contains the actions of all instances for these events. The program reads no
//! clock, starts no thread and writes nothing but replies to standard output. The same input always yields
//! the same output.
//!
//! A batch is text with one event per line. `SELECT` names the instance that the next lines apply to:
//!
//! | lines | meaning | handled by |
//! | --- | --- | --- |
//! | `BATCH`, `GO` | a batch starts, with its time and number, or is complete | `batch` |
//! | `SELECT` | the instance of the next events | `batch`, `instances` |
//! | `HELLO`, `TEARDOWN` | an instance starts with its settings, or stops | `instances`, `wire` |
//! | `ROSTER`, `ITEM` | an endpoint list and its entries, for all instances | `endpoint_lists` |
//! | `UPDATE` | an instance is notified of an endpoint list | `endpoint_lists` |
//! | `QUERY`, `BEGUN`, `RESULT`, `CLIENT_LEFT`, `TICK_DUE`, `HEALTH` | decision module events | `batch` |
//! | `PEER` | a message of another instance, which the decision module does not use | skipped |
//!
//! [`wire`] converts lines to events and actions to lines. Classes, tenants and zones have names on the wire
//! and indices in the decision module: an instance keeps the names of its settings, and all instances share
//! the numbers of zones, as they share the endpoint lists. Settings are translated by the crate
//! `balancer-settings`, which the proxy uses as well.
//!
//! # Failures
//!
//! Input that violates the protocol ends the program with one line on standard error, which gives the numbers
//! of the batch and the line ([`AdapterError`]). Nothing is written for that batch, as the simulator would
//! treat a partial reply as a complete one. A panic of the decision module is reported in the reply as a
//! failure of its instance, instead of the actions for that event, as actions from before the panic may be
//! wrong.
//!
//! # Example
//!
//! An instance starts with one class of safe requests, is notified of backend 51, and sends it a request:
//!
//! ```
//! let input = "\
//! BATCH 1 1
//! SELECT proxy-1
//! HELLO 7 classes.count=1 classes.0.name=look classes.0.effect=free classes.0.hard-limit=2.0
//! ROSTER 0 1
//! ITEM small 0 51 1 east in_service -
//! UPDATE 1 all 0
//! QUERY 00000000000000a1 0 - 0.5 0 - look -
//! GO
//! ";
//! let mut output = Vec::new();
//!
//! simulator_adapter::run(input.as_bytes(), &mut output)?;
//!
//! let reply = String::from_utf8(output)?;
//! assert!(reply.starts_with("BY proxy-1\n"));
//! assert!(reply.contains("\nPLACE 00000000000000a1 "));
//! assert!(reply.ends_with("\nEND 1\n"));
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod batch;
mod endpoint_lists;
mod instances;
mod reply;
pub mod wire;

use crate::wire::WireError;
use batch::{AdapterState, Batch, BatchProgress};
use std::io::{self, BufRead, Write};
use thiserror::Error;

/// An error that ends the program.
#[derive(Debug, Error)]
pub enum AdapterError {
    /// The input cannot be read, or is not UTF-8.
    #[error("cannot read the input: {0}")]
    Read(#[source] io::Error),
    /// A reply cannot be written.
    #[error("cannot write a reply: {0}")]
    Write(#[source] io::Error),
    /// A line within a batch is invalid.
    #[error("batch {sequence}, line {line}: {source}")]
    InBatch {
        /// The number of the batch.
        sequence: u64,
        /// The number of the line in the input, from 1.
        line: u64,
        /// The error of the line.
        source: WireError,
    },
    /// A line that should start a batch is invalid.
    #[error("between batches, line {line}: {source}")]
    BetweenBatches {
        /// The number of the line in the input, from 1.
        line: u64,
        /// The error of the line.
        source: WireError,
    },
    /// The input ends within a batch.
    #[error("batch {sequence}, line {line}: expected GO, got end of input")]
    EndOfInput {
        /// The number of the batch.
        sequence: u64,
        /// The number of the last line, from 1.
        line: u64,
    },
}

/// Handles all batches of the input, and writes one reply for each.
///
/// # Errors
///
/// Returns [`AdapterError`] if the input cannot be read or is invalid, or a reply cannot be written.
pub fn run(input: impl BufRead, mut output: impl Write) -> Result<(), AdapterError> {
    let mut state = AdapterState::default();
    let mut batch: Option<Batch> = None;
    let mut line = 0;
    for text in input.lines() {
        let text = text.map_err(AdapterError::Read)?;
        line += 1;
        let Some(mut open) = batch.take() else {
            let started = Batch::start(&mut state, &text);
            batch = Some(started.map_err(|source| AdapterError::BetweenBatches { line, source })?);
            continue;
        };
        let handled = open.handle_line(&mut state, &text);
        let sequence = open.sequence();
        match handled.map_err(|source| AdapterError::InBatch { sequence, line, source })? {
            BatchProgress::Complete => write(&mut output, &open.into_reply()).map_err(AdapterError::Write)?,
            BatchProgress::Incomplete => batch = Some(open),
        }
    }
    match batch {
        Some(open) => Err(AdapterError::EndOfInput { sequence: open.sequence(), line }),
        None => Ok(()),
    }
}

fn write(output: &mut impl Write, reply: &str) -> io::Result<()> {
    output.write_all(reply.as_bytes())?;
    output.flush()
}
