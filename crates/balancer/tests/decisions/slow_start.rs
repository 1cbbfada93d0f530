//! Slow start: the requests that a single balancer sends to backends that are warming up.

use crate::common::actions::sent_attempts;
use crate::common::balancer_harness::BalancerHarness;
use crate::common::fixtures::{endpoint, endpoints, safe_settings};
use balancer::{BackendId, Endpoint, EndpointUpdate, Event, Outcome, Settings, Status};

/// Returns the settings of one of many balancers, where slow start takes 20 s.
fn slow_start_settings(instance_count: usize, initial_capacity: f64) -> Settings {
    Settings {
        instance_count,
        slow_start_duration: 20.0,
        slow_start_initial_capacity: initial_capacity,
        ..safe_settings()
    }
}

/// Passes a full endpoint list to the balancer. In this list, the backend has just started.
fn restart(backend: BackendId, harness: &mut BalancerHarness, list: &mut [Endpoint]) {
    let endpoint = list.iter_mut().find(|endpoint| endpoint.id == backend).unwrap();
    endpoint.started_at = Some(harness.now);
    harness.handle(Event::Endpoints(EndpointUpdate::Full(list)));
}

#[test]
fn sends_a_backend_that_is_warming_up_a_fraction_of_the_requests_of_the_others() {
    // The traffic of each of these many balancers is far below the overload multiple.
    let settings = slow_start_settings(100, 0.2);
    let mut list = endpoints(4);
    let mut sent_to_warming = 0;
    let mut sent_to_others = 0;
    for seed in 0..100 {
        let mut harness = BalancerHarness::with_seed(seed, settings.clone(), &endpoints(4));
        for id in 0..40 {
            harness.serve_request(id, 0.01);
            harness.advance_to(harness.now + 0.24);
        }
        let warming = harness.balancer.members().next().unwrap();
        restart(warming, &mut harness, &mut list);
        for id in 100..108 {
            if harness.serve_request(id, 0.01) == warming {
                sent_to_warming += 1;
            } else {
                sent_to_others += 1;
            }
            harness.advance_to(harness.now + 0.24);
        }
    }

    let sent_to_each_other = sent_to_others as f64 / 3.0;
    assert!(
        (sent_to_warming as f64) < 0.8 * sent_to_each_other,
        "{sent_to_warming} against {sent_to_each_other}: the capacity is a fifth to a third, less a margin"
    );
    assert!(sent_to_warming > 0, "a backend without requests might stay in slow start");
}

#[test]
fn does_not_overload_backends_that_all_start_at_once() {
    let mut list = endpoints(3);
    let mut harness = BalancerHarness::new(slow_start_settings(1, 0.1), &list);
    for id in 0..200 {
        harness.serve_request(id, 0.05);
    }
    for endpoint in &mut list {
        endpoint.started_at = Some(harness.now);
    }
    harness.handle(Event::Endpoints(EndpointUpdate::Full(&list)));

    let mut sent = 0;
    for id in 1000..1020 {
        let actions = harness.handle_request(id);
        for attempt in sent_attempts(&actions) {
            sent += 1;
            harness.end_attempt(attempt, Outcome::Success, 0.05);
        }
        harness.advance_to(harness.now + 0.05);
    }

    // The 20 requests per second are 6.7 per backend. At a tenth of the capacity, three times 0.1 x 6.7 per
    // second overloads a backend.
    assert!(sent <= 9, "{sent}");
}

#[test]
fn does_not_raise_the_budget_of_a_backend_that_is_warming_up_under_overload() {
    // Guards against budgets that follow the send rate. With clients that retried without pause, the budget
    // was four times the capacity of the backends, and one of the backends was overloaded.
    let settings = Settings { slow_start_overload_multiple: 2.0, ..slow_start_settings(1, 0.1) };
    let mut list = endpoints(4);
    let mut harness = BalancerHarness::new(settings, &list);

    let mut sent_to_warming = 0;
    for id in 0..2000 {
        let sent_on_arrival = sent_attempts(&harness.handle_request(id));
        if id == 1000 {
            restart(BackendId(1), &mut harness, &mut list);
        }
        // Of 100 requests that arrive per second, 10 get a response.
        if let Some(sent) = sent_on_arrival.first().filter(|_| id % 10 == 0) {
            harness.end_attempt(*sent, Outcome::Success, 0.05);
        }
        let actions = harness.actions_until(harness.now + 0.01);
        harness.end_cancelled_attempts(&actions);
        if id > 1000 {
            let sent = sent_on_arrival.into_iter().chain(sent_attempts(&actions));
            sent_to_warming += sent.filter(|attempt| attempt.backend == BackendId(1)).count();
        }
    }

    // Over 10 s, each backend could get 2.5 requests per second. The backend that is warming up can serve a
    // tenth to a half of that rate.
    assert!(sent_to_warming <= 12, "{sent_to_warming}");
}

#[test]
fn does_not_spend_accumulated_budgets_at_once_when_all_other_members_fail() {
    // Guards against budgets that accumulate to a whole request in balancers with little traffic. When the
    // other members failed, all balancers spent their budgets within a second, and the backend was
    // overloaded.
    let settings = Settings { slow_start_overload_multiple: 2.0, ..slow_start_settings(100, 0.1) };
    let mut sent_at_once = 0;
    for seed in 0..200 {
        let mut harness = BalancerHarness::with_seed(seed, settings.clone(), &endpoints(4));
        for id in 0..40 {
            harness.serve_request(id, 0.01);
            harness.advance_to(harness.now + 0.49);
        }
        let mut list = endpoints(4);
        let warming = harness.balancer.members().next().unwrap();
        restart(warming, &mut harness, &mut list);
        harness.advance_to(harness.now + 10.0);
        // All other backends are removed, so that only the backend that is warming up remains.
        for endpoint in list.iter_mut().filter(|endpoint| endpoint.id != warming) {
            endpoint.status = Status::Removed;
        }
        harness.handle(Event::Endpoints(EndpointUpdate::Full(&list)));

        sent_at_once += sent_attempts(&harness.handle_request(1000)).len();
    }

    // Each balancer sends 2 requests per second to a few members. The backend has half of its capacity, and
    // the budget is 0.8 of that for a second.
    assert!(sent_at_once <= 130, "{sent_at_once} of 200");
}

/// The number of requests that one balancer sent to each backend.
struct Distribution {
    /// The number of requests sent to each backend that was not replaced.
    sent_to_unchanged: Vec<u64>,
    /// The number of requests that were not sent at once.
    unsent: usize,
}

/// The number of balancers.
const INSTANCE_COUNT: usize = 17;
/// The number of backends that are not replaced; ten of sixteen are replaced.
const UNCHANGED_BACKEND_COUNT: usize = 6;
/// The number of requests that arrive at each balancer after the replacement.
const REQUEST_COUNT_AFTER_REPLACEMENT: u64 = 12;

/// Returns the distribution of the requests that arrive at one balancer after most backends were replaced.
fn distribute_after_replacement(instance_index: usize) -> Distribution {
    let settings = Settings {
        instance_count: INSTANCE_COUNT,
        instance_index,
        slow_start_duration: 9.0,
        slow_start_initial_capacity: 0.3,
        ..safe_settings()
    };
    let mut harness = BalancerHarness::with_seed(instance_index as u64, settings, &endpoints(16));
    for id in 0..100 {
        harness.serve_request(id, 0.08);
    }
    let mut list = endpoints(UNCHANGED_BACKEND_COUNT as u32);
    list.extend((101..=110).map(|id| Endpoint { started_at: Some(harness.now), ..endpoint(id) }));
    harness.handle(Event::Endpoints(EndpointUpdate::Full(&list)));

    let mut distribution = Distribution { sent_to_unchanged: vec![0; UNCHANGED_BACKEND_COUNT], unsent: 0 };
    for id in 200..200 + REQUEST_COUNT_AFTER_REPLACEMENT {
        match sent_attempts(&harness.handle_request(id)).first() {
            Some(attempt) => {
                if let Some(sent) = distribution.sent_to_unchanged.get_mut(attempt.backend.0 as usize - 1) {
                    *sent += 1;
                }
            }
            None => distribution.unsent += 1,
        }
    }
    distribution
}

#[test]
fn spreads_requests_over_all_unchanged_backends_when_members_are_warming_up() {
    let mut sent_by_all = vec![0; UNCHANGED_BACKEND_COUNT];
    let mut unsent = 0;
    let mut most_to_one_backend = 0;

    for instance_index in 0..INSTANCE_COUNT {
        let distribution = distribute_after_replacement(instance_index);
        unsent += distribution.unsent;
        most_to_one_backend = most_to_one_backend.max(*distribution.sent_to_unchanged.iter().max().unwrap());
        for (total, sent) in sent_by_all.iter_mut().zip(distribution.sent_to_unchanged) {
            *total += sent;
        }
    }

    assert_eq!(unsent, 0, "requests were not sent at once, although six backends are not warming up");
    assert!(
        most_to_one_backend <= REQUEST_COUNT_AFTER_REPLACEMENT / 2,
        "a balancer sent {most_to_one_backend} requests to one backend"
    );
    let mean = sent_by_all.iter().sum::<u64>() as f64 / UNCHANGED_BACKEND_COUNT as f64;
    assert!(
        sent_by_all.iter().all(|sent| (0.6 * mean..1.6 * mean).contains(&(*sent as f64))),
        "{sent_by_all:?}"
    );
}
