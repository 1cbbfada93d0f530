//! The program `balancer-proxy`: runs the proxy on a single-threaded runtime, and reports a failed start
//! by a log line and the exit code.

use balancer_proxy::process::{self, StartError};
use balancer_proxy::{log, log_writer};
use std::process::ExitCode;
use tokio::runtime;
use tokio::task::LocalSet;

fn main() -> ExitCode {
    // The default panic hook blocks while the standard error is a full pipe that nobody reads.
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
