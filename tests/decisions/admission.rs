//! Admission: load shedding at the entry tier, quotas and priority weights.

use crate::common::balancer_harness::{
    BalancerHarness, endpoint, endpoints, is_rejected, request_class, safe_settings, sends, tenant,
    without_times,
};
use balancer_proxy::*;

#[test]
fn the_entry_sheds_in_a_jam_and_inner_balancers_never() {
    for tier in [0, 1] {
        let mut harness = BalancerHarness::new(Settings { tier, ..safe_settings() }, &endpoints(4));
        for id in 0..100 {
            harness.serve(id, 0.05);
        }
        let mut shed = 0;
        for id in 1000..1200 {
            assert!(!is_rejected(&harness.request(id), id), "it waits for a while");
            let actions = without_times(harness.advance_to(harness.now + 0.005));
            shed += actions.iter().filter(|a| matches!(a, Action::Reject { .. })).count();
        }
        if tier == 0 { assert!(shed > 50, "{shed}") } else { assert_eq!(shed, 0) }
    }
}

/// The entry with two balancers before four backends, which answer all calls alike: traffic of
/// `usual` calls a second for a while, then twice that for 5 s. Returns how many of the latter
/// were not sent at once.
fn held_back_when_traffic_doubles(usual: f64) -> usize {
    let mut harness =
        BalancerHarness::new(Settings { tier: 0, instance_count: 2, ..safe_settings() }, &endpoints(4));
    let took = 0.24;
    let mut out = std::collections::VecDeque::<(Time, u64, u32)>::new();
    let mut held_back = 0;
    let (early, late) = ((40.0 * usual) as u64, (10.0 * usual) as u64);
    for id in 0..early + late {
        let next = harness.now + if id < early { 1.0 / usual } else { 0.5 / usual };
        let mut actions = harness.request(id);
        held_back += usize::from(id >= early && sends(&actions).is_empty());
        while let Some(&(at, done, to)) = out.front().filter(|o| o.0 <= next) {
            actions.extend(without_times(harness.advance_to(at)));
            out.pop_front();
            actions.extend(harness.end_attempt(done, 0, to, Outcome::Success, took));
        }
        actions.extend(without_times(harness.advance_to(next)));
        out.extend(sends(&actions).into_iter().map(|(id, to)| (harness.now + took, id, to)));
    }
    held_back
}

#[test]
fn a_few_calls_at_each_backend_are_no_pressure() {
    // What a stopped balancer leaves to the other one, on a small day at the entry: 7 calls each.
    assert_eq!(held_back_when_traffic_doubles(28.0), 0);
}

#[test]
fn calls_at_stand_ins_count_as_pressure() {
    let settings = Settings {
        tier: 0,
        slow_start_duration: 1000.0,
        slow_start_initial_capacity: 0.01,
        ..safe_settings()
    };
    let mut list = endpoints(12);
    let mut harness = BalancerHarness::new(Settings { instance_count: 4, ..settings }, &list);
    let members: std::collections::BTreeSet<u32> = (0..200).map(|id| harness.serve(id, 0.05)).collect();
    assert!(members.len() < 12, "{members:?}");
    // All members are cold from now on, so that others take nearly every call.
    let now = harness.now;
    list.iter_mut().filter(|e| members.contains(&e.id.0)).for_each(|e| e.started_at = Some(now));
    harness.handle(Event::Endpoints(EndpointUpdate::Full(&list)));
    let out: usize = (1000..1200).map(|id| sends(&harness.request(id)).len()).sum();
    assert!(out < 60, "{out} of 200 calls sent, with none answered");
}

#[test]
fn fast_cold_members_do_not_hide_a_jam_at_all_others() {
    let settings = Settings {
        tier: 0,
        instance_count: 1,
        slow_start_duration: 1000.0,
        slow_start_initial_capacity: 0.01,
        ..safe_settings()
    };
    let mut list = endpoints(6);
    let mut harness = BalancerHarness::new(settings, &list);
    for id in 0..200 {
        harness.serve(id, 0.05);
    }
    let now = harness.now;
    list[3..].iter_mut().for_each(|e| e.started_at = Some(now));
    harness.handle(Event::Endpoints(EndpointUpdate::Full(&list)));
    // The warm half answers eight times slower; the cold half gets next to nothing.
    for id in 300..315 {
        harness.serve(id, 0.8);
    }
    let out: usize = (1000..1200).map(|id| sends(&harness.request(id)).len()).sum();
    assert!(out < 100, "{out} of 200 calls sent, with none answered");
}

#[test]
fn pressure_does_not_cut_repeats_of_calls_that_could_not_connect() {
    let mut harness =
        BalancerHarness::new(Settings { tier: 0, instance_count: 1, ..safe_settings() }, &endpoints(3));
    let mut out = std::collections::VecDeque::<(Time, u64, u32, Time)>::new();
    // A hundred a second for a while, answered after 0.05 s or 0.2 s; then no answers come.
    for id in 0..540 {
        let took = if id % 2 == 0 { 0.05 } else { 0.2 };
        out.extend(
            sends(&harness.request(id)).into_iter().map(|(id, to)| (harness.now + took, id, to, took)),
        );
        harness.advance_to(harness.now + 0.01);
        out.make_contiguous().sort_by(|x, y| x.0.total_cmp(&y.0));
        while let Some((_, done, to, took)) = out.front().copied().filter(|o| id < 500 && o.0 <= harness.now)
        {
            out.pop_front();
            let actions = harness.end_attempt(done, 0, to, Outcome::Success, took);
            harness.end_cancelled_attempts(&actions);
        }
    }
    assert!(sends(&harness.request(1000)).is_empty(), "there is pressure, as it waits at the entry");
    let unreached: Vec<(u64, u32)> = out.iter().rev().take(10).map(|o| (o.1, o.2)).collect();
    for (id, to) in &unreached {
        harness.end_attempt(*id, 0, *to, Outcome::NoConnection, 0.001);
    }
    harness.advance_to(harness.now + 0.6);
    let again = unreached.iter().filter(|(id, _)| harness.attempts[id].len() > 1).count();
    assert!(again >= 8, "{again} of 10 sent again");
}

#[test]
fn least_worth_and_over_share_go_first() {
    let mut settings = safe_settings();
    settings.tier = 0;
    settings.classes.push(RequestClass { priority_weight: 10.0, ..request_class(Effect::Safe) });
    settings.tenants = vec![tenant("small", 1.0), tenant("large", 1000.0)];
    settings.over_quota_weight = 0.01;
    let mut harness = BalancerHarness::new(settings, &endpoints(4));
    let mut shed = [[0; 2]; 2];
    let mut waiting = std::collections::VecDeque::<(u64, u32, Time)>::new();
    let kind = |round: u64| (round as usize % 2, round as usize / 2 % 2);
    for round in 0..4000u64 {
        let (class, tenant) = kind(round);
        let request = Request {
            id: RequestId(round),
            class,
            tenant: Some(tenant),
            key: None,
            timeout: 2.0,
            streaming_body: false,
        };
        let mut actions = harness.handle(Event::Request(request));
        // One fleet that answers in turn: all of what comes at first, then seven in ten.
        if (round < 500 || round % 10 < 7)
            && let Some((id, to, sent)) = waiting.pop_front()
        {
            let took = harness.now - sent;
            actions.extend(harness.end_attempt(id, 0, to, Outcome::Success, took.max(0.001)));
        }
        actions.extend(without_times(harness.advance_to(harness.now + 0.005)));
        actions.extend(harness.end_cancelled_attempts(&actions.clone()));
        waiting.extend(sends(&actions).into_iter().map(|(id, to)| (id, to, harness.now)));
        for id in
            actions.iter().filter_map(|a| if let Action::Reject { id, .. } = a { Some(id.0) } else { None })
        {
            let (class, tenant) = kind(id);
            shed[class][tenant] += usize::from(id > 500);
        }
    }
    assert!(shed[0][0] >= shed[0][1] && shed[0][1] >= shed[1][1], "{shed:?}");
    assert!(shed[0][0] > 2 * shed[1][1], "{shed:?}");
}

#[test]
fn hung_backends_do_not_make_the_entry_shed() {
    // Guards against calls stuck at a few bad backends passing for an overload of the fleet.
    let mut settings = safe_settings();
    (settings.tier, settings.hedging_allowed) = (0, false);
    let mut harness = BalancerHarness::new(settings, &endpoints(8));
    for id in 0..60 {
        harness.serve(id, 0.02);
    }
    let mut shed = 0;
    for id in 100..400 {
        let actions = harness.request(id);
        shed += usize::from(is_rejected(&actions, id));
        let seen = without_times(harness.advance_to(harness.now + 0.01));
        harness.end_cancelled_attempts(&seen);
        // Backends 1 to 6 answer nothing; the others as usual.
        if let Some((_, to)) = sends(&actions).first().filter(|s| s.1 > 6) {
            harness.end_attempt(id, 0, *to, Outcome::Success, 0.01);
        }
    }
    assert!(shed < 60, "{shed} of 300");
}

#[test]
fn a_call_that_cannot_be_answered_in_time_is_refused() {
    // Guards against work for calls whose caller gives up before it is done.
    let mut harness = BalancerHarness::new(safe_settings(), &endpoints(4));
    for id in 0..30 {
        harness.serve(id, 0.1);
    }
    assert!(is_rejected(&harness.request_with_timeout(100, 0.05), 100));
    assert!(!is_rejected(&harness.request_with_timeout(101, 0.09), 101));
}

/// How many of forty requests that come at once are let in at once, by a balancer that knows what
/// is usual.
fn let_in(beside: &[bool]) -> usize {
    let settings = Settings { tier: 0, instance_count: 1, ..safe_settings() };
    let mut harness = BalancerHarness::new(settings, &[endpoint(1), endpoint(2)]);
    for id in 0..100 {
        harness.serve(id, 0.1);
    }
    beside.iter().for_each(|beside| drop(harness.handle(Event::SecondProcess(*beside))));
    (1000..1040).map(|id| sends(&harness.request(id)).len()).sum()
}

#[test]
fn two_processes_side_by_side_let_in_no_more_than_one() {
    let alone = let_in(&[]);
    assert!((10..40).contains(&alone), "{alone}");
    let half = let_in(&[true]);
    assert!(2 * half <= alone + 1 && half > 0, "{half} beside another, {alone} alone");
    assert_eq!(let_in(&[true, true, false]), alone);
}
