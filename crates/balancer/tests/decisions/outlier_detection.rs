//! Outlier detection: backends that fail fast or never respond get few requests.

use crate::common::balancer_harness::BalancerHarness;
use crate::common::fixtures::{endpoints, safe_settings};
use balancer::{BackendId, Event, MaintenanceChange, Outcome, Settings};

/// The backend that fails or never responds.
const OUTLIER_BACKEND: BackendId = BackendId(1);

/// Creates a balancer with two backends and a single attempt for each request.
fn harness_with_one_attempt() -> BalancerHarness {
    BalancerHarness::new(Settings { max_attempts: 1, ..safe_settings() }, &endpoints(2))
}

#[test]
fn avoids_a_backend_that_fails_fast_and_returns_to_it_later() {
    // A backend that fails fast has few requests in flight, so that it appears idle.
    let mut harness = harness_with_one_attempt();
    let mut sent_to_outlier = 0;
    for id in 0..200 {
        let sent = harness.send_request(id);
        harness.now += 0.02;
        if sent.backend == OUTLIER_BACKEND {
            sent_to_outlier += 1;
            harness.end_attempt(sent, Outcome::Error, 0.001);
        } else {
            harness.end_attempt(sent, Outcome::Success, 0.02);
        }
    }
    assert!(sent_to_outlier < 20, "{sent_to_outlier}");

    harness.advance_to(harness.now + 60.0);

    let response_time = |id| 0.01 + 0.02 * (id % 3) as f64;
    let sent_after_recovery =
        (0..50).filter(|id| harness.serve_request(1000 + id, response_time(*id)) == OUTLIER_BACKEND).count();
    assert!(sent_after_recovery > 10, "{sent_after_recovery}");
}

#[test]
fn avoids_a_backend_that_never_responds() {
    // Regression: timeouts of attempts whose request has ended were not counted.
    let mut harness = harness_with_one_attempt();
    for id in 0..20 {
        harness.serve_request(id, 0.01 + 0.01 * (id % 3) as f64);
    }

    let mut sent_to_outlier = 0;
    for id in 1000..1040 {
        let sent = harness.send_request(id);
        if sent.backend == OUTLIER_BACKEND {
            sent_to_outlier += 1;
            harness.advance_to(harness.now + 1.1);
            harness.end_attempt(sent, Outcome::Timeout, 1.0);
        } else {
            harness.advance_to(harness.now + 0.02);
            harness.end_attempt(sent, Outcome::Success, 0.02);
        }
    }

    assert!(sent_to_outlier <= 5, "{sent_to_outlier} of 40 were sent to the backend that never responds");
}

/// Guards against `stats` reporting an ejected backend although no backend is slow or in maintenance.
///
/// A backend that has returned from maintenance counts as having the expected latency. When only the first
/// responses of the other backend were slow, the relative latency of that backend fell below 0.4, and the
/// expected latency was more than 2.5 times as high. The first responses may be slow on a busy machine: a
/// test of the proxy's maintenance record failed at a load of 15. In this test, the first two responses take
/// 0.3 s, which always caused the failure.
#[test]
fn a_backend_with_the_expected_latency_is_no_outlier_however_fast_the_best_backend_is() {
    let mut harness = BalancerHarness::new(safe_settings(), &endpoints(2));
    let returning = BackendId(1);
    harness.handle(Event::Maintenance { backend: returning, change: MaintenanceChange::Begins });
    let response_time = |id| if id < 2 { 0.3 } else { 0.0 };
    for id in 0..10 {
        harness.serve_request(id, response_time(id));
    }

    harness.handle(Event::Maintenance { backend: returning, change: MaintenanceChange::Ends });

    assert_eq!(harness.balancer.backends_avoided(), 0);
}
