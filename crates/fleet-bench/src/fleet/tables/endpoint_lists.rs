//! Tables of the endpoint lists: how fast changes propagate, and which backends the callers' subsets
//! cover.

use super::values::{percent, quantile};
use crate::fleet::observations::SAMPLE_INTERVAL_SECONDS;
use crate::fleet::plan::Plan;
use crate::fleet::results::{CoverageSample, PhaseResult, Propagation, ServiceResult};
use crate::fleet::topology::Topology;
use crate::report::{Table, Value};

/// Maximum number of services in the table for each phase.
const MAX_SERVICES_PER_PHASE: usize = 3;

/// Returns the table of the time until the callers are notified of an endpoint change.
pub fn propagation(results: &[PhaseResult]) -> Table {
    let columns = [
        "phase",
        "changes",
        "half of callers, s",
        "99%, s",
        "all, s",
        "slowest change: half, s",
        "slowest change: 99%, s",
        "slowest change: all, s",
    ];
    let mut table = Table::new(
        "Time until callers are notified of a change of the endpoint list (median change)",
        &columns,
    );
    for result in results {
        let changes: Vec<Propagation> =
            result.services.iter().flat_map(|service| &service.propagations).copied().collect();
        let half = sorted_times(changes.iter().map(|change| change.half_notified));
        let percent_99 = sorted_times(changes.iter().map(|change| change.percent_99_notified));
        let all = sorted_times(changes.iter().map(|change| change.all_notified));
        let value_at = |times: &[f64], fraction| Value::from(quantile(times, fraction).copied());
        table.add_row([
            Value::from(result.phase.name()),
            Value::from(changes.len()),
            value_at(&half, 0.5),
            value_at(&percent_99, 0.5),
            value_at(&all, 0.5),
            value_at(&half, 1.0),
            value_at(&percent_99, 1.0),
            value_at(&all, 1.0),
        ]);
    }
    table
}

fn sorted_times(times: impl Iterator<Item = f32>) -> Vec<f64> {
    let mut times: Vec<f64> = times.map(f64::from).collect();
    times.sort_by(f64::total_cmp);
    times
}

/// Returns the table of the backends in service that are in no caller's subset.
pub fn coverage(plan: &Plan, results: &[PhaseResult]) -> Table {
    let columns = [
        "phase",
        "in service at start",
        "in no subset at start",
        "in no subset at start, %",
        "worst sample, s after start",
        "in service, worst",
        "in no subset, worst",
        "in no subset, worst, %",
        "in no subset at end",
        "in no subset for 10 s",
        "services with such backends",
    ];
    let mut table =
        Table::new("Backends in service, with their callers notified, that are in no subset", &columns);
    for result in results {
        let samples = coverage_samples(result);
        let sample_at = |index: usize| samples.get(index).copied().unwrap_or_default();
        let start_sample = last_sample_before_window(plan);
        // If several samples have the most unassigned backends, the earliest is selected.
        let worst_sample = (start_sample..samples.len())
            .max_by_key(|i| (sample_at(*i).unassigned, usize::MAX - i))
            .unwrap_or(0);
        let end_sample = samples.len().saturating_sub(1);
        let long_unassigned = result.services.iter().map(|service| service.coverage.long_unassigned);
        let unassigned_percent =
            |sample: CoverageSample| percent(sample.unassigned as f64, sample.in_service as f64);
        table.add_row([
            Value::from(result.phase.name()),
            Value::from(sample_at(start_sample).in_service),
            Value::from(sample_at(start_sample).unassigned),
            unassigned_percent(sample_at(start_sample)),
            Value::from(worst_sample as f64 * SAMPLE_INTERVAL_SECONDS - plan.warm_up),
            Value::from(sample_at(worst_sample).in_service),
            Value::from(sample_at(worst_sample).unassigned),
            unassigned_percent(sample_at(worst_sample)),
            Value::from(sample_at(end_sample).unassigned),
            Value::from(long_unassigned.clone().sum::<usize>()),
            Value::from(long_unassigned.filter(|backends| *backends > 0).count()),
        ]);
    }
    table
}

/// Adds up the coverage of all services at each sample.
fn coverage_samples(result: &PhaseResult) -> Vec<CoverageSample> {
    let count = result.services.iter().map(|service| service.coverage.samples.len()).min().unwrap_or(0);
    let mut sums = vec![CoverageSample::default(); count];
    for service in &result.services {
        for (sum, sample) in sums.iter_mut().zip(&service.coverage.samples) {
            *sum += *sample;
        }
    }
    sums
}

fn last_sample_before_window(plan: &Plan) -> usize {
    ((plan.warm_up / SAMPLE_INTERVAL_SECONDS).ceil() as usize).saturating_sub(1)
}

/// Returns the table of the services with the most backends in no caller's subset at the start of the
/// window.
pub fn least_covered(plan: &Plan, topology: &Topology, results: &[PhaseResult]) -> Table {
    let columns = ["phase", "service", "backends in service", "in no subset", "callers"];
    let mut table = Table::new("Services with most backends in no subset, at the start", &columns);
    let start_sample = last_sample_before_window(plan);
    for result in results {
        let unassigned = |service: &ServiceResult| service.coverage.samples[start_sample].unassigned;
        let mut services: Vec<&ServiceResult> =
            result.services.iter().filter(|service| unassigned(service) > 0).collect();
        services.sort_by_key(|service| (usize::MAX - unassigned(service), service.service));
        for service in services.iter().take(MAX_SERVICES_PER_PHASE) {
            table.add_row([
                Value::from(result.phase.name()),
                Value::from(service.service),
                Value::from(service.coverage.samples[start_sample].in_service),
                Value::from(unassigned(service)),
                Value::from(topology.services[service.service].callers.len()),
            ]);
        }
    }
    table
}
