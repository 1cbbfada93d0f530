//! The open requests of a simulation, which have no final response yet, and their attempts.

use balancer::{AttemptNumber, BackendId, RequestId, Time};
use std::collections::HashMap;

/// An attempt that was sent.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// The backend to which the attempt was sent.
    pub backend: BackendId,
    /// Virtual time at which the attempt was sent, in seconds.
    pub sent: Time,
}

/// The attempts of each open request, indexed by attempt number.
#[derive(Debug, Default)]
pub struct OpenRequests {
    attempts: HashMap<RequestId, Vec<Attempt>>,
}

impl OpenRequests {
    /// Adds an open request without attempts.
    pub fn open(&mut self, id: RequestId) {
        self.attempts.insert(id, Vec::new());
    }

    /// Returns whether a request has no final response yet.
    pub fn is_open(&self, id: RequestId) -> bool {
        self.attempts.contains_key(&id)
    }

    /// Returns an attempt of a request; `None` if the request is not open or has no such attempt.
    pub fn attempt(&self, id: RequestId, number: AttemptNumber) -> Option<Attempt> {
        self.attempts.get(&id)?.get(number.0).copied()
    }

    /// Adds an attempt of a request, and returns the number of the attempt.
    pub fn add_attempt(&mut self, id: RequestId, attempt: Attempt) -> AttemptNumber {
        let attempts = self.attempts.entry(id).or_default();
        let number = AttemptNumber(attempts.len());
        attempts.push(attempt);
        number
    }

    /// Removes a request, which now has its final response.
    pub fn close(&mut self, id: RequestId) {
        self.attempts.remove(&id);
    }
}
