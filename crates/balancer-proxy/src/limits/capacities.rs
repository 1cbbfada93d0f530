//! The numbers of connections and of bytes of request bodies that the process may hold, derived from the
//! limits on file descriptors and memory.

use super::message_size::{MAX_BUFFERED_BODY_BYTES, MAX_HEAD_BYTES};

/// Number of file descriptors that are reserved for other use than connections of clients and backends,
/// such as the log, the runtime, the lock files and the connection to discovery.
const RESERVED_DESCRIPTORS: usize = 24;
/// Largest number of file descriptors that capacities are derived from, however many the system grants.
const MAX_DESCRIPTORS: usize = 16 << 10;
/// Divisor of the memory: request heads, request bodies and backend responses may each take one
/// fourth, and one fourth is left for the rest of the process.
const MEMORY_DIVISOR: usize = 4;
/// Fraction of the descriptors that client connections may use. They get the larger fraction because
/// idle client connections stay open too.
const CLIENT_DESCRIPTORS: Fraction = Fraction { numerator: 3, denominator: 5 };
/// Fraction of the descriptors that backend connections may use.
const BACKEND_DESCRIPTORS: Fraction = Fraction { numerator: 2, denominator: 5 };

/// A fraction of a number of units.
struct Fraction {
    numerator: usize,
    denominator: usize,
}

impl Fraction {
    /// Returns this fraction of `units`, rounded down.
    fn of(&self, units: usize) -> usize {
        units * self.numerator / self.denominator
    }
}

/// Whether another process serves the same listen address, as during an upgrade.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OtherProcess {
    /// This process is the only one, or the other one can't be detected.
    Absent,
    /// Another process runs.
    Running,
}

impl OtherProcess {
    /// Returns whether another process runs.
    #[must_use]
    pub fn is_running(self) -> bool {
        self == Self::Running
    }
}

/// The resources that the system grants to all processes of one listen address together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessLimits {
    /// Number of open file descriptors, at most.
    pub file_descriptors: usize,
    /// Memory in bytes, at most.
    pub memory_bytes: usize,
}

impl ProcessLimits {
    /// Returns the limits of this process: half while another process runs, so that the two together
    /// stay within the limits, and else all.
    #[must_use]
    pub fn for_this_process(self, other: OtherProcess) -> Self {
        match other {
            OtherProcess::Absent => self,
            OtherProcess::Running => {
                Self { file_descriptors: self.file_descriptors / 2, memory_bytes: self.memory_bytes / 2 }
            }
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
    /// Bytes of request bodies that may be buffered at the same time, at least the largest buffered body.
    pub request_body_bytes: usize,
}

impl Capacities {
    /// Derives the capacities of a process with these limits, which uses `reserved_descriptors` for the
    /// management address.
    #[must_use]
    pub fn new(limits: ProcessLimits, reserved_descriptors: usize) -> Self {
        let usable = limits.file_descriptors.min(MAX_DESCRIPTORS);
        let descriptors = usable.saturating_sub(RESERVED_DESCRIPTORS + reserved_descriptors);
        let memory_bytes = limits.memory_bytes / MEMORY_DIVISOR;
        let clients_in_memory = memory_bytes / MAX_HEAD_BYTES;
        let backends_in_memory = memory_bytes / (MAX_HEAD_BYTES + MAX_BUFFERED_BODY_BYTES);
        Self {
            client_connections: CLIENT_DESCRIPTORS.of(descriptors).min(clients_in_memory).max(1),
            backend_connections: BACKEND_DESCRIPTORS.of(descriptors).min(backends_in_memory).max(1),
            request_body_bytes: memory_bytes.max(MAX_BUFFERED_BODY_BYTES),
        }
    }
}
