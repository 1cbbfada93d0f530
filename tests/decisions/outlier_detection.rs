//! Outlier detection: backends that fail fast or never respond get few requests.

use crate::common::balancer_harness::{BalancerHarness, endpoints, safe_settings, sends};
use balancer_proxy::*;

#[test]
fn a_fast_failing_backend_is_shunned() {
    // It looks idle to a count of calls in flight.
    let mut settings = safe_settings();
    settings.max_attempts = 1;
    let mut harness = BalancerHarness::new(settings, &endpoints(2));
    let mut bad = 0;
    for id in 0..200 {
        let to = sends(&harness.request(id))[0].1;
        harness.now += 0.02;
        if to == 1 {
            bad += 1;
            harness.end_attempt(id, 0, 1, Outcome::Error, 0.001);
        } else {
            harness.end_attempt(id, 0, 2, Outcome::Success, 0.02);
        }
    }
    assert!(bad < 20, "{bad}");
    // Forgiven after a while: it is tried again.
    harness.advance_to(harness.now + 60.0);
    let again = (0..50).filter(|id| harness.serve(1000 + id, 0.01 + 0.02 * (id % 3) as f64) == 1).count();
    assert!(again > 10, "{again}");
}

#[test]
fn a_hung_backend_is_noticed() {
    // Its time-outs arrive when the call has ended; they were once lost to the health count.
    let mut settings = safe_settings();
    settings.max_attempts = 1;
    let mut harness = BalancerHarness::new(settings, &endpoints(2));
    for id in 0..20 {
        harness.serve(id, 0.01 + 0.01 * (id % 3) as f64);
    }
    let mut hung = 0;
    for id in 1000..1040 {
        let to = sends(&harness.request(id))[0].1;
        if to == 1 {
            hung += 1;
            harness.advance_to(harness.now + 1.1);
            harness.end_attempt(id, 0, 1, Outcome::Timeout, 1.0);
        } else {
            harness.advance_to(harness.now + 0.02);
            harness.end_attempt(id, 0, 2, Outcome::Success, 0.02);
        }
    }
    assert!(hung <= 5, "{hung} of 40 went to the backend that answers none");
}
