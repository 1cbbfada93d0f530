//! What the process may use at once, from the limits it is told: connections and memory.

use std::cell::Cell;
use std::rc::Rc;

/// Largest body of a request or an answer, in bytes: the longest that are announced, and some more.
pub const MAX_BODY_BYTES: u64 = 40 << 20;
/// Largest body, of a request or an answer, that is held whole and can be repeated. Of a longer one
/// that much is held before it flows.
pub const MAX_BUFFERED_BODY_BYTES: usize = 64 << 10;
/// Largest head of a request or an answer.
pub const MAX_HEAD_BYTES: usize = 16 << 10;
/// Descriptors kept for what is neither a client nor a backend.
const OWN_DESCRIPTORS: usize = 24;
/// More descriptors than that are not planned with.
const MOST_DESCRIPTORS: usize = 16 << 10;
/// Part of the memory that clients' heads, their bodies, and backends' answers may each take.
const PART: usize = 4;

/// What the system lets a process have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessLimits {
    /// File descriptors.
    pub descriptors: usize,
    /// Bytes of memory.
    pub memory: usize,
}

impl ProcessLimits {
    /// What one process has of these: half, where they are `shared` with another one.
    pub fn share(self, shared: bool) -> Self {
        let parts = 1 + usize::from(shared);
        Self { descriptors: self.descriptors / parts, memory: self.memory / parts }
    }
}

/// The bounds that connections and bodies are held to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capacities {
    /// Connections from clients.
    pub clients: usize,
    /// Connections to backends.
    pub backends: usize,
    /// Bytes of requests' bodies held at once, or kept for a repeat.
    pub bodies: usize,
}

impl Capacities {
    /// The caps of a process with these limits. ClientConnections get the larger
    /// part of the descriptors, as connections that ask for nothing are among theirs.
    /// `kept` are for other use.
    pub fn new(limits: ProcessLimits, kept: usize) -> Self {
        let ProcessLimits { descriptors, memory } = limits;
        let descriptors = descriptors.min(MOST_DESCRIPTORS).saturating_sub(OWN_DESCRIPTORS + kept);
        let part = memory / PART;
        Self {
            clients: (descriptors * 3 / 5).min(part / MAX_HEAD_BYTES).max(1),
            backends: (descriptors * 2 / 5).min(part / (MAX_HEAD_BYTES + MAX_BUFFERED_BODY_BYTES)).max(1),
            bodies: part.max(MAX_BUFFERED_BODY_BYTES),
        }
    }
}

/// So much of something may be in use, all together.
pub struct Budget {
    used: Cell<usize>,
    most: Cell<usize>,
}

/// A part of a budget, given back when it is dropped.
pub struct Permit {
    budget: Rc<Budget>,
    part: usize,
}

impl Budget {
    /// Room for so much.
    pub fn new(most: usize) -> Rc<Self> {
        Rc::new(Self { used: Cell::new(0), most: Cell::new(most) })
    }

    /// From now on there is room for so much; what is in use beyond that stays.
    pub fn set_limit(&self, most: usize) {
        self.most.set(most);
    }

    /// More is in use than there is room for.
    pub fn is_exceeded(&self) -> bool {
        self.used.get() > self.most.get()
    }

    /// There is room for none.
    pub fn is_full(&self) -> bool {
        self.used.get() >= self.most.get()
    }

    /// Takes a part, if there is room for it.
    pub fn try_acquire(self: &Rc<Self>, part: usize) -> Option<Permit> {
        (part <= self.most.get().saturating_sub(self.used.get())).then(|| {
            self.used.set(self.used.get() + part);
            Permit { budget: self.clone(), part }
        })
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.budget.used.set(self.budget.used.get() - self.part);
    }
}
