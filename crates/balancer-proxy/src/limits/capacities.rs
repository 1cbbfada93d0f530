//! How many connections and how many bytes of request bodies the process may hold, derived from its
//! limits on file descriptors and memory.

use super::message_size::{MAX_BUFFERED_BODY_BYTES, MAX_HEAD_BYTES};

/// File descriptors reserved for what is neither a client nor a backend connection.
const RESERVED_DESCRIPTORS: usize = 24;
/// Capacities are never derived from more file descriptors than this.
const MAX_DESCRIPTORS: usize = 16 << 10;
/// Request heads, request bodies and backend responses may each take one part in this many of the
/// memory.
const MEMORY_PARTS: usize = 4;

/// What the system grants the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessLimits {
    /// Number of file descriptors.
    pub file_descriptors: usize,
    /// Memory in bytes.
    pub memory_bytes: usize,
}

impl ProcessLimits {
    /// The part of the limits that one process may use: half where they are `shared` with a second
    /// process, else all.
    #[must_use]
    pub fn share(self, shared: bool) -> Self {
        let processes = if shared { 2 } else { 1 };
        Self {
            file_descriptors: self.file_descriptors / processes,
            memory_bytes: self.memory_bytes / processes,
        }
    }
}

/// Upper bounds on connections and on buffered request bodies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capacities {
    /// Number of client connections, at least 1.
    pub client_connections: usize,
    /// Number of backend connections, at least 1.
    pub backend_connections: usize,
    /// Bytes of request bodies that are buffered at the same time.
    pub request_body_bytes: usize,
}

impl Capacities {
    /// The capacities of a process with these limits, of whose descriptors `reserved` are for other
    /// use. Client connections get the larger part of the descriptors, because idle ones count too.
    #[must_use]
    pub fn new(limits: ProcessLimits, reserved: usize) -> Self {
        let available = limits.file_descriptors.min(MAX_DESCRIPTORS);
        let descriptors = available.saturating_sub(RESERVED_DESCRIPTORS + reserved);
        let memory_part = limits.memory_bytes / MEMORY_PARTS;
        let clients_in_memory = memory_part / MAX_HEAD_BYTES;
        let backends_in_memory = memory_part / (MAX_HEAD_BYTES + MAX_BUFFERED_BODY_BYTES);
        Self {
            client_connections: (descriptors * 3 / 5).min(clients_in_memory).max(1),
            backend_connections: (descriptors * 2 / 5).min(backends_in_memory).max(1),
            request_body_bytes: memory_part.max(MAX_BUFFERED_BODY_BYTES),
        }
    }
}
