//! Maintenance: a balancer sends no request to a backend in maintenance. Slow start follows the maintenance.

use std::collections::BTreeSet;
use std::ops::Range;

use crate::common::actions::{SentAttempt, is_rejected, sent_attempts};
use crate::common::balancer_harness::BalancerHarness;
use crate::common::fixtures::{endpoint, endpoints, safe_settings};
use balancer::{
    Action, BackendId, Endpoint, EndpointUpdate, Event, MaintenanceChange, Outcome, Settings, Status, Time,
};

fn begin_maintenance(harness: &mut BalancerHarness, id: u32) -> Vec<Action> {
    harness.handle(Event::Maintenance { backend: BackendId(id), change: MaintenanceChange::Begins })
}

fn end_maintenance(harness: &mut BalancerHarness, id: u32) -> Vec<Action> {
    harness.handle(Event::Maintenance { backend: BackendId(id), change: MaintenanceChange::Ends })
}

/// Sends ten requests at once in each of these rounds, and returns their backends. The requests end at
/// different times, so that none is retried.
fn send_rounds(harness: &mut BalancerHarness, rounds: Range<u64>) -> Vec<BackendId> {
    rounds.flat_map(|round| send_ten_requests(harness, 10 * round)).collect()
}

fn send_ten_requests(harness: &mut BalancerHarness, first_id: u64) -> Vec<BackendId> {
    let sent: Vec<_> = (first_id..first_id + 10).map(|id| harness.send_request(id)).collect();
    for (index, attempt) in sent.iter().enumerate() {
        if index % 5 == 0 {
            harness.advance_to(harness.now + 0.05);
        }
        let duration = if index < 5 { 0.05 } else { 0.1 };
        harness.end_attempt(*attempt, Outcome::Success, duration);
    }
    sent.into_iter().map(|attempt| attempt.backend).collect()
}

fn count_sent_to_first_backend(backends: &[BackendId]) -> usize {
    backends.iter().filter(|backend| **backend == BackendId(1)).count()
}

#[test]
fn sends_nothing_to_a_backend_in_maintenance_whatever_the_endpoint_list_contains() {
    let mut harness = BalancerHarness::new(safe_settings(), &[endpoint(1), endpoint(2)]);
    harness.serve_request(1, 0.01);

    assert_eq!(begin_maintenance(&mut harness, 1), [Action::CloseIdleConnections(BackendId(1))]);
    assert_eq!(begin_maintenance(&mut harness, 1), [], "the backend is in maintenance already");

    assert_eq!(harness.balancer.backends_listed(), 2);
    assert_eq!(harness.balancer.backends_avoided(), 1);
    let removed = Endpoint { status: Status::Removed, ..endpoint(1) };
    let restarted = Endpoint { started_at: Some(0.0), ..endpoint(1) };
    let updates = [
        EndpointUpdate::Changes(&[restarted]),
        EndpointUpdate::Full(&[endpoint(2)]),
        EndpointUpdate::Changes(&[removed]),
        EndpointUpdate::Full(&[endpoint(1), endpoint(2)]),
    ];
    for (update, first_id) in updates.into_iter().zip((100..).step_by(100)) {
        harness.handle(Event::Endpoints(update));
        for id in first_id..first_id + 20 {
            assert_eq!(harness.serve_request(id, 0.01), BackendId(2), "{update:?}");
        }
    }
    // A retry is not sent to the backend in maintenance either, although there is no other backend.
    let sent = SentAttempt::new(1000, 2);
    assert_eq!(sent_attempts(&harness.handle_request(1000)), [sent]);
    let mut actions = harness.end_attempt(sent, Outcome::Reset, 0.01);
    actions.extend(harness.actions_until(harness.now + 3.0));

    assert!(sent_attempts(&actions).is_empty() && is_rejected(&actions, 1000), "{actions:?}");
}

#[test]
fn sends_nothing_to_a_backend_in_maintenance_that_is_listed_later() {
    let mut harness = BalancerHarness::new(safe_settings(), &[endpoint(2)]);

    begin_maintenance(&mut harness, 1);
    harness.handle(Event::Endpoints(EndpointUpdate::Full(&[endpoint(1), endpoint(2)])));

    for id in 0..20 {
        assert_eq!(harness.serve_request(id, 0.01), BackendId(2));
    }
}

fn slow_start_settings() -> Settings {
    Settings { slow_start_duration: 20.0, slow_start_initial_capacity: 0.1, ..safe_settings() }
}

/// A backend that returns from maintenance.
struct ReturningBackend {
    /// The start time of the backend in the endpoint list at its return, in seconds.
    started_at: Option<Time>,
    /// Whether slow start follows the maintenance.
    warms_up: bool,
}

#[test]
fn slow_start_follows_maintenance_unless_the_backend_restarted_before_its_end() {
    // The list has no start time, one before the maintenance, or one during the maintenance.
    let returning_backends = [
        ReturningBackend { started_at: None, warms_up: true },
        ReturningBackend { started_at: Some(-60.0), warms_up: true },
        ReturningBackend { started_at: Some(2.5), warms_up: false },
    ];
    for ReturningBackend { started_at, warms_up } in returning_backends {
        let started_before = started_at.filter(|time| *time < 0.0);
        let list = [Endpoint { started_at: started_before, ..endpoint(1) }, endpoint(2)];
        let mut harness = BalancerHarness::new(slow_start_settings(), &list);
        let sent_before = count_sent_to_first_backend(&send_rounds(&mut harness, 0..20));
        begin_maintenance(&mut harness, 1);
        let sent_during = count_sent_to_first_backend(&send_rounds(&mut harness, 20..220));
        assert_eq!(sent_during, 0);
        let list = [Endpoint { started_at, ..endpoint(1) }, endpoint(2)];
        harness.handle(Event::Endpoints(EndpointUpdate::Full(&list)));

        begin_maintenance(&mut harness, 1);
        end_maintenance(&mut harness, 1);
        end_maintenance(&mut harness, 1);

        let sent_after = count_sent_to_first_backend(&send_rounds(&mut harness, 220..240));
        assert!(sent_after > 0, "the backend gets requests within 2 s");
        assert_eq!(
            3 * sent_after < sent_before,
            warms_up,
            "{sent_after} requests after and {sent_before} before, started {started_at:?}"
        );
    }
}

/// A member in maintenance, and a backend that is removed during the maintenance.
struct MemberAndRemovedBackend {
    member: BackendId,
    removed: BackendId,
}

/// Returns every pair of a member and a backend of the list.
fn pairs_of_member_and_removed(
    members: &BTreeSet<BackendId>,
    list: &[Endpoint],
) -> Vec<MemberAndRemovedBackend> {
    let pairs_of_member =
        |member| list.iter().map(move |endpoint| MemberAndRemovedBackend { member, removed: endpoint.id });
    members.iter().flat_map(|member| pairs_of_member(*member)).collect()
}

#[test]
fn uses_a_member_again_after_its_maintenance_whatever_backend_was_removed_meanwhile() {
    // Each of three balancers has four of the twelve backends as members. During the maintenance of a member,
    // one of the backends is removed.
    let list = endpoints(12);
    for instance_index in 0..3 {
        let settings =
            Settings { instance_count: 3, instance_index, slow_start_duration: 1.0, ..safe_settings() };
        let mut harness = BalancerHarness::new(settings.clone(), &list);
        let members: BTreeSet<BackendId> = send_rounds(&mut harness, 0..20).into_iter().collect();
        assert!(members.len() < 12, "{members:?}");
        for MemberAndRemovedBackend { member, removed } in pairs_of_member_and_removed(&members, &list) {
            let mut harness = BalancerHarness::new(settings.clone(), &list);
            send_rounds(&mut harness, 0..20);
            begin_maintenance(&mut harness, member.0);
            let others: Vec<Endpoint> =
                list.iter().filter(|endpoint| endpoint.id != removed).cloned().collect();
            harness.handle(Event::Endpoints(EndpointUpdate::Full(&others)));
            send_rounds(&mut harness, 20..40);
            end_maintenance(&mut harness, member.0);
            // After the maintenance, four backends are added, and the member is listed even if it was
            // removed.
            let added = (20..24).map(endpoint).chain([endpoint(member.0)]);
            let others = others.iter().filter(|endpoint| endpoint.id != member).cloned();
            let list_after: Vec<Endpoint> = others.chain(added).collect();
            harness.handle(Event::Endpoints(EndpointUpdate::Full(&list_after)));

            let backends_after = send_rounds(&mut harness, 40..80);

            let mut backends_after = backends_after.into_iter();
            assert!(
                backends_after.any(|backend| backend == member),
                "balancer {instance_index} sends nothing to {member:?} after {removed:?} was removed"
            );
        }
    }
}

#[test]
fn uses_a_substitute_of_warming_members_again_after_its_maintenance() {
    // All members of the subset are warming up, so that the balancer also sends requests to substitutes.
    let settings = Settings {
        instance_count: 20,
        slow_start_duration: 2.0,
        slow_start_initial_capacity: 0.1,
        connections_have_cost: true,
        ..safe_settings()
    };
    let mut list = endpoints(12);
    let mut harness = BalancerHarness::new(settings, &list);
    let members: BTreeSet<BackendId> = send_rounds(&mut harness, 0..40).into_iter().collect();
    for endpoint in list.iter_mut().filter(|endpoint| members.contains(&endpoint.id)) {
        endpoint.started_at = Some(harness.now);
    }
    harness.handle(Event::Endpoints(EndpointUpdate::Full(&list)));
    let backends = send_rounds(&mut harness, 40..60);
    let substitute = *backends.iter().find(|backend| !members.contains(backend)).expect("a substitute");

    begin_maintenance(&mut harness, substitute.0);
    send_rounds(&mut harness, 60..90);
    end_maintenance(&mut harness, substitute.0);

    let mut backends_after = send_rounds(&mut harness, 90..130).into_iter();
    assert!(backends_after.any(|backend| backend == substitute), "{substitute:?}, members {members:?}");
}

#[test]
fn ignores_the_end_of_a_maintenance_that_never_began() {
    let mut harness = BalancerHarness::new(slow_start_settings(), &[endpoint(1), endpoint(2)]);
    let mut reference_harness = BalancerHarness::new(slow_start_settings(), &[endpoint(1), endpoint(2)]);

    assert_eq!(end_maintenance(&mut harness, 1), []);

    for round in 0..20 {
        assert_eq!(
            count_sent_to_first_backend(&send_rounds(&mut harness, round..round + 1)),
            count_sent_to_first_backend(&send_rounds(&mut reference_harness, round..round + 1))
        );
    }
}
