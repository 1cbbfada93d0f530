//! The open requests and their final responses.
//!
//! Each accepted request gets exactly one final response: [`OpenRequests`] owns the sender of the request's
//! channel, and closing the request consumes the sender.

use crate::control::used_request_ids::UsedRequestIds;
use crate::settings::SettingsSnapshot;
use crate::upstream::forwarded_request::ForwardedRequest;
use crate::upstream::response_body::BackendResponse;
use balancer::{AttemptNumber, RequestId, Time};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use tokio::sync::oneshot;

/// The final response to a request.
pub enum FinalResponse {
    /// The response of a backend.
    Success(BackendResponse),
    /// The request was not executed, so that a retry is safe. Contains the value of `Retry-After` in
    /// seconds, if the response has this header.
    Rejected(Option<Time>),
    /// The request may have been executed.
    Failed,
}

/// A request without a final response.
pub(super) struct OpenRequest {
    /// The id that the client gave the request.
    pub(super) client_request_id: u64,
    /// The sender of the final response to the client's connection.
    pub(super) response: oneshot::Sender<FinalResponse>,
    /// The request in the form in which attempts send it.
    pub(super) forwarded: Rc<ForwardedRequest>,
    /// The time by which the request must have its final response, in seconds of the proxy's clock;
    /// infinite while the body is still being received.
    pub(super) deadline: Time,
    /// The time from the complete body to the deadline, in seconds.
    pub(super) timeout: Time,
    /// The number of attempts sent so far.
    pub(super) attempts_sent: usize,
    /// Whether the request has claimed its client request id, as the request must not run twice.
    pub(super) claims_id: bool,
    /// Whether an attempt that has ended may have run at its backend.
    pub(super) may_have_run: bool,
    /// The settings in force when the request arrived, which apply to the request until its end.
    pub(super) settings: Rc<SettingsSnapshot>,
}

impl OpenRequest {
    /// Returns whether the settings allow another attempt.
    pub(super) fn has_attempt_left(&self) -> bool {
        self.attempts_sent < self.settings.balancer.max_attempts
    }

    /// Returns the number that the next attempt will have.
    pub(super) fn next_attempt_number(&self) -> AttemptNumber {
        AttemptNumber(self.attempts_sent)
    }

    /// Counts an attempt, and returns its number.
    pub(super) fn count_attempt(&mut self) -> AttemptNumber {
        let number = self.next_attempt_number();
        self.attempts_sent += 1;
        number
    }

    /// Returns the numbers of the attempts sent so far.
    pub(super) fn sent_attempt_numbers(&self) -> impl Iterator<Item = AttemptNumber> + use<> {
        (0..self.attempts_sent).map(AttemptNumber)
    }

    /// Returns the time in seconds until the last byte of a streamed body may have waited to be received for
    /// the whole timeout of the request, if nothing is received until then; 0 or less if that time has
    /// passed. Returns `None` once the body is complete.
    pub(super) fn time_until_body_stall(&self) -> Option<Time> {
        Some(self.timeout - self.forwarded.time_body_unreceived()?.as_secs_f64())
    }

    /// Returns the deadline of an attempt that is sent `now`: `timeout` seconds later, but not after the
    /// deadline of the request. Without a timeout, the deadline of the request applies, which is infinite
    /// while the body is still being received.
    pub(super) fn attempt_deadline(&self, now: Time, timeout: Option<Time>) -> Time {
        timeout.map_or(self.deadline, |timeout| (now + timeout).min(self.deadline))
    }

    /// Returns the time by which the backend must have responded to an attempt that is sent `now` with
    /// this deadline. An infinite deadline means that the body is still being received. The backend is
    /// then given the full timeout of the request, which starts once the body is complete.
    pub(super) fn response_deadline(&self, attempt_deadline: Time, now: Time) -> Time {
        if attempt_deadline.is_finite() { attempt_deadline } else { now + self.timeout }
    }
}

/// All requests without a final response.
pub(super) struct OpenRequests {
    /// The requests by the unique ids that the engine assigned. Client request ids are not unique: a client
    /// may reuse an id after the final response, while an attempt of the earlier request is still running.
    by_id: HashMap<RequestId, OpenRequest>,
    /// The ids that clients gave the open requests.
    client_request_ids: HashSet<u64>,
    /// The id that was assigned last; 0 if none was assigned.
    last_id: u64,
    /// The time by which all requests must have their final responses because the process ends, in seconds
    /// of the proxy's clock; infinite before a shutdown.
    shutdown_deadline: Time,
    /// The ids of the requests that may have run.
    used_request_ids: UsedRequestIds,
}

impl OpenRequests {
    /// Creates an empty set of requests.
    pub(super) fn new() -> Self {
        Self {
            by_id: HashMap::new(),
            client_request_ids: HashSet::new(),
            last_id: 0,
            shutdown_deadline: Time::INFINITY,
            used_request_ids: UsedRequestIds::in_memory(),
        }
    }

    /// Replaces the ids of the requests that may have run.
    pub(super) fn set_used_request_ids(&mut self, used_request_ids: UsedRequestIds) {
        self.used_request_ids = used_request_ids;
    }

    /// Returns the ids of the requests that may have run.
    pub(super) fn used_request_ids(&self) -> &UsedRequestIds {
        &self.used_request_ids
    }

    /// Returns a new id, which no earlier request has had.
    pub(super) fn next_id(&mut self) -> RequestId {
        self.last_id += 1;
        RequestId(self.last_id)
    }

    /// Returns the number of open requests.
    pub(super) fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Returns whether a request is open.
    pub(super) fn contains(&self, id: RequestId) -> bool {
        self.by_id.contains_key(&id)
    }

    /// Returns whether a request with this client request id is open.
    pub(super) fn is_client_request_id_in_use(&self, client_request_id: u64) -> bool {
        self.client_request_ids.contains(&client_request_id)
    }

    /// Returns a request, or `None` if the request is not open.
    pub(super) fn get(&self, id: RequestId) -> Option<&OpenRequest> {
        self.by_id.get(&id)
    }

    /// Returns a mutable reference to a request, or `None` if the request is not open.
    pub(super) fn get_mut(&mut self, id: RequestId) -> Option<&mut OpenRequest> {
        self.by_id.get_mut(&id)
    }

    /// Adds a request, and limits its deadline to that of the shutdown. Returns the resulting deadline.
    pub(super) fn insert(&mut self, id: RequestId, mut request: OpenRequest) -> Time {
        request.deadline = request.deadline.min(self.shutdown_deadline);
        let deadline = request.deadline;
        self.client_request_ids.insert(request.client_request_id);
        self.by_id.insert(id, request);
        deadline
    }

    /// Starts the timeout of a request whose body is complete `now`, and returns the request, or `None` if
    /// it is not open. The timeout counts from the time at which the client may have sent the last byte.
    pub(super) fn start_timeout(&mut self, id: RequestId, now: Time) -> Option<&OpenRequest> {
        let request = self.by_id.get_mut(&id)?;
        let last_byte_sent_at = now - request.forwarded.last_byte_delay().as_secs_f64();
        request.deadline = (last_byte_sent_at + request.timeout).min(self.shutdown_deadline);
        Some(request)
    }

    /// Sets the deadline of the shutdown, and returns the ids of the requests that had later deadlines.
    pub(super) fn set_shutdown_deadline(&mut self, deadline: Time) -> Vec<RequestId> {
        self.shutdown_deadline = deadline;
        let mut limited_requests = Vec::new();
        for (id, request) in &mut self.by_id {
            if request.deadline > deadline {
                request.deadline = deadline;
                limited_requests.push(*id);
            }
        }
        limited_requests
    }

    /// Returns the longest deadline of any class, in seconds, in all settings under which open requests
    /// arrived; 0 if no request is open.
    pub(super) fn longest_class_deadline(&self) -> Time {
        self.by_id.values().map(|request| request.settings.longest_deadline()).fold(0.0, Time::max)
    }

    /// Closes a request without a final response because its client has disconnected. Returns whether the
    /// request was open.
    pub(super) fn abandon(&mut self, id: RequestId) -> bool {
        self.close(id).is_some()
    }

    /// Closes a request with its final response. Returns whether the request was open; otherwise the
    /// response is dropped.
    pub(super) fn respond(&mut self, id: RequestId, response: FinalResponse) -> bool {
        let Some(request) = self.close(id) else {
            return false;
        };
        // A send fails if the client has disconnected, which the client's connection reports by itself.
        let _ = request.response.send(response);
        true
    }

    fn close(&mut self, id: RequestId) -> Option<OpenRequest> {
        let request = self.by_id.remove(&id)?;
        self.client_request_ids.remove(&request.client_request_id);
        Some(request)
    }
}

#[cfg(test)]
mod tests;
