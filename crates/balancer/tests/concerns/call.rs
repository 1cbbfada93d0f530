//! A call: its deadline, its doubling timers, its attempts, and its indices over changes of settings.

use super::fixtures::{
    T1, TIMEOUT, attempt, backend_indices, call_of, request, request_class, safe_call, settings_with_effect,
};
use crate::decisions::calls::{Call, CallStage, CallTable};
use crate::interface::{
    AttemptNumber, ClassIndex, Effect, Outcome, Request, Settings, Tenant, TenantIndex, Time,
};
use crate::support::tests::assertions::assert_close;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// The greatest fraction by which a doubling timer differs from its exact time.
const JITTER: f64 = 0.1;

fn random() -> SmallRng {
    SmallRng::seed_from_u64(1)
}

fn tenant(name: &str) -> Tenant {
    Tenant { name: name.to_string(), quota_per_second: 1.0 }
}

/// Asserts that a timer fires after an interval, within its jitter.
#[track_caller]
fn assert_fires_after(interval: Time, dispatched_at: Time, at: Option<Time>) {
    let actual = at.expect("the timer is set") - dispatched_at;
    assert!((actual / interval - 1.0).abs() <= JITTER, "{actual} is not about {interval}");
}

#[test]
fn the_timeout_of_a_streamed_body_starts_at_its_end() {
    let streamed = Request { streaming_body: true, ..request(1) };
    let settings = settings_with_effect(Effect::Safe);
    let mut table = CallTable::default();
    let key = table.insert(call_of(streamed, settings), CallStage::Ready);
    table.record_dispatch(key);
    let deadline_while_receiving = table[key].deadline();
    let time_left_while_receiving = table[key].time_left(100.0);

    table.stop_receiving(key);
    table[key].start_timeout(100.0);

    assert_eq!(deadline_while_receiving, Time::INFINITY);
    assert_close(time_left_while_receiving, TIMEOUT);
    assert_close(table[key].deadline(), 100.0 + TIMEOUT);
    assert_close(table[key].time_left(100.5), TIMEOUT - 0.5);
}

#[test]
fn schedules_no_timer_at_or_after_the_deadline() {
    let mut call = safe_call(1);

    let first = call.schedule_retry_timer(&mut random());
    call.record_retry_timer_firing();
    let second = call.schedule_retry_timer(&mut random());
    let is_second_set = call.retry_timer().is_set();
    call.record_retry_timer_firing();
    let third = call.schedule_retry_timer(&mut random());

    assert_fires_after(T1, 0.0, first);
    assert_fires_after(3.0 * T1, 0.0, second);
    assert!(is_second_set);
    assert_eq!(third, None);
    assert!(!call.retry_timer().is_set());
}

#[test]
fn schedules_no_timer_where_no_attempt_is_left() {
    let [backend] = backend_indices();
    let settings = Settings { max_attempts: 1, ..settings_with_effect(Effect::Safe) };
    let mut call = call_of(request(1), settings);
    let before_the_attempt = call.schedule_retry_timer(&mut random());

    call.add_attempt(attempt(backend, None));
    let after_the_attempt = call.schedule_retry_timer(&mut random());

    assert!(before_the_attempt.is_some());
    assert_eq!(after_the_attempt, None);
}

#[test]
fn the_timers_of_a_call_that_was_queued_start_at_its_dispatch_and_its_deadline_stays() {
    let mut table = CallTable::default();
    let key = table.insert(safe_call(1), CallStage::Queued);

    let new_t1 = 0.2;
    table.leave_queue(key, 1.0, new_t1);

    assert_fires_after(new_t1, 1.0, table[key].schedule_retry_timer(&mut random()));
    assert_close(table[key].deadline(), TIMEOUT);
    assert!(!table[key].is_queued());
}

#[test]
fn has_reached_no_backend_until_an_attempt_has_another_outcome_than_no_connection() {
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
fn gives_its_alternative_to_one_retry_only() {
    let [backend] = backend_indices();
    let mut call = safe_call(1);

    call.set_alternative(backend);

    assert_eq!(call.take_alternative(), Some(backend));
    assert_eq!(call.take_alternative(), None);
}

#[test]
fn follows_its_class_and_tenant_by_name_and_keeps_the_settings_of_its_arrival() {
    let classes = |names: &[&str]| names.iter().map(|name| request_class(name, Effect::Safe)).collect();
    let tenants = |names: &[&str]| names.iter().map(|name| tenant(name)).collect();
    let old = Settings { classes: classes(&["a"]), tenants: tenants(&["x"]), ..Settings::default() };
    let moved =
        Settings { classes: classes(&["b", "a"]), tenants: tenants(&["y", "x"]), ..Settings::default() };
    let without = Settings { classes: classes(&["b"]), tenants: tenants(&["y"]), ..Settings::default() };
    let mut table = CallTable::default();
    let of_tenant = Request { tenant: Some(TenantIndex(0)), ..request(1) };
    let key = table.insert(call_of(of_tenant, old.clone()), CallStage::Ready);

    table.remap_indices(&old, &moved);
    let moved_class = table[key].current_class();
    let moved_tenant = table[key].tenant();
    table.remap_indices(&moved, &without);

    assert_eq!(moved_class, ClassIndex(1));
    assert_eq!(moved_tenant, Some(TenantIndex(1)));
    assert_eq!(table[key].current_class(), ClassIndex(without.classes.len()));
    assert_eq!(table[key].tenant(), None);
    assert_eq!(table[key].settings(), &old);
    assert_eq!(table[key].request_class().name, "a");
}
