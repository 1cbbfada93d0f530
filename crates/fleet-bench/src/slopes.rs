//! Measures how the cost of each kind of balancer event grows with the sizes of a deployment.
//!
//! Each axis varies one size of the base case. A round measures all cases of an axis in turn, so that a
//! temporary load on the machine affects all cases. The line of an axis is fitted through the medians over
//! the rounds.

mod deployment_case;
mod event_queue;
mod event_times;
mod measurement;
mod open_requests;
mod plan;
mod simulation;
mod tables;

use crate::error::Error;
use crate::plan::PlanSource;
use crate::report::Report;
use measurement::{AxisSamples, TimeLimit, measure_axis};
pub use plan::{Axes, BaseCase, Plan};
use procfs::{Current, LoadAverage};
use tables::Tables;

/// Arguments of `fleet-bench slopes`.
#[derive(clap::Args, Debug)]
pub struct Args {
    /// Source of the plan
    #[command(flatten)]
    pub source: PlanSource,
    /// Measure few and short rounds, to check that the command works; the results are rough
    #[arg(long)]
    pub quick: bool,
    /// Number of rounds over the cases of each axis
    #[arg(long)]
    pub rounds: Option<usize>,
    /// Number of tiers between the clients and the balancer; only a balancer of tier 0 may reject requests
    #[arg(long)]
    pub tier: Option<usize>,
}

impl Args {
    /// Reads the plan from the experiment file or the defaults, and applies the arguments.
    fn plan(&self) -> Result<Plan, Error> {
        let mut plan: Plan = self.source.read()?;
        if self.quick {
            plan = plan.quick();
        }
        plan.seed = self.source.seed.unwrap_or(plan.seed);
        plan.rounds = self.rounds.unwrap_or(plan.rounds);
        plan.base.tier = self.tier.unwrap_or(plan.base.tier);
        plan.validate()?;
        Ok(plan)
    }
}

/// Measures all axes of a plan.
///
/// # Errors
///
/// Returns an error if the plan cannot be read or is out of range.
pub fn run(args: &Args) -> Result<Report, Error> {
    let plan = args.plan()?;
    let mut report = Report::new("slopes", plan.seed, &plan)?;
    let mut tables = Tables::new();
    let load_at_start = load_average();
    let limit = TimeLimit::starting_now(plan.time_limit);
    for axis in plan.axes() {
        let samples = measure_axis(&axis, &plan, limit);
        tables.add_axis(&samples);
        report.notes.extend(time_limit_note(&samples));
    }
    report.tables = tables.into_vec();
    report
        .notes
        .push(format!("Load of the machine: {load_at_start} at the start, {} at the end.", load_average()));
    report.notes.extend(explanatory_notes());
    Ok(report)
}

/// Returns a note if the time limit ended the measurement of an axis early.
fn time_limit_note(axis: &AxisSamples) -> Option<String> {
    if axis.complete {
        return None;
    }
    let AxisSamples { name, rounds, .. } = axis;
    Some(format!("{name}: time limit reached after {rounds} rounds of {} cases", axis.cases.len()))
}

/// Returns the notes that explain the values of the report.
fn explanatory_notes() -> [String; 2] {
    [
        "Times are processor time of the thread by the clock of the system, read before and after each \
         event, less the cost of reading the clock. The sample of a round is the mean over its events; a \
         cell is empty if there was no such event."
            .to_string(),
        "Bytes are those that the decision module asked the allocator for, without the overhead of the \
         allocator. State with open requests varies between runs, as hash tables grow by doubling."
            .to_string(),
    ]
}

/// Returns the load average of the machine over one, five and fifteen minutes.
fn load_average() -> String {
    LoadAverage::current()
        .map_or_else(|_| "unknown".to_string(), |load| format!("{} {} {}", load.one, load.five, load.fifteen))
}
