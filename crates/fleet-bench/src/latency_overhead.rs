//! Measures the latency that the real proxy adds to a call, compared with direct calls in the same run.
//!
//! The load is open-loop: the start times of all calls are drawn from a Poisson process in advance. The
//! latency of a call is measured from its scheduled start, so that a slow response does not hide the delay of
//! later calls. Direct and proxied calls are interleaved at random, and go over persistent connections to the
//! same backends, which respond at once. The added latency at a percentile is the percentile of the proxied
//! calls minus that of the direct calls.

mod analysis;
mod connection;
mod load;
mod plan;
mod tables;
mod test_bed;
mod verdict;

pub use plan::{Args, Plan};
pub use verdict::{LatencyObservation, Verdict};

use crate::budget;
use crate::error::Error;
use crate::proxy::find_program;
use crate::report::Report;
use crate::resource_usage::MachineLoad;
use crate::shutdown::ShutdownSignal;
use analysis::Analysis;
use load::CALLER_COUNT;
use tables::Tables;
use test_bed::ProxyTestBed;
use verdict::MAX_GENERATOR_DELAY_FRACTION;

/// Runs `fleet-bench added`.
///
/// # Errors
///
/// Returns an error if the plan is invalid, the proxy fails, or a signal has arrived.
pub fn run(args: &Args) -> Result<Report, Error> {
    let plan = Plan::read(args)?;
    let program = find_program(args.run.program.as_deref())?;
    let shutdown = ShutdownSignal::install()?;
    let mut report = Report::new("added", plan.seed, &plan)?;
    let mut tables = Tables::new();
    let load_at_start = MachineLoad::now()?;
    for &listed in &plan.listed {
        let mut test_bed = ProxyTestBed::start(plan.seed, &shutdown, &program, listed)?;
        for load in plan.loads() {
            tracing::info!("measuring {listed} listed, {} calls/s, {} changes/s", load.rate, load.changes);
            let result = test_bed.measure(load)?;
            tables.add(listed, load, &Analysis::of(result, load)?);
        }
        test_bed.check_backends()?;
    }
    report.tables.extend(tables.into_tables());
    report.notes.push(format!(
        "Machine too busy: at the 99th percentile the generator began its calls later than {:.2} ms \
         ({MAX_GENERATOR_DELAY_FRACTION} of the budget), or direct calls exceeded the budget. Calls piled up: \
         more than {CALLER_COUNT} calls were in flight.",
        MAX_GENERATOR_DELAY_FRACTION * budget::ADDED_LATENCY_MS
    ));
    report.notes.push(load_at_start.note_with_present_load()?);
    Ok(report)
}
