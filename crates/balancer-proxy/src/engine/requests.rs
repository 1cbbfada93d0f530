//! The open requests and their final responses.
//!
//! Guarantees each accepted request exactly one final response: the sending end of
//! its channel lives in [`OpenRequests`] and is consumed when the request is closed.

use crate::settings::SettingsSnapshot;
use crate::upstream::forwarded_request::ForwardedRequest;
use crate::upstream::response_body::BackendResponse;
use balancer::{RequestId, Time};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use tokio::sync::oneshot;

/// The final response to a request.
pub enum FinalResponse {
    /// The response of a backend.
    Success(BackendResponse),
    /// Not executed, so that a retry is harmless; with the `Retry-After` in seconds, if there is one.
    Rejected(Option<Time>),
    /// It may have been executed.
    Failed,
}

/// A request without a final response.
pub(super) struct OpenRequest {
    /// The id that the client gave it.
    pub(super) client_id: u64,
    /// Where the final response goes.
    pub(super) response: oneshot::Sender<FinalResponse>,
    /// What attempts send.
    pub(super) forwarded: Rc<ForwardedRequest>,
    /// When it must have its final response; infinite while its body is being received.
    pub(super) deadline: Time,
    /// The time that it has once its body is complete, in seconds.
    pub(super) timeout: Time,
    /// Number of attempts sent so far.
    pub(super) attempts_sent: usize,
    /// The settings in force when it arrived, which apply to it until its end.
    pub(super) settings: Rc<SettingsSnapshot>,
}

impl OpenRequest {
    /// Whether the settings allow another attempt.
    pub(super) fn has_attempt_left(&self) -> bool {
        self.attempts_sent < self.settings.balancer.max_attempts
    }

    /// Counts an attempt, and returns its number.
    pub(super) fn next_attempt(&mut self) -> usize {
        let number = self.attempts_sent;
        self.attempts_sent += 1;
        number
    }

    /// When an attempt sent `now` times out: after `timeout` seconds, but not after the request. A
    /// timeout of 0 means that of the request, which is infinite while its body is being received.
    pub(super) fn attempt_deadline(&self, now: Time, timeout: Time) -> Time {
        if timeout == 0.0 { self.deadline } else { (now + timeout).min(self.deadline) }
    }
}

/// All requests without a final response.
pub(super) struct OpenRequests {
    /// By an id that is never used twice: a client may use its own id again while an attempt of the
    /// earlier request, which has its final response, is still running.
    by_id: HashMap<RequestId, OpenRequest>,
    /// The client's ids of the open requests.
    client_ids: HashSet<u64>,
    last_id: u64,
    /// When all requests must have their final responses because the process ends.
    shutdown_deadline: Time,
}

impl OpenRequests {
    pub(super) fn new() -> Self {
        Self {
            by_id: HashMap::new(),
            client_ids: HashSet::new(),
            last_id: 0,
            shutdown_deadline: Time::INFINITY,
        }
    }

    /// An id that no request has had.
    pub(super) fn next_id(&mut self) -> RequestId {
        self.last_id += 1;
        RequestId(self.last_id)
    }

    pub(super) fn len(&self) -> usize {
        self.by_id.len()
    }

    pub(super) fn contains(&self, id: RequestId) -> bool {
        self.by_id.contains_key(&id)
    }

    pub(super) fn is_client_id_in_use(&self, client_id: u64) -> bool {
        self.client_ids.contains(&client_id)
    }

    pub(super) fn get(&self, id: RequestId) -> Option<&OpenRequest> {
        self.by_id.get(&id)
    }

    pub(super) fn get_mut(&mut self, id: RequestId) -> Option<&mut OpenRequest> {
        self.by_id.get_mut(&id)
    }

    /// Adds a request. Its deadline is brought forward to the end of the process, and returned.
    pub(super) fn insert(&mut self, id: RequestId, mut request: OpenRequest) -> Time {
        request.deadline = request.deadline.min(self.shutdown_deadline);
        let deadline = request.deadline;
        self.client_ids.insert(request.client_id);
        self.by_id.insert(id, request);
        deadline
    }

    /// Starts the timeout of a request whose body is complete `now`; `None` if it is not open.
    pub(super) fn start_timeout(&mut self, id: RequestId, now: Time) -> Option<&OpenRequest> {
        let request = self.by_id.get_mut(&id)?;
        request.deadline = (now + request.timeout).min(self.shutdown_deadline);
        Some(request)
    }

    /// Sets when the process ends, and returns the requests whose deadlines are brought forward by it.
    pub(super) fn set_shutdown_deadline(&mut self, deadline: Time) -> Vec<RequestId> {
        self.shutdown_deadline = deadline;
        let mut brought_forward = Vec::new();
        for (id, request) in &mut self.by_id {
            if request.deadline > deadline {
                request.deadline = deadline;
                brought_forward.push(*id);
            }
        }
        brought_forward
    }

    /// The longest deadline of all settings that open requests arrived under, in seconds; 0 if none is open.
    pub(super) fn longest_class_deadline(&self) -> Time {
        self.by_id.values().map(|request| request.settings.longest_deadline()).fold(0.0, Time::max)
    }

    /// Closes a request without a final response, as its client has disconnected. Returns whether it
    /// was open.
    pub(super) fn abandon(&mut self, id: RequestId) -> bool {
        self.close(id).is_some()
    }

    /// Closes a request with its final response. Returns whether it was open; otherwise the response
    /// is dropped.
    pub(super) fn respond(&mut self, id: RequestId, response: FinalResponse) -> bool {
        let Some(request) = self.close(id) else {
            return false;
        };
        // If the client has disconnected, the guard of the connection reports it.
        let _ = request.response.send(response);
        true
    }

    fn close(&mut self, id: RequestId) -> Option<OpenRequest> {
        let request = self.by_id.remove(&id)?;
        self.client_ids.remove(&request.client_id);
        Some(request)
    }
}
