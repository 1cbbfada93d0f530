//! The requests of a simulation that have no final response, with their attempts.

use balancer::{AttemptNumber, BackendId, RequestId, Time};
use std::collections::HashMap;

/// An attempt that was sent.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// The backend to which the attempt was sent.
    pub backend: BackendId,
    /// The virtual time of the send, in seconds.
    pub sent: Time,
}

/// The attempts of each request without a final response, by the number of the attempt.
#[derive(Debug, Default)]
pub struct OpenRequests {
    attempts: HashMap<RequestId, Vec<Attempt>>,
}

impl OpenRequests {
    /// Opens a request without attempts.
    pub fn open(&mut self, id: RequestId) {
        self.attempts.insert(id, Vec::new());
    }

    /// Returns whether a request has no final response yet.
    pub fn is_open(&self, id: RequestId) -> bool {
        self.attempts.contains_key(&id)
    }

    /// Returns an attempt of an open request.
    pub fn attempt(&self, id: RequestId, number: AttemptNumber) -> Option<Attempt> {
        self.attempts.get(&id)?.get(number.0).copied()
    }

    /// Adds an attempt of a request and returns the number of the attempt.
    pub fn add_attempt(&mut self, id: RequestId, attempt: Attempt) -> AttemptNumber {
        let attempts = self.attempts.entry(id).or_default();
        let number = AttemptNumber(attempts.len());
        attempts.push(attempt);
        number
    }

    /// Closes a request, as the request has its final response.
    pub fn close(&mut self, id: RequestId) {
        self.attempts.remove(&id);
    }
}
