//! The numbers of connections and of bytes of requests that the process may hold, derived from the
//! limits on file descriptors and memory.

use super::message_size::{MAX_BUFFERED_BODY_BYTES, MAX_HEAD_BYTES};

/// Number of file descriptors that are reserved for uses other than client and backend connections, such as
/// the log, the runtime, the lock files and the connection to discovery.
const RESERVED_DESCRIPTORS: usize = 24;
/// Largest number of file descriptors that capacities are derived from, even if the system grants more.
const MAX_DESCRIPTORS: usize = 16 << 10;
/// Fraction of the memory that client connections may use. What the three fractions leave is for the rest of
/// the process.
const CLIENT_MEMORY_FRACTION: Fraction = Fraction { numerator: 3, denominator: 8 };
/// Fraction of the memory that long heads and the bodies of requests may use.
const REQUEST_MEMORY_FRACTION: Fraction = Fraction { numerator: 1, denominator: 4 };
/// Fraction of the memory that backend connections and their responses may use.
const BACKEND_MEMORY_FRACTION: Fraction = Fraction { numerator: 1, denominator: 4 };
/// Memory of a client connection with a short head and no body in bytes: the buffers of the HTTP library, the
/// task of the connection, the parsed head and the open request.
const CLIENT_CONNECTION_BYTES: usize = 28 << 10;
/// Fraction of the descriptors that client connections may use. This fraction is the larger one because idle
/// client connections stay open too.
const CLIENT_DESCRIPTOR_FRACTION: Fraction = Fraction { numerator: 3, denominator: 5 };
/// Fraction of the descriptors that backend connections may use.
const BACKEND_DESCRIPTOR_FRACTION: Fraction = Fraction { numerator: 2, denominator: 5 };

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
    /// This process is the only one, or another process cannot be detected.
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
    /// Largest number of open file descriptors.
    pub file_descriptors: usize,
    /// Largest amount of memory, in bytes.
    pub memory_bytes: usize,
}

impl ProcessLimits {
    /// Returns the limits of this process. While another process runs, each process gets half of the limits,
    /// so that both together stay within the limits. Otherwise this process gets all of the limits.
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

/// Upper bounds on connections and on the memory of requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capacities {
    /// Largest number of client connections, at least 1.
    pub client_connections: usize,
    /// Largest number of backend connections, at least 1.
    pub backend_connections: usize,
    /// Largest number of bytes of long heads and of request bodies that are buffered at the same time, at
    /// least [`MAX_BUFFERED_BODY_BYTES`].
    pub request_bytes: usize,
}

impl Capacities {
    /// Derives the capacities of a process with these limits that uses `reserved_descriptors` file
    /// descriptors for the management address.
    #[must_use]
    pub fn new(limits: ProcessLimits, reserved_descriptors: usize) -> Self {
        let usable = limits.file_descriptors.min(MAX_DESCRIPTORS);
        let descriptors = usable.saturating_sub(RESERVED_DESCRIPTORS + reserved_descriptors);
        let clients_in_memory = CLIENT_MEMORY_FRACTION.of(limits.memory_bytes) / CLIENT_CONNECTION_BYTES;
        let backend_bytes = BACKEND_MEMORY_FRACTION.of(limits.memory_bytes);
        let backends_in_memory = backend_bytes / (MAX_HEAD_BYTES + MAX_BUFFERED_BODY_BYTES);
        let request_bytes = REQUEST_MEMORY_FRACTION.of(limits.memory_bytes);
        Self {
            client_connections: CLIENT_DESCRIPTOR_FRACTION.of(descriptors).min(clients_in_memory).max(1),
            backend_connections: BACKEND_DESCRIPTOR_FRACTION.of(descriptors).min(backends_in_memory).max(1),
            request_bytes: request_bytes.max(MAX_BUFFERED_BODY_BYTES),
        }
    }
}
