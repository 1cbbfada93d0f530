//! Tests of the table of client connections.

use super::{ConnectionSlot, ConnectionTable, SLOTS_PER_REJECTION_SLOT};
use std::rc::Rc;
use std::time::Duration;

/// Longer than any step takes, even on a busy machine.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);
/// Longer than a connection must be silent before it may be evicted.
const SILENCE_BEFORE_EVICTION: Duration = Duration::from_millis(510);

/// Adds connections to a table.
fn add(table: &Rc<ConnectionTable>, count: usize) -> Vec<ConnectionSlot> {
    (0..count).map(|_| table.add()).collect()
}

/// Returns, for each connection, whether its close has been requested.
fn are_closing(slots: &[ConnectionSlot]) -> Vec<bool> {
    slots.iter().map(|slot| slot.connection().is_closing()).collect()
}

#[test]
fn reserves_a_slot_for_connections_whose_requests_are_rejected() {
    let table = ConnectionTable::new(SLOTS_PER_REJECTION_SLOT);

    let served = add(&table, SLOTS_PER_REJECTION_SLOT - 1);
    let is_exceeded_with_served = table.is_served_limit_exceeded();
    let has_slot_with_served = table.has_free_slot();
    let rejected = table.add();

    assert!(!is_exceeded_with_served);
    assert!(has_slot_with_served);
    assert!(table.is_served_limit_exceeded());
    assert!(!table.has_free_slot());
    drop((served, rejected));
}

#[test]
fn a_dropped_slot_is_free_again() {
    let table = ConnectionTable::new(1);
    let slot = table.add();
    assert!(!table.has_free_slot());

    drop(slot);

    assert!(table.has_free_slot());
}

#[test]
fn is_half_full_with_more_than_half_of_the_served_connections() {
    let table = ConnectionTable::new(4);

    let half = add(&table, 2);
    let with_half = table.is_half_full();
    let one_more = table.add();

    assert!(!with_half);
    assert!(table.is_half_full());
    drop((half, one_more));
}

#[test]
fn a_lower_limit_evicts_the_connections_that_have_been_silent_longest() {
    let table = ConnectionTable::new(4);
    let slots = add(&table, 4);
    table.set_limit(3);
    assert_eq!(are_closing(&slots), [false; 4], "none is silent yet");
    std::thread::sleep(SILENCE_BEFORE_EVICTION);
    slots[0].connection().record_bytes(b"GET");

    table.set_limit(2);

    assert_eq!(are_closing(&slots), [false, true, true, false]);
}

#[test]
fn a_connection_with_a_request_in_flight_is_never_evicted() {
    let table = ConnectionTable::new(1);
    let slot = table.add();
    slot.connection().record_bytes(b"GET / HTTP/1.1\r\n\r\n");
    slot.connection().complete_head();
    slot.connection().progress().complete_request();
    std::thread::sleep(SILENCE_BEFORE_EVICTION);

    table.set_limit(0);

    assert!(!slot.connection().is_closing());
}

#[test]
fn waits_until_the_last_connection_has_closed() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap();
    let table = ConnectionTable::new(2);
    let mut slots = add(&table, 2);

    let ended = runtime.block_on(async {
        let close = async {
            while let Some(slot) = slots.pop() {
                drop(slot);
                tokio::task::yield_now().await;
            }
        };
        let wait = tokio::time::timeout(TEST_TIMEOUT, table.wait_until_empty());
        tokio::join!(wait, close).0
    });

    assert!(ended.is_ok());
    assert!(table.has_free_slot());
}

#[test]
fn does_not_wait_for_connections_without_a_request() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap();
    let table = ConnectionTable::new(1);
    let slot = table.add();

    let wait = async { tokio::time::timeout(TEST_TIMEOUT, table.wait_until_empty_or_idle()).await };
    let ended = runtime.block_on(wait);

    assert!(ended.is_ok());
    drop(slot);
}
