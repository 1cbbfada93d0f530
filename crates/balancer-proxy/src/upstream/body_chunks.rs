//! The buffered beginning of a body, in the chunks in which it arrived.

use bytes::{Bytes, BytesMut};
use std::collections::VecDeque;

/// The chunks of a body that have arrived and are buffered, in order.
#[derive(Debug, Default)]
pub struct BodyChunks {
    chunks: VecDeque<Bytes>,
    bytes: usize,
}

impl BodyChunks {
    /// Appends a chunk.
    pub fn push(&mut self, chunk: Bytes) {
        self.bytes += chunk.len();
        self.chunks.push_back(chunk);
    }

    /// The length of all chunks together, in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// The number of chunks.
    #[must_use]
    pub fn count(&self) -> usize {
        self.chunks.len()
    }

    /// The chunk with this index, counted from the first one that is buffered.
    #[must_use]
    pub fn get(&self, index: usize) -> Option<&Bytes> {
        self.chunks.get(index)
    }

    /// Removes the first chunk and returns it.
    pub fn pop_front(&mut self) -> Option<Bytes> {
        let chunk = self.chunks.pop_front()?;
        self.bytes -= chunk.len();
        Some(chunk)
    }

    /// Removes all chunks.
    pub fn clear(&mut self) {
        self.chunks.clear();
        self.bytes = 0;
    }

    /// Removes all chunks and returns them as one.
    pub fn take_concatenated(&mut self) -> Bytes {
        let mut complete = BytesMut::with_capacity(self.bytes);
        for chunk in &self.chunks {
            complete.extend_from_slice(chunk);
        }
        self.clear();
        complete.freeze()
    }
}
