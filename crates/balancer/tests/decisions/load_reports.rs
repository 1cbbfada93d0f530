//! Load reports: backends with short service times are preferred, and health checks obtain the reports where
//! responses contain none.

use std::collections::BTreeMap;

use crate::common::actions::{SentAttempt, sent_attempts};
use crate::common::balancer_harness::BalancerHarness;
use crate::common::fixtures::{endpoints, safe_settings};
use balancer::{Action, AttemptNumber, BackendId, EndedAttempt, Event, LoadReport, Outcome, Settings, Time};

#[test]
fn checks_backends_for_load_reports_and_prefers_short_service_times() {
    let settings = Settings { health_checks_for_load_reports: true, ..safe_settings() };
    let mut harness = BalancerHarness::new(settings, &endpoints(2));

    let mut health_checks = 0;
    let mut sent = [0, 0];
    for id in 0..200 {
        let actions = harness.handle_request(id);
        let attempt = sent_attempts(&actions)[0];
        sent[attempt.backend.0 as usize - 1] += usize::from(id >= 100);
        for action in &actions {
            if let Action::HealthCheck(backend) = action {
                health_checks += 1;
                let service_time = Some(0.02 * f64::from(backend.0 * backend.0));
                let report = Some(LoadReport { service_time, requests_per_second: None });
                let outcome = Outcome::Success;
                harness.handle(Event::HealthCheckEnded { backend: *backend, outcome, report });
            }
        }
        harness.advance_to(harness.now + 0.05);
        harness.end_attempt(attempt, Outcome::Success, 0.05);
    }

    assert!((50..80).contains(&health_checks), "{health_checks} health checks for 200 sends");
    assert!(sent[0] > 3 * sent[1], "{sent:?}");
}

#[test]
fn checks_no_backend_when_health_checks_are_not_allowed() {
    let mut harness = BalancerHarness::new(safe_settings(), &endpoints(2));

    let actions: Vec<_> = (0..20).flat_map(|id| harness.handle_request(id)).collect();

    let is_health_check = |action: &Action| matches!(action, Action::HealthCheck(_));
    assert!(!actions.iter().any(is_health_check), "{actions:?}");
}

/// Returns the response time of a request in seconds. The times vary, so that T1 exceeds all of them.
fn response_time(id: u64) -> Time {
    if id.is_multiple_of(2) { 0.04 } else { 0.06 }
}

/// Returns a report of a service time in seconds.
fn service_time_report(service_time: Time) -> LoadReport {
    LoadReport { service_time: Some(service_time), requests_per_second: None }
}

/// Serves requests at two backends whose responses report these service times in seconds, if any.
/// Returns the number of requests sent to the first backend.
fn sent_to_first_backend(service_times: [Option<Time>; 2]) -> usize {
    let mut harness = BalancerHarness::new(safe_settings(), &endpoints(2));
    let mut sent_to_first = 0;
    for id in 0..200 {
        let SentAttempt { request, backend } = harness.send_request(id);
        sent_to_first += usize::from(backend == BackendId(1));
        let duration = response_time(id);
        harness.advance_to(harness.now + duration);
        harness.handle(Event::AttemptEnded(EndedAttempt {
            id: request,
            backend,
            attempt: AttemptNumber(0),
            outcome: Outcome::Success,
            duration,
            request_finished: true,
            report: service_times[backend.0 as usize - 1].map(service_time_report),
        }));
    }
    sent_to_first
}

#[test]
fn prefers_the_backend_whose_responses_report_the_shorter_service_time() {
    let sent_with_shorter_time = sent_to_first_backend([Some(0.02), Some(0.08)]);
    let sent_with_longer_time = sent_to_first_backend([Some(0.08), Some(0.02)]);

    assert!(sent_with_shorter_time > 190, "{sent_with_shorter_time} of 200");
    assert!(sent_with_longer_time < 10, "{sent_with_longer_time} of 200");
}

#[test]
fn ignores_service_times_that_are_not_positive() {
    let sent_without_report = sent_to_first_backend([Some(0.02), None]);

    let sent_with_zero = sent_to_first_backend([Some(0.02), Some(0.0)]);
    let sent_with_negative_time = sent_to_first_backend([Some(0.02), Some(-1.0)]);

    assert_eq!(sent_with_zero, sent_without_report);
    assert_eq!(sent_with_negative_time, sent_without_report);
}

#[test]
fn ignores_the_report_of_a_backend_that_is_not_listed() {
    let mut harness = BalancerHarness::new(safe_settings(), &endpoints(2));
    let mut reference_harness = BalancerHarness::new(safe_settings(), &endpoints(2));

    let event = Event::HealthCheckEnded {
        backend: BackendId(3),
        outcome: Outcome::Success,
        report: Some(service_time_report(5.0)),
    };
    let actions = harness.handle(event);

    assert_eq!(actions, []);
    assert_eq!(harness.balancer.backends_known(), 2);
    for id in 0..50 {
        assert_eq!(harness.serve_request(id, 0.05), reference_harness.serve_request(id, 0.05));
    }
}

#[test]
fn checks_the_health_of_each_member_equally_often_where_only_health_checks_obtain_reports() {
    let settings = Settings { health_checks_for_load_reports: true, ..safe_settings() };
    let mut harness = BalancerHarness::new(settings, &endpoints(4));

    let mut checks_by_backend = BTreeMap::<BackendId, usize>::new();
    for id in 0..120 {
        let actions = harness.handle_request(id);
        for action in &actions {
            if let Action::HealthCheck(backend) = action {
                *checks_by_backend.entry(*backend).or_default() += 1;
            }
        }
        harness.advance_to(harness.now + response_time(id));
        harness.end_attempt(sent_attempts(&actions)[0], Outcome::Success, response_time(id));
    }

    // Every third send triggers a health check. The four members are checked in turn.
    assert_eq!(checks_by_backend, (1..=4).map(|id| (BackendId(id), 10)).collect());
}

#[test]
fn failed_health_checks_without_a_report_do_not_affect_placement() {
    let settings = Settings { health_checks_for_load_reports: true, ..safe_settings() };
    let mut harness_with_failed_checks = BalancerHarness::new(settings.clone(), &endpoints(2));
    let mut harness_with_pending_checks = BalancerHarness::new(settings, &endpoints(2));

    let mut failed_checks = 0;
    for id in 0..200 {
        let actions = harness_with_failed_checks.handle_request(id);
        for action in &actions {
            if let Action::HealthCheck(backend) = *action {
                let outcome = Outcome::Timeout;
                harness_with_failed_checks.handle(Event::HealthCheckEnded { backend, outcome, report: None });
                failed_checks += 1;
            }
        }
        let sent = sent_attempts(&actions)[0];
        harness_with_failed_checks.advance_to(harness_with_failed_checks.now + response_time(id));
        harness_with_failed_checks.end_attempt(sent, Outcome::Success, response_time(id));

        assert_eq!(
            sent.backend,
            harness_with_pending_checks.serve_request(id, response_time(id)),
            "request {id}"
        );
    }
    assert!(failed_checks > 50, "{failed_checks}");
}
