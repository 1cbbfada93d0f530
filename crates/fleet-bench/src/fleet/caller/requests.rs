//! The open calls of a caller and their attempts in flight.

use crate::fleet::checker::{Checker, NewCall, OpenCall, Violation};
use balancer::{AttemptId, RequestId, Time};
use std::collections::HashMap;

/// An attempt in flight.
#[derive(Clone, Copy, Debug)]
pub struct AttemptInFlight {
    /// The index of the backend in the service.
    pub backend: usize,
    /// Time of the send, in seconds.
    pub sent_at: Time,
}

/// The open calls and the attempts in flight. An attempt may end later than its call.
#[derive(Debug, Default)]
pub struct Requests {
    checker: Checker,
    in_flight: HashMap<AttemptId, AttemptInFlight>,
    last_id: u64,
}

impl Requests {
    /// Opens a call and returns its id.
    pub fn open(&mut self, call: NewCall) -> RequestId {
        self.last_id += 1;
        let request = RequestId(self.last_id);
        self.checker.open(request, call);
        request
    }

    /// Records an attempt of a call.
    ///
    /// # Errors
    ///
    /// Returns the violation if the attempt violates a rule.
    pub fn send(&mut self, request: RequestId, attempt: AttemptInFlight) -> Result<AttemptId, Violation> {
        let number = self.checker.send(request)?;
        let id = AttemptId { request, number };
        self.in_flight.insert(id, attempt);
        Ok(id)
    }

    /// Removes and returns an attempt that ends; returns `None` if the attempt has already ended.
    pub fn end_attempt(&mut self, id: AttemptId) -> Option<AttemptInFlight> {
        self.in_flight.remove(&id)
    }

    /// Records that the only attempt in flight of a call could not connect and therefore never ran.
    pub fn attempt_never_ran(&mut self, request: RequestId) {
        self.checker.attempt_never_ran(request);
    }

    /// Closes a call with its final response.
    ///
    /// # Errors
    ///
    /// Returns the violation if the response violates a rule.
    pub fn close(&mut self, request: RequestId, now: Time) -> Result<OpenCall, Violation> {
        self.checker.close(request, now)
    }

    /// Returns whether a call has no final response yet.
    pub fn is_open(&self, request: RequestId) -> bool {
        self.checker.is_open(request)
    }

    /// Drops all calls and attempts. Returns the number of dropped calls that the report counts.
    pub fn drop_all(&mut self) -> u64 {
        self.in_flight.clear();
        self.checker.drop_open() as u64
    }

    /// Checks at the end of the run that no call is open.
    ///
    /// # Errors
    ///
    /// Returns the violation of the lowest-numbered call that got no final response.
    pub fn verify_none_open(&self) -> Result<(), Violation> {
        self.checker.verify_none_open()
    }
}
