//! Checks the invariants of the decision module on random legal sequences of events, from events and actions
//! only. Further tests check that the checker finds each kind of violation.

#[path = "../common/mod.rs"]
mod common;

mod checker;
mod random_events;

use balancer::{Action, BackendId, CellId, ClassIndex, Endpoint, Outcome, RequestId, Status, Tier, Time};
use checker::{Checker, ObservedRequest};
use common::actions::TimedAction;
use common::fixtures::endpoint;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use random_events::{SettingsVariant, settings, step, violations_of};

#[test]
fn invariants_hold_on_random_event_sequences() {
    let config = Config { cases: 400, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let sequences =
        (prop::collection::vec(step(), 1..150), any::<bool>(), any::<bool>(), 0..2usize, any::<u64>());

    runner
        .run(&sequences, |(steps, hedging_allowed, cancellation_allowed, tier, seed)| {
            let tier = Tier(tier);
            let settings = settings(SettingsVariant { hedging_allowed, cancellation_allowed, tier });
            let violations = violations_of(&steps, settings, seed);
            prop_assert!(violations.is_empty(), "{violations:?}");
            Ok(())
        })
        .unwrap();
}

/// The request in tests of the checker.
const CHECKED_REQUEST: RequestId = RequestId(1);
/// The index of the class of safe requests.
const SAFE_CLASS: ClassIndex = ClassIndex(0);
/// The index of the class of unsafe requests that are ordered by key.
const ORDERED_UNSAFE_CLASS: ClassIndex = ClassIndex(1);
/// The index of the class of requests whose repeats the backends of one cell detect.
const IDEMPOTENT_IN_CELL_CLASS: ClassIndex = ClassIndex(4);

/// Settings of the entry tier that allow hedging and cancellation.
const PERMISSIVE_SETTINGS: SettingsVariant =
    SettingsVariant { hedging_allowed: true, cancellation_allowed: true, tier: Tier::ENTRY };

fn send_action(id: RequestId, backend: u32) -> Action {
    Action::Send { id, backend: BackendId(backend), timeout: 0.5, write_within: 0.5 }
}

fn send_at(at: Time, backend: u32) -> TimedAction {
    TimedAction { at, action: send_action(CHECKED_REQUEST, backend) }
}

fn reject_at(at: Time) -> TimedAction {
    TimedAction { at, action: Action::Reject { id: CHECKED_REQUEST, retry_after: None } }
}

fn fail_at(at: Time) -> TimedAction {
    TimedAction { at, action: Action::Fail { id: CHECKED_REQUEST } }
}

/// Returns the violations that the checker finds in these actions. Backends 1 and 2 are in cells 1 and 2,
/// backend 3 is draining; request 1 is open until 1 s, request 2 is finished.
fn violations_in(class: ClassIndex, timed_actions: &[TimedAction]) -> Vec<String> {
    let mut checker = Checker::new(settings(SettingsVariant::default()));
    checker.list.insert(1, Endpoint { cell: CellId(1), ..endpoint(1) });
    checker.list.insert(2, Endpoint { cell: CellId(2), ..endpoint(2) });
    checker.list.insert(3, Endpoint { status: Status::Draining, ..endpoint(3) });
    let request = || ObservedRequest::new(class, Some(9), 1.0);
    checker.requests.insert(1, request());
    checker.requests.insert(2, ObservedRequest { is_finished: true, ..request() });
    for TimedAction { at, action } in timed_actions {
        checker.check_action(*at, action);
    }
    checker.check_all_finished();
    checker.violations
}

#[test]
fn the_checker_finds_missing_late_and_repeated_final_responses() {
    assert_eq!(violations_in(SAFE_CLASS, &[send_at(0.0, 1), reject_at(0.5)]).len(), 0);
    assert_eq!(violations_in(SAFE_CLASS, &[send_at(0.0, 1)]), ["1 has no final response"]);
    assert_eq!(violations_in(SAFE_CLASS, &[fail_at(1.5)]), ["1 has a late final response"]);
    assert_eq!(violations_in(SAFE_CLASS, &[fail_at(0.1), fail_at(0.2)]).len(), 1);
    assert_eq!(
        violations_in(SAFE_CLASS, &[fail_at(0.1), send_at(0.2, 1)]),
        ["sent after the end of the request"]
    );
}

#[test]
fn the_checker_finds_attempts_that_are_not_allowed() {
    let hedged = [send_at(0.0, 1), send_at(0.1, 2), fail_at(0.2)];
    let after_window = [send_at(0.0, 1), send_at(0.5, 1), fail_at(0.6)];
    let rejected = [send_at(0.0, 1), reject_at(0.6)];

    assert!(violations_in(SAFE_CLASS, &[send_at(0.1, 3), fail_at(0.2)])[0].starts_with("drain"));
    assert_eq!(
        violations_in(ORDERED_UNSAFE_CLASS, &hedged),
        ["hedging is not allowed", "second attempt of an unsafe request"]
    );
    assert_eq!(
        violations_in(IDEMPOTENT_IN_CELL_CLASS, &hedged),
        ["hedging is not allowed", "retry outside the group or window of its key"]
    );
    assert_eq!(
        violations_in(IDEMPOTENT_IN_CELL_CLASS, &after_window),
        ["hedging is not allowed", "retry outside the group or window of its key"]
    );
    assert!(violations_in(ORDERED_UNSAFE_CLASS, &rejected)[0].contains("which may have run"));
}

#[test]
fn the_checker_finds_requests_of_a_key_out_of_order_or_while_the_key_is_blocked() {
    let mut checker = Checker::new(settings(PERMISSIVE_SETTINGS));
    checker.list.insert(1, endpoint(1));
    for id in 1..3 {
        checker.requests.insert(id, ObservedRequest::new(ORDERED_UNSAFE_CLASS, Some(9), 9.0));
    }

    checker.check_action(0.0, &send_action(CHECKED_REQUEST, 1));
    assert_eq!(checker.order_violation(0.1, 2), Some("order: an earlier request is not finished"));
    checker.check_action(0.2, &Action::Fail { id: CHECKED_REQUEST });
    assert_eq!(checker.order_violation(0.2, 2), Some("order: an earlier request is not finished"));

    let first_attempt = &mut checker.requests.get_mut(&1).unwrap().attempts[0];
    first_attempt.outcome = Some(Outcome::Timeout);
    first_attempt.ended_at = 0.3;
    checker.check_action(0.4, &send_action(RequestId(2), 1));
    assert_eq!(checker.violations, ["order: the key is still blocked"]);
    assert_eq!(checker.order_violation(0.51, 2), None);
}

#[test]
fn the_checker_finds_idle_connections_to_a_draining_backend_that_stay_open() {
    let mut checker = Checker::new(settings(PERMISSIVE_SETTINGS));
    checker.list.insert(1, Endpoint { status: Status::Draining, ..endpoint(1) });

    // The time limit starts at the notification.
    checker.record_notification_or_use(1.0, 1);
    checker.check_idle_connections(1.05);
    checker.check_action(1.05, &Action::CloseIdleConnections(BackendId(1)));
    checker.check_idle_connections(1.2);
    assert_eq!(checker.violations.len(), 0);

    // The time limit starts again at a later outcome of an attempt.
    checker.record_notification_or_use(1.3, 1);
    checker.check_idle_connections(1.5);
    assert_eq!(checker.violations, ["drain: connections left open"]);
}
