//! The buffered beginning of a body, in the chunks in which it arrived.

use bytes::{Bytes, BytesMut};
use std::collections::VecDeque;

/// The buffered chunks of a body, in the order in which they arrived.
#[derive(Debug, Default)]
pub(super) struct BodyChunks {
    chunks: VecDeque<Bytes>,
    /// The length of all chunks together, in bytes.
    bytes: usize,
}

impl BodyChunks {
    /// Appends a chunk.
    pub(super) fn push(&mut self, chunk: Bytes) {
        self.bytes += chunk.len();
        self.chunks.push_back(chunk);
    }

    /// Returns the length of all chunks together, in bytes.
    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the number of chunks.
    pub(super) fn count(&self) -> usize {
        self.chunks.len()
    }

    /// Returns the chunk with this index, counted from 0 at the first buffered chunk.
    pub(super) fn get(&self, index: usize) -> Option<&Bytes> {
        self.chunks.get(index)
    }

    /// Removes the first chunk and returns it.
    pub(super) fn pop_front(&mut self) -> Option<Bytes> {
        let chunk = self.chunks.pop_front()?;
        self.bytes -= chunk.len();
        Some(chunk)
    }

    /// Removes all chunks.
    pub(super) fn clear(&mut self) {
        self.chunks.clear();
        self.bytes = 0;
    }

    /// Removes all chunks and returns them as one chunk.
    pub(super) fn take_concatenated(&mut self) -> Bytes {
        let mut complete = BytesMut::with_capacity(self.bytes);
        for chunk in &self.chunks {
            complete.extend_from_slice(chunk);
        }
        self.clear();
        complete.freeze()
    }
}

#[cfg(test)]
mod tests;
