//! Counts the backends in service that are in no caller's subset.

use super::observations::{CallerObservations, SAMPLE_INTERVAL_SECONDS};
use super::results::{Coverage, CoverageSample};
use super::scenario::Scenario;
use balancer::Time;

/// Number of consecutive samples in no subset after which a backend counts as unassigned for long.
pub const LONG_UNASSIGNED_SAMPLES: u32 = 10;

/// Measures the coverage of the backends of a service at each sample.
pub fn measure(scenario: &Scenario<'_>, callers: &[CallerObservations]) -> Coverage {
    let machines = scenario.service().machines.clone();
    let backends = machines.len();
    let mut consecutive_unassigned = vec![0_u32; backends];
    let mut long_unassigned = vec![false; backends];
    let mut samples = Vec::new();
    for (index, assigned) in assigned_backends(scenario, callers).chunks(backends).enumerate() {
        let at = index as f64 * SAMPLE_INTERVAL_SECONDS;
        let mut sample = CoverageSample::default();
        for (backend, machine) in machines.clone().enumerate() {
            let in_service = is_in_service_and_notified(scenario, machine, at);
            let unassigned = in_service && !assigned[backend];
            sample.in_service += usize::from(in_service);
            sample.unassigned += usize::from(unassigned);
            consecutive_unassigned[backend] =
                if unassigned { consecutive_unassigned[backend] + 1 } else { 0 };
            long_unassigned[backend] |= consecutive_unassigned[backend] >= LONG_UNASSIGNED_SAMPLES;
        }
        samples.push(sample);
    }
    let long_unassigned = long_unassigned.into_iter().filter(|unassigned| *unassigned).count();
    Coverage { samples, long_unassigned }
}

/// Returns for each sample and backend whether the backend is in the subset of at least one caller. The
/// entries of all backends for one sample are adjacent.
fn assigned_backends(scenario: &Scenario<'_>, callers: &[CallerObservations]) -> Vec<bool> {
    let backends = scenario.service().machines.len();
    let samples = (scenario.context.plan.phase_end() / SAMPLE_INTERVAL_SECONDS).floor() as usize + 1;
    let mut assigned = vec![false; samples * backends];
    for member in callers.iter().flat_map(|caller| &caller.subset_members) {
        assigned[member.sample as usize * backends + member.backend as usize] = true;
    }
    assigned
}

/// Returns whether the backend of a machine is in service at a time and the callers count as notified of
/// the backend's start.
fn is_in_service_and_notified(scenario: &Scenario<'_>, machine: usize, at: Time) -> bool {
    let context = &scenario.context;
    let just_started = context.faults.outages[machine]
        .is_some_and(|outage| (outage.up_at..outage.up_at + context.plan.deemed_notified).contains(&at));
    context.faults.is_in_service(machine, at) && !just_started
}
