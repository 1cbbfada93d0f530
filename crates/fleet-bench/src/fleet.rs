//! A simulated fleet on virtual time: thousands of balancers in one process.
//!
//! Each proxy is a [`balancer::Balancer`] on one machine of a service, and calls one service of a lower
//! layer, as the program's proxies have one endpoint list each. Backends, network and discovery are modelled:
//! service times have no queues, and endpoint updates have random delays. The calls of a proxy do not change
//! how a backend responds. The callers are therefore simulated independently, in parallel, and the attempts
//! that they send to the same backend are combined afterwards. The same seed gives the same figures with any
//! number of threads, except for processor times and memory.
//!
//! Two rules are checked for every call: the call gets exactly one final response before its deadline, and an
//! unsafe call is never sent again once it may have run.
//!
//! All modules read the plan and the topology. A phase injects its faults, simulates the callers
//! of each service, and combines the callers' observations into results, from which the tables are made.

mod caller;
pub mod checker;
mod counts;
mod coverage;
mod faults;
mod memory;
mod observations;
mod parameters;
mod phase;
mod plan;
mod processor_time;
mod random;
mod recording;
mod results;
mod roles;
mod scenario;
mod settings;
mod slow_start;
mod tables;
mod topology;

use crate::error::Error;
use crate::plan::PlanSource;
use crate::report::Report;
use faults::Faults;
pub use plan::{Phase, Plan};
use roles::Roles;
use scenario::PhaseContext;
use std::time::{Duration, Instant};
use topology::Topology;

/// Arguments of `fleet-bench fleet`.
#[derive(clap::Args, Clone, Debug, Default)]
pub struct Args {
    /// Source of the plan
    #[command(flatten)]
    pub source: PlanSource,
    /// Phase to simulate; may be given several times [default: all phases in turn]
    #[arg(long = "phase", value_name = "PHASE")]
    pub phases: Vec<Phase>,
    /// Number of backends, each with its proxy
    #[arg(long)]
    pub backends: Option<usize>,
    /// Number of services
    #[arg(long)]
    pub services: Option<usize>,
    /// Fraction of the full call rate to simulate
    #[arg(long)]
    pub rate_scale: Option<f64>,
    /// Cost of a call across zones, as a fraction of the priority weight of a call
    #[arg(long, alias = "cross-zone")]
    pub cross_zone_cost: Option<f64>,
    /// Number of graceful restarts in a day
    #[arg(long)]
    pub restarts: Option<usize>,
    /// Seconds that are simulated before the first fault
    #[arg(long)]
    pub warm_up: Option<f64>,
    /// Seconds that are simulated after the warm-up
    #[arg(long)]
    pub window: Option<f64>,
    /// Seconds of real time after which the run is aborted
    #[arg(long, alias = "limit")]
    pub real_time_limit: Option<f64>,
}

impl Args {
    /// Reads the plan of the experiment file; values that are given as arguments override the file.
    fn plan(&self) -> Result<Plan, Error> {
        let mut plan: Plan = self.source.read()?;
        if !self.phases.is_empty() {
            plan.phases.clone_from(&self.phases);
        }
        plan.seed = self.source.seed.unwrap_or(plan.seed);
        plan.backends = self.backends.unwrap_or(plan.backends);
        plan.services = self.services.unwrap_or(plan.services);
        plan.rate_scale = self.rate_scale.unwrap_or(plan.rate_scale);
        plan.cross_zone_cost = self.cross_zone_cost.unwrap_or(plan.cross_zone_cost);
        plan.restarts = self.restarts.unwrap_or(plan.restarts);
        plan.warm_up = self.warm_up.unwrap_or(plan.warm_up);
        plan.window = self.window.unwrap_or(plan.window);
        plan.real_time_limit = self.real_time_limit.unwrap_or(plan.real_time_limit);
        plan.validate()?;
        Ok(plan)
    }
}

/// Simulates all phases of a plan.
///
/// # Errors
///
/// Returns an error if the plan cannot be read or is out of range, a call violates a rule, the real time
/// limit is reached, or the system does not report the memory or the load.
pub fn run(args: &Args) -> Result<Report, Error> {
    let plan = args.plan()?;
    let started = Instant::now();
    let abort_at = started + Duration::from_secs_f64(plan.real_time_limit);
    let mut report = Report::new("fleet", plan.seed, &plan)?;
    let topology = Topology::new(&plan);
    let roles = Roles::new(&topology);
    report.tables.push(tables::topology_table(&topology));
    report.tables.push(memory::measure(&plan, &topology, &roles)?);
    let mut results = Vec::new();
    for &phase in &plan.phases {
        let phase_started = Instant::now();
        let faults = Faults::new(phase, &plan, &topology);
        let context = PhaseContext { phase, plan: &plan, topology: &topology, faults: &faults, abort_at };
        results.push(phase::simulate(context, &roles)?);
        tracing::info!("{phase:?}: simulated in {:.1} s of real time", phase_started.elapsed().as_secs_f64());
    }
    report.tables.extend(tables::phase_tables(&plan, &topology, &roles, &results));
    // Measured last and on one thread, so that no other thread of this process competes for the caches.
    report.tables.push(processor_time::measure(&plan, &topology, &roles, &results));
    report.notes.extend(tables::notes(&plan));
    report.notes.push(format!(
        "took {:.1} s of real time on {} threads; load average {}",
        started.elapsed().as_secs_f64(),
        rayon::current_num_threads(),
        std::fs::read_to_string("/proc/loadavg")?.trim(),
    ));
    Ok(report)
}
