//! The buffered beginning of a body that is streamed, in the pieces in which it is passed on.

use crate::limits::split_piece;
use bytes::Bytes;
use std::collections::VecDeque;

/// The pieces of a body that are buffered, in their order. None is longer than
/// [`MAX_PIECE_BYTES`](crate::limits::MAX_PIECE_BYTES).
#[derive(Debug, Default)]
pub(super) struct BodyChunks {
    chunks: VecDeque<Bytes>,
    /// The length of all chunks together, in bytes.
    bytes: usize,
}

impl BodyChunks {
    /// Creates the pieces of `beginning`, followed by `next_chunk`.
    pub(super) fn new(beginning: Bytes, next_chunk: Option<Bytes>) -> Self {
        let mut chunks = Self::default();
        chunks.push(beginning);
        chunks.push(next_chunk.unwrap_or_default());
        chunks
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

    /// Appends the pieces of a content.
    fn push(&mut self, mut content: Bytes) {
        self.bytes += content.len();
        while !content.is_empty() {
            self.chunks.push_back(split_piece(&mut content));
        }
    }
}

#[cfg(test)]
mod tests;
