//! The map from backends to values, and the search for an index in a list.

use crate::support::{BackendIndex, BackendMap};

/// Returns a map with one backend for each value, in the order of the values.
fn map_with_values(values: &[u32]) -> BackendMap<u32> {
    let mut map = BackendMap::default();
    for value in values {
        map.insert(map.next_index(), *value);
    }
    map
}

#[test]
fn keeps_values_in_the_order_of_their_indices() {
    let map = map_with_values(&[10, 20, 30]);

    let indices: Vec<BackendIndex> = map.indices().collect();
    let values: Vec<u32> = map.values().copied().collect();

    assert!(indices.is_sorted());
    assert_eq!(values, [10, 20, 30]);
    assert_eq!(map[indices[1]], 20);
}

#[test]
fn replaces_the_value_of_a_backend_that_is_in_the_map() {
    let mut map = map_with_values(&[10, 20]);
    let next = map.next_index();
    let first = map.indices().next().expect("the map has a backend");

    map.insert(first, 11);
    map[first] += 1;
    for value in map.values_mut() {
        *value *= 2;
    }

    let values: Vec<u32> = map.values().copied().collect();
    assert_eq!(values, [24, 40]);
    assert_eq!(map.next_index(), next);
}

#[test]
fn finds_an_index_at_each_position_of_a_list_and_no_absent_index() {
    // The searched list has 65 indices, one more than two comparison blocks. The last index is absent.
    let map = map_with_values(&[0; 66]);
    let indices: Vec<BackendIndex> = map.indices().collect();
    let (absent, list) = indices.split_last().expect("the map has backends");

    assert!(list.iter().all(|index| index.is_in(list)));
    assert!(!absent.is_in(list));
    assert!(!absent.is_in(&[]));
}
