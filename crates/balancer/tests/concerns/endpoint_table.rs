//! The endpoint table: the known backends and their indices.

use super::fixtures::endpoint;
use crate::decisions::endpoint_table::{EndpointChange, EndpointTable};
use crate::interface::{BackendId, Endpoint, Status, ZoneId};

#[test]
fn assigns_a_distinct_index_to_each_new_backend() {
    let mut table = EndpointTable::default();

    let first = table.upsert(&endpoint(7));
    let second = table.upsert(&endpoint(8));

    assert_eq!([first.change, second.change], [EndpointChange::Added; 2]);
    assert_ne!(first.index, second.index);
    assert_eq!(table.index_of(BackendId(7)), Some(first.index));
    assert_eq!(table.get(second.index).id, BackendId(8));
    assert_eq!(table.index_of(BackendId(9)), None);
}

#[test]
fn reports_a_restart_only_if_the_start_time_differs() {
    let mut table = EndpointTable::default();
    let started = Endpoint { started_at: Some(1.0), ..endpoint(1) };
    let moved = Endpoint { zone: ZoneId(2), ..started.clone() };
    let restarted = Endpoint { started_at: Some(5.0), ..started.clone() };
    let added = table.upsert(&started);

    let update = table.upsert(&moved);
    let restart = table.upsert(&restarted);

    assert_eq!(update.change, EndpointChange::Updated);
    assert_eq!(restart.change, EndpointChange::Restarted);
    assert_eq!([update.index, restart.index], [added.index; 2]);
    assert_eq!(table.get(added.index), &restarted);
}

#[test]
fn keeps_a_removed_backend_known_but_not_listed() {
    let mut table = EndpointTable::default();
    table.upsert(&endpoint(1));
    table.upsert(&endpoint(2));

    table.mark_all_removed();
    table.upsert(&endpoint(2));

    let listed: Vec<BackendId> = table.listed().map(|endpoint| endpoint.id).collect();
    assert_eq!(listed, [BackendId(2)]);
    assert_eq!(table.len(), 2);
    assert!(table.index_of(BackendId(1)).is_some());
}

#[test]
fn removes_only_unlisted_backends_without_a_reference() {
    let mut table = EndpointTable::default();
    table.upsert(&endpoint(1));
    let referenced = table.upsert(&Endpoint { status: Status::Removed, ..endpoint(2) }).index;
    table.upsert(&Endpoint { status: Status::Removed, ..endpoint(3) });
    table.upsert(&Endpoint { status: Status::Draining, ..endpoint(4) });

    table.remove_unreferenced(|index| index == referenced);

    let is_known = |id: &u32| table.index_of(BackendId(*id)).is_some();
    let known: Vec<u32> = (1..=4).filter(is_known).collect();
    assert_eq!(known, [1, 2, 4]);
}

#[test]
fn reuses_the_index_of_a_removed_backend_once() {
    let mut table = EndpointTable::default();
    let removed = table.upsert(&Endpoint { status: Status::Removed, ..endpoint(1) }).index;
    table.remove_unreferenced(|_| false);
    table.remove_unreferenced(|_| false);

    let first = table.upsert(&endpoint(2));
    let second = table.upsert(&endpoint(3));

    assert_eq!(first.change, EndpointChange::Added);
    assert_eq!(first.index, removed);
    assert_ne!(second.index, removed);
    assert_eq!(table.indices().count(), 2);
}
