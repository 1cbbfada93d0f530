//! Tests of the deadlines for sends.

use super::SendDeadlines;

#[test]
fn allows_sends_to_a_backend_in_service_at_any_time() {
    let deadlines = SendDeadlines::default();

    deadlines.set_in_service();

    assert!(deadlines.may_send(1e9));
    assert!(!deadlines.is_removal_expired(1e9));
}

#[test]
fn a_repeated_notification_of_a_drain_keeps_the_first_deadline() {
    let deadlines = SendDeadlines::default();

    deadlines.set_draining(2.0);
    deadlines.set_draining(5.0);
    deadlines.set_removed(6.0);

    assert!(deadlines.may_send(1.9));
    assert!(!deadlines.may_send(2.0));
}

#[test]
fn a_drain_after_a_return_to_service_has_its_own_deadline() {
    let deadlines = SendDeadlines::default();

    deadlines.set_draining(2.0);
    deadlines.set_in_service();
    deadlines.set_draining(5.0);

    assert!(deadlines.may_send(4.9));
    assert!(!deadlines.may_send(5.0));
}

#[test]
fn the_earlier_deadline_of_drain_and_maintenance_applies() {
    let deadlines = SendDeadlines::default();

    deadlines.set_draining(5.0);
    deadlines.start_maintenance(3.0);
    let allowed_in_maintenance = deadlines.may_send(4.0);
    deadlines.end_maintenance();

    assert!(!allowed_in_maintenance);
    assert!(deadlines.may_send(4.0));
}

#[test]
fn only_a_removed_backend_past_its_deadline_is_expired() {
    let draining = SendDeadlines::default();
    let removed = SendDeadlines::default();

    draining.set_draining(2.0);
    removed.set_removed(2.0);

    assert!(!draining.is_removal_expired(3.0));
    assert!(!removed.is_removal_expired(1.9));
    assert!(removed.is_removal_expired(2.0));
}

#[test]
fn a_removed_backend_that_is_listed_again_never_expires() {
    let deadlines = SendDeadlines::default();

    deadlines.set_removed(2.0);
    deadlines.set_in_service();

    assert!(!deadlines.is_removal_expired(3.0));
}
