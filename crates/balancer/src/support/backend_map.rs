//! A dense map from backends to values.

use std::ops::{Index, IndexMut};

/// The index of a backend, assigned by the endpoint table. An index stays valid while an attempt in
/// flight or an attempt of an unfinished call refers to the backend. Afterwards the index may be reused for
/// another backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct BackendIndex(usize);

/// The capacity that a map reserves for its first backend, which avoids the first few reallocations.
const MIN_CAPACITY: usize = 32;

/// The number of indices in each block that [`BackendIndex::is_in`] compares without a branch.
const COMPARISON_BLOCK_LEN: usize = 32;

impl BackendIndex {
    /// Returns whether a list contains this index.
    ///
    /// `contains` of the standard library branches on each element. The comparison of a block has no branch,
    /// so that the compiler can use vector instructions. Subsets have hundreds of members where many calls
    /// are in flight.
    pub fn is_in(self, list: &[BackendIndex]) -> bool {
        let has_index =
            |block: &[BackendIndex]| block.iter().fold(false, |found, other| found | (*other == self));
        list.chunks(COMPARISON_BLOCK_LEN).any(has_index)
    }
}

/// One value for each backend. Each concern with state for each backend owns such a map.
#[derive(Debug)]
pub(crate) struct BackendMap<T> {
    values: Vec<T>,
}

impl<T> Default for BackendMap<T> {
    fn default() -> Self {
        Self { values: Vec::new() }
    }
}

impl<T> BackendMap<T> {
    /// Returns the index after the last index in the map.
    pub fn next_index(&self) -> BackendIndex {
        BackendIndex(self.values.len())
    }

    /// Sets the value of a backend. The index must be in the map or equal [`BackendMap::next_index`].
    pub fn insert(&mut self, index: BackendIndex, value: T) {
        if self.values.is_empty() {
            self.values.reserve(MIN_CAPACITY);
        }
        match self.values.get_mut(index.0) {
            Some(previous) => *previous = value,
            None => self.values.push(value),
        }
    }

    /// Returns all indices in ascending order.
    pub fn indices(&self) -> impl Iterator<Item = BackendIndex> + use<T> {
        (0..self.values.len()).map(BackendIndex)
    }

    /// Returns all values in the order of their indices.
    pub fn values(&self) -> impl Iterator<Item = &T> {
        self.values.iter()
    }

    /// Returns mutable references to all values, in the order of their indices.
    pub fn values_mut(&mut self) -> impl Iterator<Item = &mut T> {
        self.values.iter_mut()
    }
}

impl<T> Index<BackendIndex> for BackendMap<T> {
    type Output = T;

    fn index(&self, index: BackendIndex) -> &T {
        &self.values[index.0]
    }
}

impl<T> IndexMut<BackendIndex> for BackendMap<T> {
    fn index_mut(&mut self, index: BackendIndex) -> &mut T {
        &mut self.values[index.0]
    }
}
