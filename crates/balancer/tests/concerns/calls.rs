//! The call table: the calls without a final response, and the number of calls in each state.

use super::fixtures::{call_for_request, request_with_id, safe_call, settings_with_effect};
use crate::decisions::calls::{Call, CallStage, CallTable};
use crate::interface::{Effect, Request, RequestId};

/// Returns a call whose body is still being received.
fn streamed_call(id: u64) -> Call {
    let streamed = Request { streaming_body: true, ..request_with_id(id) };
    call_for_request(streamed, settings_with_effect(Effect::Safe))
}

#[test]
fn finds_a_call_by_its_request_id_until_the_call_is_removed() {
    let mut table = CallTable::default();
    let key = table.insert(safe_call(7), CallStage::Ready);
    let found = table.key_of(RequestId(7));

    let removed = table.remove(key);

    assert_eq!(found, Some(key));
    assert_eq!(removed.map(|call| call.id()), Some(RequestId(7)));
    assert_eq!(table.key_of(RequestId(7)), None);
    assert_eq!(table.len(), 0);
    assert!(table.remove(key).is_none());
}

#[test]
fn does_not_reuse_the_key_of_a_removed_call() {
    let mut table = CallTable::default();
    let ended = table.insert(safe_call(1), CallStage::Ready);
    table.remove(ended);

    let key = table.insert(safe_call(2), CallStage::Ready);

    assert_ne!(key, ended);
    assert!(table.contains(key));
    assert!(!table.contains(ended));
}

#[test]
fn counts_a_queued_call_as_unanswered_after_its_dispatch() {
    let mut table = CallTable::default();
    let key = table.insert(safe_call(1), CallStage::Queued);
    table.insert(safe_call(2), CallStage::Queued);
    let unanswered_while_queued = table.unanswered();

    table.leave_queue(key, 1.0, 0.5);
    table.record_dispatch(key);
    let unanswered_after_dispatch = table.unanswered();
    table.remove(key);

    assert_eq!([unanswered_while_queued, unanswered_after_dispatch], [0, 1]);
    assert_eq!(table.unanswered(), 0);
    assert_eq!(table.len(), 1);
}

#[test]
fn does_not_count_a_call_that_ended_while_it_was_queued() {
    let mut table = CallTable::default();
    let ended = table.insert(safe_call(1), CallStage::Queued);
    table.insert(safe_call(2), CallStage::Ready);

    table.remove(ended);

    assert_eq!(table.len(), 1);
    assert_eq!(table.unanswered(), 1);
}

#[test]
fn counts_a_streamed_call_as_unanswered_after_the_end_of_its_body() {
    let mut table = CallTable::default();
    let key = table.insert(streamed_call(1), CallStage::Ready);
    table.record_dispatch(key);
    let unanswered_while_receiving = table.unanswered();

    table.stop_receiving(key);

    assert_eq!(unanswered_while_receiving, 0);
    assert_eq!(table.unanswered(), 1);
    assert!(!table[key].body().is_receiving);
}

#[test]
fn counts_a_call_once_if_its_body_ends_while_the_call_is_queued() {
    let mut table = CallTable::default();
    let key = table.insert(streamed_call(1), CallStage::Queued);

    table.stop_receiving(key);
    let unanswered_while_queued = table.unanswered();
    table.leave_queue(key, 1.0, 0.5);
    table.record_dispatch(key);

    assert_eq!(unanswered_while_queued, 0);
    assert_eq!(table.unanswered(), 1);
}

/// Guards against a wrong number of unanswered calls after a streamed request has left the queue with too
/// little time for a dispatch. Only a dispatch adds a call to the receiving calls. If the end of such a call
/// were subtracted from them, a debug build would panic, and a release build would count one unanswered call
/// too many from then on: 2 instead of 1 in this test.
#[test]
fn keeps_the_counts_when_a_streamed_call_ends_after_its_wait_without_a_dispatch() {
    let mut table = CallTable::default();
    let key = table.insert(streamed_call(1), CallStage::Queued);
    table.insert(safe_call(2), CallStage::Ready);

    table.leave_queue(key, 1.0, 0.5);
    table.stop_receiving(key);
    table.remove(key);

    assert_eq!(table.unanswered(), 1);
}

#[test]
fn counts_a_call_with_an_unaccepted_attempt_once_until_it_is_sent_again_or_ends() {
    let mut table = CallTable::default();
    let retried = table.insert(safe_call(1), CallStage::Ready);
    let ended = table.insert(safe_call(2), CallStage::Ready);

    table.record_unaccepted_attempt(retried);
    table.record_unaccepted_attempt(retried);
    table.record_unaccepted_attempt(ended);
    let at_first = table.with_unaccepted_attempt();
    table.clear_unaccepted_attempt(retried);
    table.clear_unaccepted_attempt(retried);
    let after_the_retry = table.with_unaccepted_attempt();
    table.remove(ended);

    assert_eq!([at_first, after_the_retry, table.with_unaccepted_attempt()], [2, 1, 0]);
}
