//! Guards against unbounded growth of the endpoint table where deployments replace all backends again and
//! again. The balancer removes an unlisted backend from the table when the last attempt at the backend has
//! ended.

mod common;

use balancer::{BackendId, EndpointUpdate, Event, Outcome};
use common::actions::{SentAttempt, is_rejected, sent_attempts};
use common::balancer_harness::BalancerHarness;
use common::fixtures::{endpoint, safe_settings};

#[test]
fn removes_unlisted_backends_without_attempts_in_flight() {
    let mut harness = BalancerHarness::new(safe_settings(), &[endpoint(1)]);
    let first = SentAttempt::new(1, 1);
    assert_eq!(sent_attempts(&harness.handle_request(1)), [first]);

    for id in 2..500 {
        harness.handle(Event::Endpoints(EndpointUpdate::Full(&[endpoint(id), endpoint(1000 + id)])));
        // Requests go to the listed backends only.
        harness.now += 0.01;
        let request = u64::from(id);
        let sent = harness.send_request(request);
        let BackendId(backend) = sent.backend;
        assert!(backend == id || backend == 1000 + id, "{backend} at {id}");
        let actions = harness.end_attempt(sent, Outcome::Success, 0.01);
        assert!(!is_rejected(&actions, request));
    }

    assert!(harness.balancer.backends_known() <= 5, "{}", harness.balancer.backends_known());
    // The backend of the first request stays known until its attempt has ended.
    assert!(harness.balancer.backends_known() > 2);
    harness.end_attempt(first, Outcome::Success, 1.0);
    harness.handle(Event::Endpoints(EndpointUpdate::Changes(&[])));
    harness.handle(Event::Endpoints(EndpointUpdate::Full(&[endpoint(499)])));
    assert_eq!(harness.balancer.backends_known(), 1);
}
