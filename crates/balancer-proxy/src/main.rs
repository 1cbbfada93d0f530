//! The program `balancer-proxy`: runs the proxy on a single-threaded runtime, and turns a failed start
//! into a log line and an exit code.

use balancer_proxy::log;
use balancer_proxy::process::{self, StartError};
use std::process::ExitCode;
use tokio::runtime;
use tokio::task::LocalSet;

fn main() -> ExitCode {
    match run_on_new_runtime() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log!("balancer-proxy: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run_on_new_runtime() -> Result<(), StartError> {
    let runtime = runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, process::run())
}
