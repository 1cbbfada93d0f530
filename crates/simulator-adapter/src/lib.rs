//! Hosts many instances of the decision module on the wire of a simulator.
//!
//! # Model
//!
//! The simulator plays clients, backends, discovery and the network, and asks this program for the decisions
//! of each proxy. One process hosts any number of *instances*: each is one [`balancer::Balancer`], by the
//! name that the simulator gave the instance. Instances share no state and no random numbers, so that an
//! instance acts the same whichever others are in its process.
//!
//! The simulator owns the clock. It writes a *batch* of events with one common time to standard input, and
//! waits for the *reply*, which has the actions of all instances on these events. The program reads no
//! clock, starts no thread and writes nothing but replies to standard output: the same input always has the
//! same output.
//!
//! A batch is text, one event a line. `SELECT` names the instance that the lines after it are about:
//!
//! | lines | meaning | handled by |
//! | --- | --- | --- |
//! | `BATCH`, `GO` | a batch starts, with its time and number, and is complete | `batch` |
//! | `SELECT` | the instance of the next events | `batch`, `instances` |
//! | `HELLO`, `TEARDOWN` | an instance starts with its settings, or stops | `instances`, `wire` |
//! | `ROSTER`, `ITEM` | an endpoint list and its entries, for all instances | `endpoint_lists` |
//! | `UPDATE` | an instance is notified of an endpoint list | `endpoint_lists` |
//! | `QUERY`, `BEGUN`, `RESULT`, `CLIENT_LEFT`, `TICK_DUE`, `HEALTH` | events of the decision module | `batch` |
//! | `PEER` | a message of another instance, which the decisions do not use | skipped |
//!
//! [`wire`] converts lines to events and actions to lines. Classes, tenants and zones have names on the wire
//! and indices in the decision module: an instance keeps the names of its settings, and all instances share
//! the numbers of zones, as they share the endpoint lists. Settings are translated by the crate
//! `balancer-settings`, in common with the proxy.
//!
//! # Failures
//!
//! Input that the protocol does not allow ends the program with one line on standard error that names batch
//! and line ([`AdapterError`]); nothing is written for that batch, as a part of a reply would be taken for
//! all of it. A panic of the decision module is reported in the reply as the failure of its instance, in
//! place of the actions on that event: actions from before the panic are not to be trusted.
//!
//! # Example
//!
//! An instance starts with one class of safe requests, learns of backend 51, and sends it a request:
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
use batch::{Batch, BatchState, Host};
use std::io::{self, BufRead, Write};
use thiserror::Error;

/// An error that ends the program.
#[derive(Debug, Error)]
pub enum AdapterError {
    /// The input cannot be read, or is not UTF-8.
    #[error("cannot read: {0}")]
    Read(#[source] io::Error),
    /// A reply cannot be written.
    #[error("cannot write: {0}")]
    Write(#[source] io::Error),
    /// A line within a batch is invalid.
    #[error("batch {sequence}, line {line}: {source}")]
    InBatch {
        /// The number of the batch.
        sequence: u64,
        /// The number of the line in the input, from 1.
        line: u64,
        /// The fault of the line.
        source: WireError,
    },
    /// A line that should start a batch is invalid.
    #[error("between batches, line {line}: {source}")]
    BetweenBatches {
        /// The number of the line in the input, from 1.
        line: u64,
        /// The fault of the line.
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
/// [`AdapterError`] if the input cannot be read or is invalid, or a reply cannot be written.
pub fn run(input: impl BufRead, mut output: impl Write) -> Result<(), AdapterError> {
    let mut host = Host::default();
    let mut batch: Option<Batch> = None;
    let mut line = 0;
    for text in input.lines() {
        let text = text.map_err(AdapterError::Read)?;
        line += 1;
        let Some(mut open) = batch.take() else {
            let started = Batch::start(&mut host, &text);
            batch = Some(started.map_err(|source| AdapterError::BetweenBatches { line, source })?);
            continue;
        };
        let handled = open.handle_line(&mut host, &text);
        let sequence = open.sequence();
        match handled.map_err(|source| AdapterError::InBatch { sequence, line, source })? {
            BatchState::Complete => write(&mut output, &open.into_reply()).map_err(AdapterError::Write)?,
            BatchState::Incomplete => batch = Some(open),
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
