//! Runs real proxies against a stub discovery server, and measures three things: the cost of an up-to-date
//! endpoint list, the time until a change is in force, and the polls that discovery receives after an
//! outage.
//!
//! Byte counts cover heads and bodies of polls and responses, without the overhead of TCP.

mod cost;
mod group;
mod list_changes;
mod plan;
mod recovery;

pub use plan::{Args, GroupSize, Outage, Plan};

use crate::error::Error;
use crate::proxy::find_program;
use crate::report::{Report, Table};
use crate::resource_usage::MachineLoad;
use crate::rollout;
use crate::shutdown::ShutdownSignal;
use group::ProxyGroup;
use list_changes::{ListChangeRates, MIN_CHANGES_PER_WINDOW};
use std::path::Path;

/// Runs `fleet-bench control`.
///
/// # Errors
///
/// Returns an error if the plan is invalid, a proxy fails, or a signal has arrived.
pub fn run(args: &Args) -> Result<Report, Error> {
    let plan = Plan::read(args)?;
    let program = find_program(args.run.program.as_deref())?;
    let shutdown = ShutdownSignal::install()?;
    let mut report = Report::new("control", plan.seed, &plan)?;
    let load_at_start = MachineLoad::now()?;
    if let Some(size) = plan.rollout_group() {
        let mut group = ProxyGroup::start(size, plan.seed, &program, &shutdown)?;
        rollout::run(&plan.settings, &shutdown, &mut group.proxies, &group.discovery, &mut report)?;
    } else {
        measure_endpoint_lists(&plan, &program, &shutdown, &mut report)?;
    }
    report.notes.push(load_at_start.note_with_present_load()?);
    Ok(report)
}

/// Measures, for each group of proxies, the cost of an up-to-date list and the recovery after outages.
fn measure_endpoint_lists(
    plan: &Plan,
    program: &Path,
    shutdown: &ShutdownSignal,
    report: &mut Report,
) -> Result<(), Error> {
    let mut costs = cost::table();
    let mut recoveries = recovery::table();
    for size in plan.groups() {
        let GroupSize { listed, proxies, registry_mode } = size;
        tracing::info!(
            "measuring {listed} listed, {proxies} proxies, registry mode: {}",
            registry_mode.name()
        );
        let mut group = ProxyGroup::start(size, plan.seed, program, shutdown)?;
        cost::measure_rates(&mut group, plan, &mut costs, &mut report.notes)?;
        for &outage in &plan.outages {
            recoveries.add_row(recovery::measure_recovery(&mut group, outage, plan.outage_seconds)?);
        }
        report.notes.extend(group.check_listed()?);
    }
    report.tables.extend([list_rates_table(&plan.listed), costs, recoveries]);
    report.notes.push(format!(
        "A window has at least {MIN_CHANGES_PER_WINDOW} changes. Where the rate of the fleet gives fewer, \
         polls, bytes and core of the row `fleet` are interpolated between the window without changes and \
         the measured window; the times are as measured."
    ));
    report.notes.push(
        "A row without a time until all proxies are up to date is of an outage after which some proxies \
         still lacked changes at the end of the 6 s."
            .to_string(),
    );
    Ok(())
}

fn list_rates_table(listed: &[usize]) -> Table {
    let mut table = Table::new(
        "Changes of one list at the rates of the fleet, by the size of the list",
        &["listed", "restarts/day", "configurations/day", "changes/s"],
    );
    for &listed in listed {
        let rates = ListChangeRates::of(listed);
        table.add_row([
            listed.into(),
            rates.restarts_per_day.into(),
            rates.configuration_changes_per_day.into(),
            rates.changes_per_second().into(),
        ]);
    }
    table
}
