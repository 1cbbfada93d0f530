//! Compares the combined load of all callers on a backend in slow start with the budget of the backend.

use super::observations::CallerObservations;
use super::plan::Plan;
use super::results::SlowStartPeak;
use super::scenario::Scenario;
use balancer::Time;

/// Measures the peak load of each backend whose slow start ends within the phase.
pub fn measure(scenario: &Scenario<'_>, callers: &[CallerObservations]) -> Vec<SlowStartPeak> {
    let plan = scenario.context.plan;
    let mut peaks = Vec::new();
    let sent = attempt_times(scenario, callers);
    for (backend, (machine, mut sent)) in scenario.service().machines.clone().zip(sent).enumerate() {
        let outage = scenario.context.faults.outages[machine];
        let Some(outage) = outage.filter(|o| o.up_at + plan.slow_start_duration <= plan.phase_end()) else {
            continue;
        };
        sent.sort_by(f64::total_cmp);
        let capacity = full_capacity(scenario, callers, backend);
        peaks.push(peak_load(plan, outage.up_at, capacity, &sent));
    }
    peaks
}

/// Returns the times of the attempts to each backend in slow start, in seconds.
fn attempt_times(scenario: &Scenario<'_>, callers: &[CallerObservations]) -> Vec<Vec<Time>> {
    let mut sent: Vec<Vec<Time>> = vec![Vec::new(); scenario.service().machines.len()];
    for attempt in callers.iter().flat_map(|caller| &caller.slow_start_attempts) {
        sent[attempt.backend as usize].push(attempt.sent_at);
    }
    sent
}

/// Returns the full capacity of a backend, in attempts per second: the load that the backend handled
/// before the outage, or the service's call rate divided by the number of backends, if that is more. All
/// backends of a service have the same size.
fn full_capacity(scenario: &Scenario<'_>, callers: &[CallerObservations], backend: usize) -> f64 {
    let service = scenario.service();
    let even_call_rate = service.call_rate / service.machines.len() as f64;
    let attempts: u32 = callers.iter().map(|caller| caller.warm_up_attempts[backend]).sum();
    // `warm_up_attempts` covers the second half of the warm-up.
    even_call_rate.max(f64::from(attempts) / (0.5 * scenario.context.plan.warm_up))
}

/// Returns the load in the overload window with the highest ratio of the attempts to the budget.
fn peak_load(plan: &Plan, started_at: Time, capacity: f64, sent: &[Time]) -> SlowStartPeak {
    let mut peak = SlowStartPeak::default();
    let mut first_in_window = 0;
    for (last_in_window, at) in sent.iter().enumerate() {
        let window_start = at - plan.overload_window;
        first_in_window += sent[first_in_window..].iter().take_while(|time| **time <= window_start).count();
        let attempts = last_in_window + 1 - first_in_window;
        // The capacity grows linearly, so its mean over the window is its value in the middle.
        let fraction = plan.capacity_fraction(at - 0.5 * plan.overload_window - started_at);
        let overload_attempts = plan.overload_multiple * capacity * fraction * plan.overload_window;
        let budget_ratio = attempts as f64 / attempt_budget(overload_attempts);
        if budget_ratio > peak.budget_ratio {
            peak = SlowStartPeak { attempts, budget_ratio };
        }
    }
    peak
}

/// Returns the number of attempts that a backend may get in a window, if `overload_attempts`
/// attempts make the backend fail. Two standard deviations are added for random arrivals, and two attempts
/// as a margin for small numbers.
fn attempt_budget(overload_attempts: f64) -> f64 {
    overload_attempts + 2.0 * overload_attempts.sqrt() + 2.0
}
