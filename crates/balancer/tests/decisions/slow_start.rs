//! Slow start: what backends that are warming up get from a single balancer.

use crate::common::actions::sends;
use crate::common::balancer_harness::BalancerHarness;
use crate::common::fixtures::{endpoint, endpoints, safe_settings};
use balancer::{BackendId, Endpoint, EndpointUpdate, Event, Outcome, Settings, Status};

/// Settings of one of many balancers, in whose subset a backend warms up for 20 s.
fn slow_start_settings(instance_count: usize, initial_capacity: f64) -> Settings {
    Settings {
        instance_count,
        slow_start_duration: 20.0,
        slow_start_initial_capacity: initial_capacity,
        ..safe_settings()
    }
}

/// The endpoint list changes: backend 1 has just started.
fn restart_first_backend(harness: &mut BalancerHarness, list: &mut [Endpoint]) {
    list[0].started_at = Some(harness.now);
    harness.handle(Event::Endpoints(EndpointUpdate::Full(list)));
}

#[test]
fn a_backend_that_is_warming_up_gets_its_part_of_the_traffic() {
    // Many balancers with little traffic stay, each on its own, far below the overload multiple.
    let settings = slow_start_settings(100, 0.2);
    let mut list = endpoints(4);
    let (mut sent_to_warming, mut sent_to_warm) = (0, 0);
    for seed in 0..100 {
        let mut harness = BalancerHarness::with_seed(seed, settings.clone(), &endpoints(4));
        for id in 0..40 {
            harness.serve(id, 0.01);
            harness.advance_to(harness.now + 0.24);
        }
        restart_first_backend(&mut harness, &mut list);
        for id in 100..108 {
            match harness.serve(id, 0.01) {
                BackendId(1) => sent_to_warming += 1,
                _ => sent_to_warm += 1,
            }
            harness.advance_to(harness.now + 0.24);
        }
    }

    let each_warm = sent_to_warm as f64 / 3.0;
    assert!(
        (sent_to_warming as f64) < 0.8 * each_warm,
        "{sent_to_warming} against {each_warm}: a fifth to a third, times the margin"
    );
    assert!(sent_to_warming > 0, "without requests a backend might never warm up");
}

#[test]
fn does_not_overload_backends_that_all_warm_up_at_once() {
    let mut list = endpoints(3);
    let mut harness = BalancerHarness::new(slow_start_settings(1, 0.1), &list);
    for id in 0..200 {
        harness.serve(id, 0.05);
    }
    for endpoint in &mut list {
        endpoint.started_at = Some(harness.now);
    }
    harness.handle(Event::Endpoints(EndpointUpdate::Full(&list)));

    let mut sent = 0;
    for id in 1000..1020 {
        let actions = harness.request(id);
        for attempt in sends(&actions) {
            sent += 1;
            harness.end_attempt(attempt, Outcome::Success, 0.05);
        }
        harness.advance_to(harness.now + 0.05);
    }

    // 20 a second at three backends with a tenth of their capacity: 3 x 0.1 x 6.7 each overloads them.
    assert!(sent <= 9, "{sent}");
}

#[test]
fn an_overload_does_not_raise_the_budget_of_a_backend_that_is_warming_up() {
    // Guards against budgets that follow what is sent: with clients that retry without pause the
    // budget was four times what the backends could do, and one was overloaded.
    let settings = Settings { slow_start_overload_multiple: 2.0, ..slow_start_settings(1, 0.1) };
    let mut list = endpoints(4);
    let mut harness = BalancerHarness::new(settings, &list);

    let mut sent_to_warming = 0;
    for id in 0..2000 {
        let sent_on_arrival = sends(&harness.request(id));
        if id == 1000 {
            restart_first_backend(&mut harness, &mut list);
        }
        // A hundred a second arrive, and ten of them get a response.
        if let Some(sent) = sent_on_arrival.first().filter(|_| id % 10 == 0) {
            harness.end_attempt(*sent, Outcome::Success, 0.05);
        }
        let actions = harness.actions_until(harness.now + 0.01);
        harness.end_cancelled_attempts(&actions);
        if id > 1000 {
            let sent = sent_on_arrival.into_iter().chain(sends(&actions));
            sent_to_warming += sent.filter(|attempt| attempt.backend == BackendId(1)).count();
        }
    }

    // Ten seconds of 2.5 a second and backend, of which it can do a tenth to a half.
    assert!(sent_to_warming <= 12, "{sent_to_warming}");
}

#[test]
fn balancers_with_little_traffic_do_not_spend_saved_budgets_at_once() {
    // Guards against budgets that balancers with little traffic save up to a whole request: when the
    // other members failed, all of them spent it within a second, and the backend was overloaded.
    let settings = Settings { slow_start_overload_multiple: 2.0, ..slow_start_settings(100, 0.1) };
    let mut sent_at_once = 0;
    for seed in 0..200 {
        let mut harness = BalancerHarness::with_seed(seed, settings.clone(), &endpoints(4));
        for id in 0..40 {
            harness.serve(id, 0.01);
            harness.advance_to(harness.now + 0.49);
        }
        let mut list = endpoints(4);
        restart_first_backend(&mut harness, &mut list);
        harness.advance_to(harness.now + 10.0);
        // Now every other backend fails, and only the one that is warming up is left.
        for endpoint in &mut list[1..] {
            endpoint.status = Status::Removed;
        }
        harness.handle(Event::Endpoints(EndpointUpdate::Full(&list)));

        sent_at_once += sends(&harness.request(1000)).len();
    }

    // Two a second over a few members, half of capacity there, 0.8 of it for a second.
    assert!(sent_at_once <= 130, "{sent_at_once} of 200");
}

/// Where the requests of one balancer went.
struct Distribution {
    /// Requests sent to each of the backends that are not warming up.
    to_warm: Vec<u64>,
    /// Requests that were not sent at once.
    unsent: usize,
}

/// One of 17 balancers before 16 backends, all but `warm_backends` of which are replaced by new ones;
/// then this number of requests arrives.
fn distribute_after_replacement(instance_index: usize, warm_backends: usize, requests: u64) -> Distribution {
    let settings = Settings {
        instance_count: INSTANCE_COUNT,
        instance_index,
        slow_start_duration: 9.0,
        slow_start_initial_capacity: 0.3,
        ..safe_settings()
    };
    let mut harness = BalancerHarness::with_seed(instance_index as u64, settings, &endpoints(16));
    for id in 0..100 {
        harness.serve(id, 0.08);
    }
    let mut list = endpoints(warm_backends as u32);
    list.extend((101..=110).map(|id| Endpoint { started_at: Some(harness.now), ..endpoint(id) }));
    harness.handle(Event::Endpoints(EndpointUpdate::Full(&list)));

    let mut distribution = Distribution { to_warm: vec![0; warm_backends], unsent: 0 };
    for id in 200..200 + requests {
        match sends(&harness.request(id)).first() {
            Some(attempt) => {
                if let Some(sent) = distribution.to_warm.get_mut(attempt.backend.0 as usize - 1) {
                    *sent += 1;
                }
            }
            None => distribution.unsent += 1,
        }
    }
    distribution
}

const INSTANCE_COUNT: usize = 17;

#[test]
fn spreads_what_warming_members_cannot_take_over_all_warm_backends() {
    let (warm_backends, requests) = (6, 12);

    let mut sent_by_all = vec![0; warm_backends];
    let (mut unsent, mut most_to_one_backend) = (0, 0);
    for instance_index in 0..INSTANCE_COUNT {
        let distribution = distribute_after_replacement(instance_index, warm_backends, requests);
        unsent += distribution.unsent;
        most_to_one_backend = most_to_one_backend.max(*distribution.to_warm.iter().max().unwrap());
        for (total, sent) in sent_by_all.iter_mut().zip(distribution.to_warm) {
            *total += sent;
        }
    }

    assert_eq!(unsent, 0, "requests that found no backend, with six warm ones");
    assert!(
        most_to_one_backend <= requests / 2,
        "{most_to_one_backend} of {requests} requests of a balancer went to one backend"
    );
    let mean = sent_by_all.iter().sum::<u64>() as f64 / warm_backends as f64;
    assert!(
        sent_by_all.iter().all(|sent| (0.6 * mean..1.6 * mean).contains(&(*sent as f64))),
        "{sent_by_all:?}"
    );
}
