//! A call: its deadline, its retry timers, its attempts, and its class and tenant when settings change.

use super::fixtures::{
    CALL_TIMEOUT, T1, attempt, backend_indices, call_for_request, request_class, request_with_id, safe_call,
    settings_with_effect,
};
use crate::decisions::calls::{Call, CallStage, CallTable};
use crate::interface::{
    AttemptNumber, ClassIndex, Effect, Outcome, Request, Settings, Tenant, TenantIndex, Time,
};
use crate::support::tests::assertions::assert_close;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// The greatest difference between a retry timer and its exact time, as a fraction of the exact time.
const MAX_TIMER_JITTER_FRACTION: f64 = 0.1;

fn seeded_random() -> SmallRng {
    SmallRng::seed_from_u64(1)
}

fn tenant(name: &str) -> Tenant {
    Tenant { name: name.to_string(), quota_per_second: 1.0 }
}

/// Asserts that a timer fires an interval after the dispatch, with at most the greatest jitter.
#[track_caller]
fn assert_fires_after(interval: Time, dispatched_at: Time, fires_at: Option<Time>) {
    let actual = fires_at.expect("the timer is set") - dispatched_at;
    assert!((actual / interval - 1.0).abs() <= MAX_TIMER_JITTER_FRACTION, "{actual} is not about {interval}");
}

#[test]
fn timeout_of_a_streamed_request_starts_at_the_end_of_its_body() {
    let streamed = Request { streaming_body: true, ..request_with_id(1) };
    let settings = settings_with_effect(Effect::Safe);
    let mut table = CallTable::default();
    let key = table.insert(call_for_request(streamed, settings), CallStage::Ready);
    table.record_dispatch(key);
    let deadline_while_receiving = table[key].deadline();
    let time_left_while_receiving = table[key].time_left(100.0);

    table.stop_receiving(key);
    table[key].start_timeout(100.0);

    assert_eq!(deadline_while_receiving, Time::INFINITY);
    assert_close(time_left_while_receiving, CALL_TIMEOUT);
    assert_close(table[key].deadline(), 100.0 + CALL_TIMEOUT);
    assert_close(table[key].time_left(100.5), CALL_TIMEOUT - 0.5);
}

#[test]
fn schedules_no_retry_timer_at_or_after_the_deadline() {
    let mut call = safe_call(1);

    let first = call.schedule_retry_timer(&mut seeded_random());
    call.record_retry_timer_firing();
    let second = call.schedule_retry_timer(&mut seeded_random());
    let is_second_set = call.retry_timer().is_set();
    call.record_retry_timer_firing();
    let third = call.schedule_retry_timer(&mut seeded_random());

    assert_fires_after(T1, 0.0, first);
    assert_fires_after(3.0 * T1, 0.0, second);
    assert!(is_second_set);
    assert_eq!(third, None);
    assert!(!call.retry_timer().is_set());
}

#[test]
fn schedules_no_retry_timer_if_no_attempt_is_left() {
    let [backend] = backend_indices();
    let settings = Settings { max_attempts: 1, ..settings_with_effect(Effect::Safe) };
    let mut call = call_for_request(request_with_id(1), settings);
    let before_the_attempt = call.schedule_retry_timer(&mut seeded_random());

    call.add_attempt(attempt(backend, None));
    let after_the_attempt = call.schedule_retry_timer(&mut seeded_random());

    assert!(before_the_attempt.is_some());
    assert_eq!(after_the_attempt, None);
}

#[test]
fn retry_timers_of_a_queued_call_start_at_its_dispatch_and_its_deadline_is_kept() {
    let mut table = CallTable::default();
    let key = table.insert(safe_call(1), CallStage::Queued);

    let new_t1 = 0.2;
    table.leave_queue(key, 1.0, new_t1);

    assert_fires_after(new_t1, 1.0, table[key].schedule_retry_timer(&mut seeded_random()));
    assert_close(table[key].deadline(), CALL_TIMEOUT);
    assert!(!table[key].is_queued());
}

#[test]
fn has_reached_no_backend_only_if_all_attempts_ended_without_a_connection() {
    let [backend] = backend_indices();
    let mut call = safe_call(1);
    call.add_attempt(attempt(backend, Some(Outcome::NoConnection)));
    call.add_attempt(attempt(backend, None));
    let states = |call: &Call| [call.has_reached_no_backend(), call.has_attempt_in_flight()];

    let in_flight = states(&call);
    call.record_outcome(AttemptNumber(1), Outcome::NoConnection);
    let without_connection = states(&call);
    call.record_outcome(AttemptNumber(1), Outcome::Rejected);
    let rejected = states(&call);

    assert_eq!(in_flight, [false, true]);
    assert_eq!(without_connection, [true, false]);
    assert_eq!(rejected, [false, false]);
}

#[test]
fn returns_the_alternative_backend_only_once() {
    let [backend] = backend_indices();
    let mut call = safe_call(1);

    call.set_alternative(backend);

    assert_eq!(call.take_alternative(), Some(backend));
    assert_eq!(call.take_alternative(), None);
}

#[test]
fn updates_class_and_tenant_indices_by_name_and_keeps_the_settings_in_force_on_arrival() {
    let classes = |names: &[&str]| names.iter().map(|name| request_class(name, Effect::Safe)).collect();
    let tenants = |names: &[&str]| names.iter().map(|name| tenant(name)).collect();
    let old = Settings { classes: classes(&["a"]), tenants: tenants(&["x"]), ..Settings::default() };
    let reordered =
        Settings { classes: classes(&["b", "a"]), tenants: tenants(&["y", "x"]), ..Settings::default() };
    let removed = Settings { classes: classes(&["b"]), tenants: tenants(&["y"]), ..Settings::default() };
    let mut table = CallTable::default();
    let tenant_request = Request { tenant: Some(TenantIndex(0)), ..request_with_id(1) };
    let key = table.insert(call_for_request(tenant_request, old.clone()), CallStage::Ready);

    table.remap_indices(&old, &reordered);
    let reordered_class = table[key].current_class();
    let reordered_tenant = table[key].tenant();
    table.remap_indices(&reordered, &removed);

    assert_eq!(reordered_class, ClassIndex(1));
    assert_eq!(reordered_tenant, Some(TenantIndex(1)));
    assert_eq!(table[key].current_class(), ClassIndex(removed.classes.len()));
    assert_eq!(table[key].tenant(), None);
    assert_eq!(table[key].settings(), &old);
    assert_eq!(table[key].request_class().name, "a");
}
