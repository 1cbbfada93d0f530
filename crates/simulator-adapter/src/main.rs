//! Runs instances of the decision module on the simulator's wire: batches of events come on standard
//! input, and each gets one reply on standard output.
//!
//! [`Host`] owns what lasts from batch to batch, the instances and the endpoint lists; [`Batch`] owns
//! the reply to one batch. Input that the protocol does not allow ends the process with an error,
//! before anything is written for the batch that it is in.

mod batch;
mod endpoint_lists;
mod instances;
mod reply;
mod wire;

use crate::wire::WireError;
use batch::{Batch, BatchState, Host};
use std::io::{self, BufRead, Write};
use std::process::ExitCode;
use thiserror::Error;

/// What ends the process.
#[derive(Debug, Error)]
enum AdapterError {
    #[error("cannot read: {0}")]
    Read(#[source] io::Error),
    #[error("cannot write: {0}")]
    Write(#[source] io::Error),
    #[error("batch {sequence}, line {line}: {source}")]
    InBatch { sequence: u64, line: u64, source: WireError },
    #[error("between batches, line {line}: {source}")]
    BetweenBatches { line: u64, source: WireError },
    #[error("batch {sequence}, line {line}: expected GO, got end of input")]
    EndOfInput { sequence: u64, line: u64 },
}

/// Handles all batches of the input, one reply each.
fn run(input: impl BufRead, mut output: impl Write) -> Result<(), AdapterError> {
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

fn main() -> ExitCode {
    match run(io::stdin().lock(), io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
