//! Tests of the order of lists: calls that overlap, restarts of the generation numbers, and both.

use super::{ListAge, ListExtent, ListOrder};

#[test]
fn a_full_list_that_arrives_after_newer_changes_is_outdated() {
    let mut order = ListOrder::after_full_list(41);
    let full_list_call = order.begin_call();
    let watch_call = order.begin_call();

    let changes = order.accept(43, ListExtent::Changes, watch_call);
    let full_list = order.accept(42, ListExtent::Full, full_list_call);

    assert_eq!((changes, full_list), (ListAge::Current, ListAge::Outdated));
    assert_eq!(order.changes_since(), Some(43));
}

#[test]
fn a_list_of_an_earlier_call_that_is_newer_is_applied() {
    let mut order = ListOrder::after_full_list(41);
    let earlier_call = order.begin_call();
    let later_call = order.begin_call();

    let ages = [
        order.accept(42, ListExtent::Changes, later_call),
        order.accept(43, ListExtent::Changes, earlier_call),
    ];

    assert_eq!(ages, [ListAge::Current; 2]);
    assert_eq!(order.changes_since(), Some(43));
}

#[test]
fn lists_of_the_same_generation_are_applied_in_any_order() {
    let mut order = ListOrder::after_full_list(41);
    let calls = [order.begin_call(), order.begin_call()];

    let ages = calls.map(|call| order.accept(42, ListExtent::Full, call));

    assert_eq!(ages, [ListAge::Current; 2]);
}

#[test]
fn changes_with_restarted_generations_are_applied_and_followed_by_the_full_list() {
    let mut order = ListOrder::after_full_list(41);
    let call = order.begin_call();

    let age = order.accept(3, ListExtent::Changes, call);

    assert_eq!(age, ListAge::Current);
    assert!(order.needs_full_list());
    let call = order.begin_call();
    assert_eq!(order.accept(3, ListExtent::Full, call), ListAge::Current);
    assert_eq!(order.changes_since(), Some(3));
}

#[test]
fn a_full_list_with_restarted_generations_becomes_the_current_list() {
    let mut order = ListOrder::after_full_list(41);
    let call = order.begin_call();

    let age = order.accept(3, ListExtent::Full, call);

    assert_eq!(age, ListAge::Current);
    assert_eq!(order.changes_since(), Some(3));
}

#[test]
fn a_list_from_before_a_restart_is_outdated_though_its_generation_is_higher() {
    let mut order = ListOrder::after_full_list(41);
    let before_restart = order.begin_call();
    let after_restart = order.begin_call();
    order.accept(3, ListExtent::Full, after_restart);

    let age = order.accept(42, ListExtent::Full, before_restart);

    assert_eq!(age, ListAge::Outdated);
    assert_eq!(order.changes_since(), Some(3));
}

#[test]
fn lists_from_after_a_restart_are_compared_with_each_other() {
    let mut order = ListOrder::after_full_list(41);
    let calls = [order.begin_call(), order.begin_call(), order.begin_call()];

    let ages: Vec<_> =
        calls.into_iter().zip([4, 3, 5]).map(|(call, at)| order.accept(at, ListExtent::Full, call)).collect();

    assert_eq!(ages, [ListAge::Current, ListAge::Outdated, ListAge::Current]);
    assert_eq!(order.changes_since(), Some(5));
}

#[test]
fn a_restart_after_overlapping_calls_is_followed_though_another_list_has_arrived_since_the_call() {
    let mut order = ListOrder::after_full_list(41);
    let earlier_call = order.begin_call();
    let later_call = order.begin_call();
    order.accept(42, ListExtent::Changes, earlier_call);

    let age = order.accept(3, ListExtent::Full, later_call);

    assert_eq!(age, ListAge::Current);
    assert_eq!(order.changes_since(), Some(3));
}

#[test]
fn any_list_is_applied_where_there_is_no_current_list() {
    for extent in [ListExtent::Full, ListExtent::Changes] {
        let mut order = ListOrder::without_list();
        let call = order.begin_call();

        let age = order.accept(1, extent, call);

        assert_eq!(age, ListAge::Current);
        assert_eq!(order.needs_full_list(), extent == ListExtent::Changes);
    }
}

#[test]
fn the_full_list_is_requested_once_it_is_required() {
    let mut order = ListOrder::after_full_list(41);

    order.require_full_list();

    assert_eq!(order.changes_since(), None);
    let call = order.begin_call();
    order.accept(41, ListExtent::Full, call);
    assert_eq!(order.changes_since(), Some(41));
}
