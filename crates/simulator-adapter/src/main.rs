//! The program `simulator-adapter`: reads batches of events from standard input, and writes one reply for
//! each batch to standard output. The documentation of the library describes the protocol.

use std::io;
use std::process::ExitCode;

fn main() -> ExitCode {
    match simulator_adapter::run(io::stdin().lock(), io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
