//! The memory in which a body is stored while it arrives.
//!
//! Bytes are copied into one allocation of bounded size. The chunks that the HTTP library returns are slices
//! of its read buffers: a stored chunk of one byte would keep a whole read buffer allocated.

use bytes::Bytes;

/// Least capacity of a buffer that is not empty, in bytes, unless the limit of the buffer is lower.
const MIN_CAPACITY_BYTES: usize = 4 << 10;

/// A buffer that grows as a body arrives, and never allocates more than its limit.
#[derive(Debug)]
pub(crate) struct BodyBuffer {
    content: Vec<u8>,
    /// The largest capacity in bytes.
    max_bytes: usize,
}

impl BodyBuffer {
    /// Creates an empty buffer that allocates at most `max_bytes`, and nothing before the first byte.
    pub(crate) fn new(max_bytes: usize) -> Self {
        Self { content: Vec::new(), max_bytes }
    }

    /// Appends a copy of a chunk.
    ///
    /// # Errors
    ///
    /// Returns the chunk if the buffer has no room for all of its bytes.
    pub(crate) fn append(&mut self, chunk: Bytes) -> Result<(), Bytes> {
        let length = self.content.len() + chunk.len();
        if length > self.max_bytes {
            return Err(chunk);
        }
        self.reserve(length);
        self.content.extend_from_slice(&chunk);
        Ok(())
    }

    /// Returns the content, which keeps the allocation of the buffer.
    pub(crate) fn into_bytes(self) -> Bytes {
        Bytes::from(self.content)
    }

    /// Returns the allocated memory in bytes.
    #[cfg(test)]
    fn capacity(&self) -> usize {
        self.content.capacity()
    }

    /// Grows the capacity to at least `length`. The capacity doubles, so that a body in many small chunks is
    /// not copied once for each of them.
    fn reserve(&mut self, length: usize) {
        let capacity = self.content.capacity();
        if length > capacity {
            let grown = length.max(2 * capacity).max(MIN_CAPACITY_BYTES).min(self.max_bytes);
            self.content.reserve_exact(grown - self.content.len());
        }
    }
}

#[cfg(test)]
mod tests;
