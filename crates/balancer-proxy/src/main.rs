//! The program `balancer-proxy`: runs the proxy on a single-threaded runtime, and turns a failed start
//! into a log line and an exit code.

use balancer_proxy::process::{self, StartError};
use balancer_proxy::{log, log_writer};
use std::process::ExitCode;
use tokio::runtime;
use tokio::task::LocalSet;

fn main() -> ExitCode {
    // The hook of the standard library would wait for the log to be read.
    std::panic::set_hook(Box::new(|panic| log!("balancer-proxy: {panic}")));
    let exit_code = match run_on_new_runtime() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log!("balancer-proxy: {error}");
            ExitCode::FAILURE
        }
    };
    log_writer::flush();
    exit_code
}

fn run_on_new_runtime() -> Result<(), StartError> {
    let runtime = runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, process::run())
}
