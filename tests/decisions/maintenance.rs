//! Backends in maintenance get no request, and return through slow start.

use crate::common::balancer_harness::{
    BalancerHarness, endpoint, is_rejected, safe_settings, sends, without_times,
};
use balancer_proxy::*;
use std::collections::BTreeSet;

fn maintain(harness: &mut BalancerHarness, id: u32, out: bool) -> Vec<Action> {
    harness.handle(Event::Maintenance { backend: BackendId(id), out })
}

#[test]
fn a_backend_that_is_out_gets_nothing_whatever_the_list_says() {
    let mut harness = BalancerHarness::new(safe_settings(), &[endpoint(1), endpoint(2)]);
    harness.serve(1, 0.01);
    assert_eq!(maintain(&mut harness, 1, true), [Action::CloseIdleConnections(BackendId(1))]);
    assert_eq!(maintain(&mut harness, 1, true), [], "once is enough");
    assert_eq!((harness.balancer.backends_listed(), harness.balancer.backends_avoided()), (2, 1));
    let gone = Endpoint { status: Status::Removed, ..endpoint(1) };
    let restarted = Endpoint { started_at: Some(0.0), ..endpoint(1) };
    for (i, update) in [
        EndpointUpdate::Changes(&[restarted]),
        EndpointUpdate::Full(&[endpoint(2)]),
        EndpointUpdate::Changes(&[gone]),
        EndpointUpdate::Full(&[endpoint(1), endpoint(2)]),
    ]
    .into_iter()
    .enumerate()
    {
        harness.handle(Event::Endpoints(update));
        for id in 0..20 {
            assert_eq!(harness.serve(100 * (i as u64 + 1) + id, 0.01), 2, "{update:?}");
        }
    }
    // Nor does a repeat, though it has nowhere else to go.
    let actions = harness.request(1000);
    assert_eq!(sends(&actions), [(1000, 2)]);
    let mut seen = harness.end_attempt(1000, 0, 2, Outcome::Reset, 0.01);
    seen.extend(without_times(harness.advance_to(harness.now + 3.0)));
    assert!(sends(&seen).is_empty() && is_rejected(&seen, 1000), "{seen:?}");
}

#[test]
fn a_backend_that_was_never_told_of_may_be_out() {
    let mut harness = BalancerHarness::new(safe_settings(), &[endpoint(2)]);
    maintain(&mut harness, 1, true);
    harness.handle(Event::Endpoints(EndpointUpdate::Full(&[endpoint(1), endpoint(2)])));
    for id in 0..20 {
        assert_eq!(harness.serve(id, 0.01), 2);
    }
}

/// Ten calls at once, answered unevenly, so that none is repeated; how many of them went to the
/// first backend.
fn ten(harness: &mut BalancerHarness, from: u64) -> usize {
    ten_to(harness, from).into_iter().filter(|to| *to == 1).count()
}

/// Where they went.
fn ten_to(harness: &mut BalancerHarness, from: u64) -> Vec<u32> {
    let to: Vec<u32> = (from..from + 10).map(|id| sends(&harness.request(id))[0].1).collect();
    for (i, (id, to)) in (from..).zip(&to).enumerate() {
        if i % 5 == 0 {
            harness.advance_to(harness.now + 0.05);
        }
        let took = if i < 5 { 0.05 } else { 0.1 };
        harness.end_attempt(id, 0, *to, Outcome::Success, took);
    }
    to
}

#[test]
fn one_call_brings_it_back_as_a_cold_one_that_is_soon_used() {
    let settings =
        Settings { slow_start_duration: 20.0, slow_start_initial_capacity: 0.1, ..safe_settings() };
    // The list shows no start, one from before it went, or one since then.
    for (started, cold) in [(None, true), (Some(-60.0), true), (Some(2.5), false)] {
        let entries = [Endpoint { started_at: started.filter(|s| *s < 0.0), ..endpoint(1) }, endpoint(2)];
        let mut harness = BalancerHarness::new(settings.clone(), &entries);
        let before: usize = (0..20).map(|i| ten(&mut harness, 10 * i)).sum();
        maintain(&mut harness, 1, true);
        let meanwhile: usize = (20..220).map(|i| ten(&mut harness, 10 * i)).sum();
        assert_eq!(meanwhile, 0);
        harness.handle(Event::Endpoints(EndpointUpdate::Full(&[
            Endpoint { started_at: started, ..endpoint(1) },
            endpoint(2),
        ])));
        maintain(&mut harness, 1, true);
        maintain(&mut harness, 1, false);
        maintain(&mut harness, 1, false);
        let after: usize = (220..240).map(|i| ten(&mut harness, 10 * i)).sum();
        assert!(after > 0, "within two seconds it is used");
        assert_eq!(3 * after < before, cold, "{after} against {before}, started {started:?}");
    }
}

#[test]
fn a_member_is_one_again_whatever_was_dealt_meanwhile() {
    // Twelve backends, four to each of three balancers; one of them goes and others come meanwhile.
    let entries: Vec<Endpoint> = (1..=12).map(endpoint).collect();
    let settings = Settings { instance_count: 3, slow_start_duration: 1.0, ..safe_settings() };
    for me in 0..3 {
        let mut harness = BalancerHarness::new(Settings { instance_index: me, ..settings.clone() }, &entries);
        let tens = (0..20).flat_map(|i| ten_to(&mut harness, 10 * i));
        let used: BTreeSet<u32> = tens.collect();
        assert!(used.len() < 12, "{used:?}");
        for (member, gone) in used.into_iter().flat_map(|m| (1..=12).map(move |gone| (m, gone))) {
            let mut harness =
                BalancerHarness::new(Settings { instance_index: me, ..settings.clone() }, &entries);
            (0..20).for_each(|i| drop(ten_to(&mut harness, 10 * i)));
            maintain(&mut harness, member, true);
            let others: Vec<Endpoint> = entries.iter().filter(|e| e.id.0 != gone).cloned().collect();
            harness.handle(Event::Endpoints(EndpointUpdate::Full(&others)));
            (20..40).for_each(|i| drop(ten_to(&mut harness, 10 * i)));
            maintain(&mut harness, member, false);
            // One that went itself is back a little later, and others in shared_address of the rest.
            let new = (20..24).map(endpoint).chain([endpoint(member)]);
            let new: Vec<Endpoint> = others.iter().filter(|e| e.id.0 != member).cloned().chain(new).collect();
            harness.handle(Event::Endpoints(EndpointUpdate::Full(&new)));
            let mut after = (40..80).flat_map(|i| ten_to(&mut harness, 10 * i));
            assert!(after.any(|to| to == member), "{member} at {me}, {gone} gone");
        }
    }
}

#[test]
fn a_stand_in_that_was_used_is_used_again() {
    // One balancer of many; its members are cold when calls come, so that others stand in.
    let settings = Settings {
        instance_count: 20,
        slow_start_duration: 2.0,
        slow_start_initial_capacity: 0.1,
        connections_have_cost: true,
        ..safe_settings()
    };
    let entries: Vec<Endpoint> = (1..=12).map(endpoint).collect();
    let mut harness = BalancerHarness::new(settings.clone(), &entries);
    let members: BTreeSet<u32> = (0..40).flat_map(|i| ten_to(&mut harness, 10 * i)).collect();
    let started = Some(harness.now);
    let cold =
        |e: &Endpoint| Endpoint { started_at: started.filter(|_| members.contains(&e.id.0)), ..e.clone() };
    let cold: Vec<Endpoint> = entries.iter().map(cold).collect();
    harness.handle(Event::Endpoints(EndpointUpdate::Full(&cold)));
    let to: Vec<u32> = (40..60).flat_map(|i| ten_to(&mut harness, 10 * i)).collect();
    let stand_in = *to.iter().find(|to| !members.contains(to)).expect("one that stands in");
    maintain(&mut harness, stand_in, true);
    (60..90).for_each(|i| drop(ten_to(&mut harness, 10 * i)));
    maintain(&mut harness, stand_in, false);
    let mut after = (90..130).flat_map(|i| ten_to(&mut harness, 10 * i));
    assert!(after.any(|to| to == stand_in), "{stand_in}, members {members:?}");
}

#[test]
fn a_return_that_was_no_absence_changes_nothing() {
    let settings =
        Settings { slow_start_duration: 20.0, slow_start_initial_capacity: 0.1, ..safe_settings() };
    let mut harness = BalancerHarness::new(settings.clone(), &[endpoint(1), endpoint(2)]);
    let mut other = BalancerHarness::new(settings, &[endpoint(1), endpoint(2)]);
    assert_eq!(maintain(&mut harness, 1, false), []);
    for i in 0..20 {
        assert_eq!(ten(&mut harness, 10 * i), ten(&mut other, 10 * i));
    }
}
