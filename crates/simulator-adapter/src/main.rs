//! The program `simulator-adapter`: reads batches of events from standard input, and writes one reply for
//! each to standard output. The library of the same name has the model.

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
