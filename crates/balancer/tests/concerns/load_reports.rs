//! Load reports: service times, request rates, and the health checks that are due.

use super::fixtures::backend_indices;
use crate::decisions::load_reports::{LoadReports, WarmUpState};
use crate::interface::{LoadReport, Time};
use crate::support::BackendIndex;
use crate::support::tests::assertions::assert_close;

/// Returns the state of backends that have not reported their load.
fn reports_without_samples(backends: &[BackendIndex]) -> LoadReports {
    let mut reports = LoadReports::default();
    for backend in backends {
        reports.add_backend(*backend);
    }
    reports
}

fn load_report(service_time: Option<Time>, requests_per_second: Option<f64>) -> LoadReport {
    LoadReport { service_time, requests_per_second }
}

#[test]
fn returns_the_service_time_of_a_backend_relative_to_the_mean_of_the_fleet() {
    let [fast, slow, without_reports] = backend_indices();
    let mut reports = reports_without_samples(&[fast, slow, without_reports]);

    for _ in 0..1000 {
        reports.record(fast, WarmUpState::Warm, load_report(Some(0.1), None));
        reports.record(slow, WarmUpState::Warm, load_report(Some(0.3), None));
    }

    let fast_ratio = reports.relative_service_time(fast);
    let slow_ratio = reports.relative_service_time(slow);
    assert_close(slow_ratio / fast_ratio, 3.0);
    assert!((slow_ratio - 1.5).abs() < 0.02, "{slow_ratio}");
    assert_close(reports.relative_service_time(without_reports), 1.0);
}

#[test]
fn skips_values_that_are_absent_or_not_positive() {
    let [backend] = backend_indices();
    let mut reports = reports_without_samples(&[backend]);

    reports.record(backend, WarmUpState::Warm, load_report(Some(0.0), Some(0.0)));
    reports.record(backend, WarmUpState::Warm, load_report(Some(-1.0), Some(f64::NAN)));
    reports.record(backend, WarmUpState::Warm, load_report(None, None));

    assert_eq!(reports.requests_per_second_per_backend(), None);
    assert_close(reports.relative_service_time(backend), 1.0);
}

#[test]
fn uses_the_request_rates_of_warm_backends_only() {
    let [warm, warming_up] = backend_indices();
    let mut reports = reports_without_samples(&[warm, warming_up]);

    reports.record(warming_up, WarmUpState::WarmingUp, load_report(None, Some(1.0)));
    let before_a_warm_report = reports.requests_per_second_per_backend();
    reports.record(warm, WarmUpState::Warm, load_report(None, Some(50.0)));
    reports.record(warming_up, WarmUpState::WarmingUp, load_report(None, Some(1.0)));

    assert_eq!(before_a_warm_report, None);
    assert_eq!(reports.requests_per_second_per_backend(), Some(50.0));
}

#[test]
fn a_backend_added_at_a_reused_index_has_no_load_reports() {
    let [removed, other] = backend_indices();
    let mut reports = reports_without_samples(&[removed, other]);
    reports.record(other, WarmUpState::Warm, load_report(Some(0.1), None));
    reports.record(removed, WarmUpState::Warm, load_report(Some(0.9), None));

    reports.add_backend(removed);

    assert_close(reports.relative_service_time(removed), 1.0);
}

#[test]
fn requests_a_health_check_of_the_next_member_after_every_third_send() {
    let members: [BackendIndex; 3] = backend_indices();
    let mut reports = reports_without_samples(&members);

    let checks: Vec<_> = (0..12).map(|_| reports.count_send(&members)).collect();

    let [first, second, third] = members;
    let due_checks: Vec<_> = checks.iter().skip(2).step_by(3).copied().collect();
    assert_eq!(due_checks, [second, third, first, second].map(Some));
    assert_eq!(checks.iter().flatten().count(), due_checks.len());
}

#[test]
fn requests_no_health_check_if_the_subset_is_empty() {
    let mut reports = LoadReports::default();

    let checks: Vec<_> = (0..6).map(|_| reports.count_send(&[])).collect();

    assert_eq!(checks, [None; 6]);
}
