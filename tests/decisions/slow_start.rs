//! Slow start: what a backend that is warming up gets from a single balancer.

use crate::common::balancer_harness::{
    BalancerHarness, endpoint, endpoints, safe_settings, sends, without_times,
};
use balancer_proxy::*;

#[test]
fn cold_backends_get_their_part_of_the_traffic() {
    // Many quiet balancers, each on its own, stay far under the multiple that tips it over.
    let settings = Settings {
        instance_count: 100,
        slow_start_duration: 20.0,
        slow_start_initial_capacity: 0.2,
        ..safe_settings()
    };
    let mut list = endpoints(4);
    let (mut cold, mut warm) = (0, 0);
    for seed in 0..100 {
        let mut harness = BalancerHarness::with_seed(seed, settings.clone(), &endpoints(4));
        for id in 0..40 {
            harness.serve(id, 0.01);
            harness.advance_to(harness.now + 0.24);
        }
        list[0].started_at = Some(harness.now);
        harness.handle(Event::Endpoints(EndpointUpdate::Full(&list)));
        for id in 100..108 {
            match harness.serve(id, 0.01) {
                1 => cold += 1,
                _ => warm += 1,
            }
            harness.advance_to(harness.now + 0.24);
        }
    }
    let each = warm as f64 / 3.0;
    assert!((cold as f64) < 0.8 * each, "{cold} against {each}: a fifth to a third, times the margin");
    assert!(cold > 0, "a cold backend gets some, or it would never warm by requests");
}

#[test]
fn most_of_the_fleet_cold_is_not_pushed_over() {
    let settings = Settings {
        instance_count: 1,
        slow_start_duration: 20.0,
        slow_start_initial_capacity: 0.1,
        ..safe_settings()
    };
    let mut list = endpoints(3);
    let mut harness = BalancerHarness::new(settings, &list);
    for id in 0..200 {
        harness.serve(id, 0.05);
    }
    let start = harness.now;
    list.iter_mut().for_each(|e| e.started_at = Some(start));
    harness.handle(Event::Endpoints(EndpointUpdate::Full(&list)));
    let mut sent = 0;
    for id in 1000..1020 {
        let actions = harness.request(id);
        for (id, to) in sends(&actions) {
            sent += 1;
            harness.end_attempt(id, 0, to, Outcome::Success, 0.05);
        }
        harness.advance_to(harness.now + 0.05);
    }
    // 20 a second at three backends, cold to a tenth: 3 x 0.1 x 6.7 each is what tips them.
    assert!(sent <= 9, "{sent}");
}

#[test]
fn an_overload_does_not_widen_the_budget_of_cold_backends() {
    // Guards against budgets that follow what is sent: with clients that repeat without pause
    // it was four times what the backends could do, and one fell over.
    let settings = Settings {
        instance_count: 1,
        slow_start_duration: 20.0,
        slow_start_initial_capacity: 0.1,
        slow_start_overload_multiple: 2.0,
        ..safe_settings()
    };
    let mut list = endpoints(4);
    let mut harness = BalancerHarness::new(settings, &list);
    let mut cold = 0;
    for id in 0..2000 {
        let actions = harness.request(id);
        if id == 1000 {
            list[0].started_at = Some(harness.now);
            harness.handle(Event::Endpoints(EndpointUpdate::Full(&list)));
        }
        cold += sends(&actions).iter().filter(|s| id > 1000 && s.1 == 1).count();
        // A hundred a second come, and ten of them are answered.
        if let Some((_, to)) = sends(&actions).first().filter(|_| id % 10 == 0) {
            harness.end_attempt(id, 0, *to, Outcome::Success, 0.05);
        }
        let seen = harness.advance_to(harness.now + 0.01);
        cold += sends(&without_times(seen.clone())).iter().filter(|s| id > 1000 && s.1 == 1).count();
        harness.end_cancelled_attempts(&without_times(seen));
    }
    // Ten seconds of 2.5 a second and backend, of which it can do a tenth to a half.
    assert!(cold <= 12, "{cold}");
}

#[test]
fn what_was_saved_for_a_cold_backend_does_not_come_at_once() {
    // Guards against budgets that quiet balancers save up to a whole request: when the other
    // members turned bad, all of them spent it within a second, and a cold backend fell over.
    let settings = Settings {
        instance_count: 100,
        slow_start_duration: 20.0,
        slow_start_initial_capacity: 0.1,
        slow_start_overload_multiple: 2.0,
        ..safe_settings()
    };
    let mut at_once = 0;
    for seed in 0..200 {
        let mut harness = BalancerHarness::with_seed(seed, settings.clone(), &endpoints(4));
        for id in 0..40 {
            harness.serve(id, 0.01);
            harness.advance_to(harness.now + 0.49);
        }
        let mut list = endpoints(4);
        list[0].started_at = Some(harness.now);
        harness.handle(Event::Endpoints(EndpointUpdate::Full(&list)));
        harness.advance_to(harness.now + 10.0);
        // Now every other backend fails, and all balancers want the cold one.
        (2..=4).for_each(|id| list[id - 1].status = Status::Removed);
        harness.handle(Event::Endpoints(EndpointUpdate::Full(&list)));
        at_once += sends(&harness.request(1000)).len();
    }
    // Two a second over a few members, half of capacity there, 0.8 of it for a second.
    assert!(at_once <= 130, "{at_once} of 200");
}

#[test]
fn what_cold_members_cannot_take_is_spread_over_all_that_are_warm() {
    // Seventeen balancers before sixteen backends, of which all but six are replaced by cold ones.
    let (warm, instances, calls) = (6, 17, 12);
    let (mut met, mut unsent) = (vec![0; warm], 0);
    let mut most_at_one = 0;
    for me in 0..instances {
        let settings = Settings {
            instance_count: instances,
            instance_index: me,
            slow_start_duration: 9.0,
            slow_start_initial_capacity: 0.3,
            ..safe_settings()
        };
        let mut harness = BalancerHarness::with_seed(me as u64, settings, &endpoints(16));
        for id in 0..100 {
            harness.serve(id, 0.08);
        }
        let mut list = endpoints(warm as u32);
        list.extend((101..=110).map(|id| Endpoint { started_at: Some(harness.now), ..endpoint(id) }));
        harness.handle(Event::Endpoints(EndpointUpdate::Full(&list)));
        let mut own = vec![0; warm];
        for id in 200..200 + calls {
            match sends(&harness.request(id)).first() {
                Some(&(_, to)) => own.get_mut(to as usize - 1).into_iter().for_each(|n| *n += 1),
                None => unsent += 1,
            }
        }
        most_at_one = most_at_one.max(*own.iter().max().unwrap());
        met.iter_mut().zip(own).for_each(|(all, n)| *all += n);
    }
    assert_eq!(unsent, 0, "calls that found no backend, with six warm ones");
    assert!(most_at_one <= calls / 2, "{most_at_one} of {calls} calls of a balancer went to one");
    let mean = met.iter().sum::<u64>() as f64 / warm as f64;
    assert!(met.iter().all(|n| (0.6 * mean..1.6 * mean).contains(&(*n as f64))), "{met:?}");
}
