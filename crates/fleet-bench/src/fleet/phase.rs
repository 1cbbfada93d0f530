//! Simulates a phase: runs all callers of all services in parallel and combines their observations.

use super::caller;
use super::counts::Counts;
use super::coverage;
use super::faults::{Faults, OutageKind};
use super::observations::CallerObservations;
use super::results::{MeanPeakState, OutageCounts, PhaseResult, Propagation, ServiceResult};
use super::roles::Roles;
use super::scenario::{PhaseContext, Scenario};
use super::slow_start;
use crate::error::Error;
use rayon::iter::{IndexedParallelIterator, IntoParallelIterator, IntoParallelRefIterator, ParallelIterator};

/// Simulates a phase.
///
/// # Errors
///
/// Returns the first error of a caller.
pub fn simulate(context: PhaseContext<'_>, roles: &Roles) -> Result<PhaseResult, Error> {
    let PhaseContext { phase, topology, faults, .. } = context;
    let mut services_by_call_rate = faults.simulated_services.clone();
    // Services with many calls take longest and come first. If they came last, a single thread would
    // still be working after the others have finished.
    services_by_call_rate.sort_by(|a, b| {
        topology.services[*b].call_rate.total_cmp(&topology.services[*a].call_rate).then(a.cmp(b))
    });
    let simulate = |service: &usize| simulate_service(&Scenario::new(context, *service), roles);
    let services =
        services_by_call_rate.par_iter().with_max_len(1).map(simulate).collect::<Result<_, _>>()?;
    Ok(PhaseResult { phase, services, outages: count_outages(faults) })
}

fn count_outages(faults: &Faults) -> OutageCounts {
    let count = |kind| faults.outages.iter().flatten().filter(|outage| outage.kind == kind).count();
    OutageCounts { restarted: count(OutageKind::Restart), crashed: count(OutageKind::Crash) }
}

fn simulate_service(scenario: &Scenario<'_>, roles: &Roles) -> Result<ServiceResult, Error> {
    let callers = scenario.service().callers.len();
    let recorded = recorded_callers(scenario, roles);
    let simulate = |index| {
        if recorded.contains(&index) {
            caller::simulate_recorded(scenario, index)
        } else {
            caller::simulate(scenario, index)
        }
    };
    let mut observations: Vec<CallerObservations> =
        (0..callers).into_par_iter().with_max_len(1).map(simulate).collect::<Result<_, _>>()?;
    let mut counts = Counts::default();
    for caller in &observations {
        counts += caller.counts;
    }
    let changes = 0..scenario.changes.len();
    Ok(ServiceResult {
        service: scenario.service_index,
        counts,
        propagations: changes.filter_map(|change| measure_propagation(&observations, change)).collect(),
        coverage: coverage::measure(scenario, &observations),
        slow_starts: slow_start::measure(scenario, &observations),
        mean_peak_state: mean_peak_state(&observations),
        recordings: observations.iter_mut().filter_map(|caller| caller.recording.take()).collect(),
    })
}

/// Returns the indices of the callers that are recorded: up to `recorded_callers` callers without an
/// outage if the service has a role, otherwise none.
fn recorded_callers(scenario: &Scenario<'_>, roles: &Roles) -> Vec<usize> {
    let PhaseContext { plan, faults, .. } = scenario.context;
    if !roles.contains(scenario.service_index) {
        return Vec::new();
    }
    let callers = scenario.service().callers.iter().enumerate();
    let without_outage = callers.filter(|(_, machine)| faults.outages[**machine].is_none());
    without_outage.map(|(index, _)| index).take(plan.recorded_callers).collect()
}

fn mean_peak_state(callers: &[CallerObservations]) -> MeanPeakState {
    let count = callers.len() as f64;
    let mut mean = MeanPeakState::default();
    for caller in callers {
        mean.backends += caller.peak_state.backends as f64 / count;
        mean.subset += caller.peak_state.subset as f64 / count;
        mean.open_requests += caller.peak_state.open_requests as f64 / count;
    }
    mean
}

/// Returns the propagation of an endpoint change; `None` if no caller was notified.
fn measure_propagation(callers: &[CallerObservations], change: usize) -> Option<Propagation> {
    let mut delays: Vec<f32> = callers.iter().filter_map(|caller| caller.update_delays[change]).collect();
    if delays.is_empty() {
        return None;
    }
    delays.sort_by(f32::total_cmp);
    let delay_until = |fraction: f64| {
        let callers = (fraction * delays.len() as f64).ceil() as usize;
        delays[callers.clamp(1, delays.len()) - 1]
    };
    Some(Propagation {
        half_notified: delay_until(0.5),
        percent_99_notified: delay_until(0.99),
        all_notified: delay_until(1.0),
    })
}
